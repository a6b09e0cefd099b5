// Package process wires an entry VM's process: listeners, the control loop,
// the carriers of traffic, the followers of the platform, and the graceful
// shutdown.
package process
