// Package control holds the control loop of an entry VM. One goroutine, the
// control goroutine, owns the control state: the ledger of submissions, the
// dispatch core, the view of the fleet and the plan in force.
//
// Other goroutines do the I/O. They send typed events to the Loop and may wait for
// a reply. The Loop passes the decisions that need I/O to an Executor and a
// PeerSender, and never waits for another goroutine.
package control
