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
	// linked carries an event of the links to peers.
	linked struct {
		event link.Event
	}
	// accepted brings a caller's job.
	accepted struct {
		job    cell.Job
		answer chan<- cell.Answer
	}
	// callerLeft tells that a caller no longer waits.
	callerLeft struct {
		id     string
		answer chan<- cell.Answer
	}
	// cancelAsked brings a caller's cancellation. The answer is true where
	// the job is known.
	cancelAsked struct {
		id    string
		known chan<- bool
	}
	// routesRead brings a routing table.
	routesRead struct {
		table *routing.Table
	}
	// upstreamsRead brings the platform's list of upstreams.
	upstreamsRead struct {
		rows []cell.Upstream
	}
	// membersRead brings the processes that announced themselves.
	membersRead struct {
		members []region.Member
	}
	// replied brings the answer to an order of a Cell.
	replied struct {
		activation int
		event      cell.Event
		// began is when the control loop gave the order.
		began time.Time
	}
	// carried brings the answer to an order of another process's Cell.
	carried struct {
		to    destination
		reply relay.Reply
	}
	// leaveAsked begins a planned stop.
	leaveAsked struct{}
	// giveUpAsked ends a planned stop: all jobs are answered.
	giveUpAsked struct{}
	// dumpAsked asks for the state.
	dumpAsked struct {
		dump chan<- State
	}
	ticked struct{}
)

func (linked) isEvent()        {}
func (accepted) isEvent()      {}
func (callerLeft) isEvent()    {}
func (cancelAsked) isEvent()   {}
func (routesRead) isEvent()    {}
func (upstreamsRead) isEvent() {}
func (membersRead) isEvent()   {}
func (replied) isEvent()       {}
func (carried) isEvent()       {}
func (leaveAsked) isEvent()    {}
func (giveUpAsked) isEvent()   {}
func (dumpAsked) isEvent()     {}
func (ticked) isEvent()        {}
