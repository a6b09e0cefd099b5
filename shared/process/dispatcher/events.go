package dispatcher

import (
	"time"

	"tanagerfall/shared/connection/link"
	"tanagerfall/shared/connection/relay"
	"tanagerfall/shared/request/cell"
	"tanagerfall/shared/version/region"
	"tanagerfall/shared/version/routing"
)

// event is something that the control goroutine handles.
type event interface{ isEvent() }

type (
	// linkEvent carries an event of the links to peers.
	linkEvent struct {
		event link.Event
	}
	// jobAccepted brings a caller's job.
	jobAccepted struct {
		job    cell.Job
		answer chan<- cell.Answer
	}
	// callerLeft tells that a caller no longer waits.
	callerLeft struct {
		id     string
		answer chan<- cell.Answer
	}
	// cancelRequested brings a caller's cancellation. The answer is true where
	// the job is known.
	cancelRequested struct {
		id       string
		jobKnown chan<- bool
	}
	// routesRead brings a routing table.
	routesRead struct {
		table *routing.Table
	}
	// upstreamsRead brings the platform's list of upstreams.
	upstreamsRead struct {
		upstreams []cell.Upstream
	}
	// membersRead brings the processes that announced themselves.
	membersRead struct {
		members []region.Member
	}
	// orderReplied brings the answer to an order of a Cell.
	orderReplied struct {
		activation int
		event      cell.Event
		// sentAt is when the control loop gave the order.
		sentAt time.Time
	}
	// relayedOrderDone brings the answer to an order of another process's Cell.
	relayedOrderDone struct {
		scheduler remoteScheduler
		reply     relay.Reply
	}
	// leaveRequested begins a planned stop.
	leaveRequested struct{}
	// abandonRequested ends a planned stop: all jobs are answered.
	abandonRequested struct{}
	// stateRequested asks for the state.
	stateRequested struct {
		state chan<- State
	}
	ticked struct{}
)

func (linkEvent) isEvent()        {}
func (jobAccepted) isEvent()      {}
func (callerLeft) isEvent()       {}
func (cancelRequested) isEvent()  {}
func (routesRead) isEvent()       {}
func (upstreamsRead) isEvent()    {}
func (membersRead) isEvent()      {}
func (orderReplied) isEvent()     {}
func (relayedOrderDone) isEvent() {}
func (leaveRequested) isEvent()   {}
func (abandonRequested) isEvent() {}
func (stateRequested) isEvent()   {}
func (ticked) isEvent()           {}
