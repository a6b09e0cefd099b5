package control

import (
	"time"

	"tanagerfall/shared/connection/peer"
	"tanagerfall/shared/connection/platform"
	"tanagerfall/shared/request/dispatch"
	"tanagerfall/shared/request/job"
	"tanagerfall/shared/request/submission"
	"tanagerfall/shared/version/fleet"
	"tanagerfall/shared/version/plan"
)

// event is what other goroutines send to the Loop.
type event interface{ event() }

type (
	issue struct {
		team  string
		count int
		reply chan<- []submission.ID
	}
	submit struct {
		id  submission.ID
		job job.Job
		// single is set for a single request.
		single bool
		// refusal is set where the body was invalid: the ID is spent on it, so
		// that the refusal stays true for later copies of the submission.
		refusal *job.Answer
		reply   chan<- Reply
	}
	lookup struct {
		id    submission.ID
		reply chan<- Reply
	}
	cancel struct {
		id    submission.ID
		reply chan<- Reply
	}
	removeWaiter struct {
		key   submission.Key
		reply chan<- Reply
	}
	// dispatchEvent carries an event for the dispatch core.
	dispatchEvent struct {
		coreEvent dispatch.Event
	}
	vmListRead struct {
		response platform.VmsResponse
	}
	recordsRead struct {
		read  plan.DecodedRead
		reply chan<- int64
	}
	recordsTrimmed struct {
		firstOffset int64
		reply       chan<- int64
	}
	heartbeat struct {
		message peer.HeartbeatMessage
		reply   chan<- peer.HeartbeatMessage
	}
	// fleetEvent carries an event for the fleet's view.
	fleetEvent struct {
		viewEvent fleet.Event
	}
	planPull struct {
		aboveVersion int64
		reply        chan<- *plan.Snapshot
	}
	planPullEnded struct {
		snapshot *plan.Snapshot
	}
	slotsRequested struct {
		request *peer.BorrowSlotsRequest
		reply   chan<- peer.BorrowSlotsResponse
	}
	slotsReturned struct {
		request *peer.ReturnSlotsRequest
	}
	slotsRecalled struct {
		request *peer.RecallSlotsRequest
	}
	// borrowEnded carries the answer to a request for slots, or nil.
	borrowEnded struct {
		response  *peer.BorrowSlotsResponse
		delivered bool
	}
	dump struct {
		reply chan<- Dump
	}
	// functionCall runs a function on the control goroutine.
	functionCall struct {
		function func(now time.Time)
		done     chan<- struct{}
	}
)

func (issue) event()          {}
func (submit) event()         {}
func (lookup) event()         {}
func (cancel) event()         {}
func (removeWaiter) event()   {}
func (dispatchEvent) event()  {}
func (vmListRead) event()     {}
func (recordsRead) event()    {}
func (recordsTrimmed) event() {}
func (heartbeat) event()      {}
func (fleetEvent) event()     {}
func (planPull) event()       {}
func (planPullEnded) event()  {}
func (slotsRequested) event() {}
func (slotsReturned) event()  {}
func (slotsRecalled) event()  {}
func (borrowEnded) event()    {}
func (dump) event()           {}
func (functionCall) event()   {}

// Reply is what the Loop says of a submission.
type Reply struct {
	// Running is set where the job has not ended; Answer is empty then.
	Running bool
	// Unspent is set where the ID was not spent; Answer is empty then.
	Unspent bool
	// OwnedElsewhere is set where another incarnation owns the ID.
	OwnedElsewhere bool
	// Owner is the peer address to ask about a foreign ID, or "" where its
	// incarnation is known to be gone.
	Owner  string
	Answer job.Answer
	// FreshIDs holds new IDs for the caller.
	FreshIDs []submission.ID
}
