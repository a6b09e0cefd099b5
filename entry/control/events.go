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
	look struct {
		id    submission.ID
		reply chan<- Reply
	}
	cancel struct {
		id    submission.ID
		reply chan<- Reply
	}
	forgetWaiter struct {
		key   submission.Key
		reply chan<- Reply
	}
	// traffic carries an event for the dispatch core.
	traffic struct {
		occurred dispatch.Event
	}
	vmsRead struct {
		response platform.VmsResponse
	}
	recordsRead struct {
		read  plan.DecodedRead
		reply chan<- int64
	}
	recordsTrimmed struct {
		first int64
		reply chan<- int64
	}
	heartbeat struct {
		message peer.HeartbeatMessage
		reply   chan<- peer.HeartbeatMessage
	}
	// fleetEvent carries an event for the fleet's view.
	fleetEvent struct {
		occurred fleet.Event
	}
	pull struct {
		after int64
		reply chan<- *plan.Snapshot
	}
	pullEnded struct {
		snapshot *plan.Snapshot
	}
	borrow struct {
		request *peer.BorrowSlotsRequest
		reply   chan<- peer.BorrowSlotsResponse
	}
	returned struct {
		request *peer.ReturnSlotsRequest
	}
	recalled struct {
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
	// barrier runs a function on the control goroutine.
	barrier struct {
		run  func(now time.Time)
		done chan<- struct{}
	}
)

func (issue) event()          {}
func (submit) event()         {}
func (look) event()           {}
func (cancel) event()         {}
func (forgetWaiter) event()   {}
func (traffic) event()        {}
func (vmsRead) event()        {}
func (recordsRead) event()    {}
func (recordsTrimmed) event() {}
func (heartbeat) event()      {}
func (fleetEvent) event()     {}
func (pull) event()           {}
func (pullEnded) event()      {}
func (borrow) event()         {}
func (returned) event()       {}
func (recalled) event()       {}
func (borrowEnded) event()    {}
func (dump) event()           {}
func (barrier) event()        {}

// Reply is what the Loop says of a submission.
type Reply struct {
	// Running is set where the job has not ended; Answer is empty then.
	Running bool
	// Unspent is set where the ID was not spent; Answer is empty then.
	Unspent bool
	// Foreign is set where another incarnation owns the ID.
	Foreign bool
	// Owner is the peer address to ask about a foreign ID, or "" where its
	// incarnation is known to be gone.
	Owner  string
	Answer job.Answer
	// Fresh holds new IDs for the caller.
	Fresh []submission.ID
}
