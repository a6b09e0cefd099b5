// Package route brings requests about a submission to the entry VM that owns
// it: the control loop of this VM, or a peer.
package route
