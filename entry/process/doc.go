// Package process runs the process of an entry VM. It connects the listeners, the
// control loop, the executor of dispatch decisions, the sender of peer messages and
// the followers of the platform, and carries out the graceful shutdown.
package process
