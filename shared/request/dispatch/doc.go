// Package dispatch is the pure core of an entry VM: typed events go in, typed
// decisions come out.
//
// The Core owns the running jobs, their tasks and leases, the health of the
// upstreams and the placement.Scheduler. It reads no clock, opens no socket
// and starts no goroutine, so it runs the same on real and on virtual time.
package dispatch
