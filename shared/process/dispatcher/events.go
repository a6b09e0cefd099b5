package dispatcher

import (
	"time"

	"tanagerfall/shared/connection/link"
	"tanagerfall/shared/connection/relay"
	"tanagerfall/shared/request/cell"
	"tanagerfall/shared/version/evacuation"
	"tanagerfall/shared/version/region"
	"tanagerfall/shared/version/routing"
)

// event is an input of the control goroutine.
type event interface{ isEvent() }

type (
	// linkEvent wraps an event of the connections to peers.
	linkEvent struct {
		event link.Event
	}
	// jobAccepted reports that a job of a caller arrived; answer receives the
	// result.
	jobAccepted struct {
		job    cell.Job
		answer chan<- cell.Answer
	}
	// callerLeft reports that the caller with this answer channel stopped waiting
	// for its job.
	callerLeft struct {
		id     string
		answer chan<- cell.Answer
	}
	// cancelRequested cancels a job for a caller; jobKnown receives whether the
	// scheduler knew the job.
	cancelRequested struct {
		id       string
		jobKnown chan<- bool
	}
	// routesRead holds a routing table read from the platform.
	routesRead struct {
		table *routing.Table
	}
	// evacuationsRead holds the evacuations read from the platform.
	evacuationsRead struct {
		snapshot evacuation.Snapshot
	}
	// upstreamsRead holds the list of upstreams read from the platform.
	upstreamsRead struct {
		upstreams []cell.Upstream
		// readAt is when the read began.
		readAt time.Time
	}
	// upstreamsUnread reports that the platform did not answer a read of the list.
	upstreamsUnread struct{}
	// membersRead holds the processes that announced themselves on the platform.
	membersRead struct {
		members []region.Member
	}
	// orderReplied reports the reply to an order that this process sent itself.
	orderReplied struct {
		// activation identifies the Cell that gave the order.
		activation int
		event      cell.Event
		// sentAt is when the control loop sent the order.
		sentAt time.Time
	}
	// relayedOrderDone reports that an order of a scheduler elsewhere was
	// executed.
	relayedOrderDone struct {
		scheduler remoteScheduler
		reply     relay.Reply
	}
	// leaveRequested begins the drain of a graceful shutdown.
	leaveRequested struct{}
	// abandonRequested ends the drain: all held jobs are abandoned.
	abandonRequested struct{}
	// stateRequested requests a state dump.
	stateRequested struct {
		state chan<- State
	}
	// ticked reports that tickInterval has passed.
	ticked struct{}
)

func (linkEvent) isEvent()        {}
func (jobAccepted) isEvent()      {}
func (callerLeft) isEvent()       {}
func (cancelRequested) isEvent()  {}
func (routesRead) isEvent()       {}
func (evacuationsRead) isEvent()  {}
func (upstreamsRead) isEvent()    {}
func (upstreamsUnread) isEvent()  {}
func (membersRead) isEvent()      {}
func (orderReplied) isEvent()     {}
func (relayedOrderDone) isEvent() {}
func (leaveRequested) isEvent()   {}
func (abandonRequested) isEvent() {}
func (stateRequested) isEvent()   {}
func (ticked) isEvent()           {}
