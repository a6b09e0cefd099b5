// Package control runs the one goroutine that owns the control state of an
// entry VM: the ledger of submissions, the dispatch core, the view of the
// fleet and the plan in force.
//
// Other goroutines carry traffic. They send typed events to the Loop, which
// never waits for them.
package control
