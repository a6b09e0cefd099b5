package dispatcher

import (
	"context"
	"time"

	"tanagerfall/shared/connection/link"
	"tanagerfall/shared/connection/relay"
	"tanagerfall/shared/request/cell"
)

// Simulated is a Dispatcher for deterministic simulation. It has the control loop of a
// process, but no goroutines, sockets or clock: its creator carries its messages and
// orders, and says when it handles events and at which time. It is not safe for
// concurrent use, and Run, Submit, Cancel and State must not be called.
type Simulated struct {
	*Dispatcher
}

// Environment is what a Simulated uses in place of sockets.
type Environment interface {
	// Open, Close, Reset and Send are those of link.Links. The events of the links are
	// passed to Notify.
	Open(ctx context.Context, address string)
	Close(address string)
	Reset(address string)
	Send(address string, message link.Message)
	// Execute sends an order to its upstream. done must be called once with the reply,
	// after Execute has returned.
	Execute(order relay.Order, done func(reply cell.Event))
}

// NewSimulated returns a Simulated that starts at the given time.
func NewSimulated(now time.Time, options Options, environment Environment) *Simulated {
	dispatcher := newDispatcher(now, options)
	dispatcher.links = environment
	dispatcher.execute = environment.Execute
	dispatcher.loop.ctx = context.Background()
	dispatcher.loop.addConfiguredPeers()
	return &Simulated{
		Dispatcher: dispatcher,
	}
}

// HandleQueued handles all queued events at the given time, which must not fall.
func (simulated *Simulated) HandleQueued(now time.Time) {
	for len(simulated.events) > 0 {
		simulated.loop.handle(now, <-simulated.events)
	}
	simulated.loop.flush()
}

// Tick does the periodic work that is due every TickInterval.
func (simulated *Simulated) Tick(now time.Time) {
	simulated.loop.handle(now, ticked{})
	simulated.loop.flush()
}

// SetTimeOfDayOffset sets the difference between the time of day of the process and the
// times at which it handles events.
func (simulated *Simulated) SetTimeOfDayOffset(offset time.Duration) {
	simulated.loop.timeOfDayOffset = offset
}

// Accept queues a job of a caller. The answer is sent to the channel, which must have
// room for it.
func (simulated *Simulated) Accept(job cell.Job, answer chan<- cell.Answer) {
	simulated.post(jobAccepted{
		job:    job,
		answer: answer,
	})
}

// CallerLeft queues that the caller with this answer channel no longer waits.
func (simulated *Simulated) CallerLeft(id string, answer chan<- cell.Answer) {
	simulated.post(callerLeft{
		id:     id,
		answer: answer,
	})
}

// TickInterval is the time between two ticks.
const TickInterval = tickInterval
