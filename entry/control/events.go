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

// event is a message from another goroutine to the Loop. The Loop sends its reply,
// if the event has one, on the channel in the event.
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
		// single is set for a single request, which is one task.
		single bool
		// refusal is set if the body is invalid. The ID is spent on the refusal,
		// so that later copies of the submission are refused too.
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
	// removeWaiter removes the waiter of a request that waits no longer.
	removeWaiter struct {
		key   submission.Key
		reply chan<- Reply
	}
	// dispatchEvent holds an event for the dispatch core.
	dispatchEvent struct {
		coreEvent dispatch.Event
	}
	vmListRead struct {
		response platform.VMsResponse
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
	// fleetEvent holds an event for the view of the fleet.
	fleetEvent struct {
		viewEvent fleet.Event
	}
	// planPull requests a snapshot of the plan if its version is above
	// aboveVersion. The reply is nil otherwise.
	planPull struct {
		aboveVersion int64
		reply        chan<- *plan.Snapshot
	}
	// planPullEnded holds the snapshot that a peer sent, or nil.
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
	// borrowEnded holds the response to a request for slots, or nil if there was
	// none. delivered then reports whether the peer may have received the
	// request.
	borrowEnded struct {
		response  *peer.BorrowSlotsResponse
		delivered bool
	}
	dump struct {
		reply chan<- Dump
	}
	// functionCall requests a call of function on the control goroutine. done is
	// closed after the call.
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

// Reply is the result of a request about a submission. Answer is set unless
// Running, Unspent or OwnedElsewhere is.
type Reply struct {
	// Running is set if the job has not ended.
	Running bool
	// Unspent is set if no submission has used the ID yet.
	Unspent bool
	// OwnedElsewhere is set if another incarnation owns the ID.
	OwnedElsewhere bool
	// Owner is the peer address of the VM to forward the request to if the ID is
	// owned elsewhere, or "" if its incarnation is known to have stopped and the
	// successor is not known.
	Owner string
	// Answer is the answer of the job, or a refusal or failure of the request.
	Answer job.Answer
	// FreshIDs holds new submission IDs for the caller.
	FreshIDs []submission.ID
}
