// Package dispatch decides what an entry VM does with the jobs it accepted.
//
// A Core takes typed events and returns typed decisions. It owns the running
// jobs with their tasks and leases, the health of the upstreams and the
// placement.Scheduler. It reads no clock, opens no socket and starts no
// goroutine, so that it behaves the same on real and on virtual time.
//
// A task is tried in numbered attempts. An attempt is settled once its outcome is
// decided, which may be that it stays unknown whether the attempt started. A further
// attempt starts only after proof that the previous one never started; only a single
// request of an idempotent kind is also repeated after an attempt with an unknown
// outcome.
package dispatch
