package dispatcher

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"tanagerfall/shared/connection/link"
	"tanagerfall/shared/connection/relay"
	"tanagerfall/shared/process/logevent"
	"tanagerfall/shared/request/cell"
	"tanagerfall/shared/request/estimate"
	"tanagerfall/shared/version/region"
	"tanagerfall/shared/version/routing"
)

const (
	// tickInterval is the resolution of all timers of the control loop.
	tickInterval = 25 * time.Millisecond
	// eventQueueSize bounds the events that wait for the control loop.
	eventQueueSize = 8192
	// pauseThreshold is the gap between two ticks that counts as a pause of this
	// process. A VM that runs five times slower stays below it.
	pauseThreshold = 600 * time.Millisecond
	// pauseAbstention is how long a process that was paused does not schedule.
	pauseAbstention = time.Second
	// yieldAbstention is how long a process that was too slow does not schedule. It
	// exceeds the time for which VMs usually turn slow.
	yieldAbstention = 12 * time.Second
)

// ErrStopped is returned by calls after the control loop has ended.
var ErrStopped = eris.New("the dispatcher has stopped")

// Options are what a Dispatcher is made of.
type Options struct {
	Self region.Member
	// Peers are addresses to try before any process announced itself.
	Peers []string
	// Upstreams carries the orders of this process out, and those that it
	// relays.
	Upstreams relay.Upstreams
	// RelayFrom is the number of upstreams from which a scheduler gives its
	// orders to relays.
	RelayFrom int
	Logger    *logevent.Logger
	Limits    cell.Limits
	// OnSchedulingChange, if set, is called when this process begins and ceases to
	// schedule.
	OnSchedulingChange func(active bool)
}

// Dispatcher is the control loop. Its methods are safe for concurrent use.
type Dispatcher struct {
	options     Options
	events      chan event
	done        chan struct{}
	links       *link.Links
	routes      atomic.Pointer[routing.Table]
	ready       atomic.Bool
	pendingJobs atomic.Pointer[map[string]int]
	instruments *instruments
	loop        *loop
}

// New returns a Dispatcher. Run starts it.
func New(options Options) *Dispatcher {
	dispatcher := &Dispatcher{
		options:     options,
		events:      make(chan event, eventQueueSize),
		done:        make(chan struct{}),
		instruments: newInstruments(),
	}
	dispatcher.links = link.New(link.Options{
		Dial: link.DialTCP,
		Notify: func(event link.Event) {
			dispatcher.post(linkEvent{
				event: event,
			})
		},
	})
	now := time.Now()
	dispatcher.loop = &loop{
		dispatcher:     dispatcher,
		options:        options,
		now:            now,
		lastTick:       now,
		view:           region.New(now, options.Self),
		estimator:      estimate.New(),
		heldJobs:       make(map[string]*heldJob),
		entryVMs:       make(map[string]string),
		pendingCancels: make(map[uint64]pendingCancel),
		lastSentAt:     make(map[string]time.Time),
		removedAt:      make(map[string]time.Time),
		queuedReplies:  make(map[remoteScheduler][]relay.Reply),
	}
	return dispatcher
}

// Notify hands over an event of the links.
func (dispatcher *Dispatcher) Notify(event link.Event) {
	dispatcher.post(linkEvent{
		event: event,
	})
}

func (dispatcher *Dispatcher) post(event event) {
	select {
	case dispatcher.events <- event:
	case <-dispatcher.done:
	}
}

// Run handles events until ctx ends.
func (dispatcher *Dispatcher) Run(ctx context.Context) error {
	defer close(dispatcher.done)
	loop := dispatcher.loop
	loop.ctx = ctx
	loop.addConfiguredPeers()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			_ = now
			loop.handle(time.Now(), ticked{})
		case event := <-dispatcher.events:
			loop.handle(time.Now(), event)
		}
		if len(dispatcher.events) == 0 || loop.queuedCount >= maxBatch {
			loop.flush()
		}
	}
}

// Submit holds a job until its answer is known or ctx ends.
func (dispatcher *Dispatcher) Submit(ctx context.Context, job cell.Job) (cell.Answer, error) {
	answer := make(chan cell.Answer, 1)
	dispatcher.post(jobAccepted{
		job:    job,
		answer: answer,
	})
	select {
	case jobAnswer := <-answer:
		return jobAnswer, nil
	case <-ctx.Done():
		dispatcher.post(callerLeft{
			id:     job.ID,
			answer: answer,
		})
		return cell.Answer{}, ctx.Err()
	case <-dispatcher.done:
		return cell.Answer{}, ErrStopped
	}
}

// Cancel cancels a job anywhere in the region. It reports whether the job was
// known; the error is that of ctx where no scheduler answered.
func (dispatcher *Dispatcher) Cancel(ctx context.Context, id string) (bool, error) {
	jobKnown := make(chan bool, 1)
	dispatcher.post(cancelRequested{
		id:       id,
		jobKnown: jobKnown,
	})
	select {
	case isKnown := <-jobKnown:
		return isKnown, nil
	case <-ctx.Done():
		return false, ctx.Err()
	case <-dispatcher.done:
		return false, ErrStopped
	}
}

// Routes returns the routing table in force, or nil.
func (dispatcher *Dispatcher) Routes() *routing.Table { return dispatcher.routes.Load() }

// Ready reports whether this process can serve callers.
func (dispatcher *Dispatcher) Ready() bool { return dispatcher.ready.Load() }

// PendingJobs returns the jobs of a kind of which no task has started, as the
// scheduler told last.
func (dispatcher *Dispatcher) PendingJobs(kind string) int {
	pendingJobs := dispatcher.pendingJobs.Load()
	if pendingJobs == nil {
		return 0
	}
	return (*pendingJobs)[kind]
}

// WriteMetrics writes the metrics in the Prometheus text format.
func (dispatcher *Dispatcher) WriteMetrics(writer io.Writer) {
	dispatcher.instruments.set.WritePrometheus(writer)
}

// SetRoutes hands over a routing table. One that is not newer is ignored.
func (dispatcher *Dispatcher) SetRoutes(table *routing.Table) {
	dispatcher.post(routesRead{
		table: table,
	})
}

// SetUpstreams hands over the platform's list of upstreams, just read.
func (dispatcher *Dispatcher) SetUpstreams(upstreams []cell.Upstream) {
	dispatcher.post(upstreamsRead{
		upstreams: upstreams,
	})
}

// SetMembers hands over the processes that announced themselves.
func (dispatcher *Dispatcher) SetMembers(members []region.Member) {
	dispatcher.post(membersRead{
		members: members,
	})
}

// Leave begins a planned stop: this process stops scheduling and is not ready
// any more. Jobs that callers wait for go on.
func (dispatcher *Dispatcher) Leave() { dispatcher.post(leaveRequested{}) }

// AbandonJobs answers all jobs that callers wait for, at the end of a planned stop.
func (dispatcher *Dispatcher) AbandonJobs() { dispatcher.post(abandonRequested{}) }

// State returns the state dump.
func (dispatcher *Dispatcher) State(ctx context.Context) (State, error) {
	stateDump := make(chan State, 1)
	dispatcher.post(stateRequested{
		state: stateDump,
	})
	select {
	case state := <-stateDump:
		return state, nil
	case <-ctx.Done():
		return State{}, ctx.Err()
	case <-dispatcher.done:
		return State{}, ErrStopped
	}
}
