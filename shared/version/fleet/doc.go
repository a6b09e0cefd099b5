// Package fleet holds an entry VM's view of the membership of the other VMs and
// derives from it which VMs are live and which entry VM owns each upstream. It
// also lends slots and shares of team caps between the entry VMs of a failure
// domain, and divides the caps among them.
//
// View exchanges heartbeats with the other entry VMs and detects their
// failures. AssignOwners divides the upstreams by rendezvous hashing. Lender
// and Borrower are the two ends of a loan of slots. QuotaShares holds this VM's
// share of each team cap.
//
// Each type is a state machine without I/O: the caller passes events and the
// current time and carries out the returned decisions. The control goroutine
// owns the values; none of them is safe for concurrent use.
package fleet
