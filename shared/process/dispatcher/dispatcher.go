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
	// tickEvery is the resolution of all timers of the control loop.
	tickEvery = 25 * time.Millisecond
	// eventQueue bounds the events that wait for the control loop.
	eventQueue = 8192
	// pauseLimit is the gap between two ticks that counts as a pause of this
	// process. A VM that runs five times slower stays below it.
	pauseLimit = 600 * time.Millisecond
	// abstainFor is how long a process that was paused does not schedule.
	abstainFor = time.Second
	// yieldFor is how long a process that was too slow does not schedule. It
	// exceeds the time for which VMs usually turn slow.
	yieldFor = 12 * time.Second
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
	Upstreams relay.UpstreamClient
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
	options Options
	events  chan event
	done    chan struct{}
	links   *link.Links
	routes  atomic.Pointer[routing.Table]
	ready   atomic.Bool
	pending atomic.Pointer[map[string]int]
	meters  *meters
	loop    *loop
}

// New returns a Dispatcher. Run starts it.
func New(options Options) *Dispatcher {
	dispatcher := &Dispatcher{
		options: options,
		events:  make(chan event, eventQueue),
		done:    make(chan struct{}),
		meters:  newMeters(),
	}
	dispatcher.links = link.New(link.Options{
		Dial: link.DialTCP,
		Notify: func(event link.Event) {
			dispatcher.post(linked{
				event: event,
			})
		},
	})
	now := time.Now()
	dispatcher.loop = &loop{
		dispatcher: dispatcher,
		options:    options,
		now:        now,
		lastTick:   now,
		view:       region.New(now, options.Self),
		estimator:  estimate.New(),
		held:       make(map[string]*heldJob),
		fronts:     make(map[string]string),
		cancels:    make(map[uint64]pendingCancel),
		told:       make(map[string]time.Time),
		goneAt:     make(map[string]time.Time),
		replies:    make(map[destination][]relay.Reply),
	}
	return dispatcher
}

// Notify hands over an event of the links.
func (dispatcher *Dispatcher) Notify(event link.Event) {
	dispatcher.post(linked{
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
	loop.begin()
	ticker := time.NewTicker(tickEvery)
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
		if len(dispatcher.events) == 0 || loop.batched >= maxBatch {
			loop.flush()
		}
	}
}

// Submit holds a job until its answer is known or ctx ends.
func (dispatcher *Dispatcher) Submit(ctx context.Context, job cell.Job) (cell.Answer, error) {
	answer := make(chan cell.Answer, 1)
	dispatcher.post(accepted{
		job:    job,
		answer: answer,
	})
	select {
	case told := <-answer:
		return told, nil
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
	known := make(chan bool, 1)
	dispatcher.post(cancelAsked{
		id:    id,
		known: known,
	})
	select {
	case told := <-known:
		return told, nil
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
	counts := dispatcher.pending.Load()
	if counts == nil {
		return 0
	}
	return (*counts)[kind]
}

// WriteMetrics writes the metrics in the Prometheus text format.
func (dispatcher *Dispatcher) WriteMetrics(writer io.Writer) {
	dispatcher.meters.set.WritePrometheus(writer)
}

// SetRoutes hands over a routing table. One that is not newer is ignored.
func (dispatcher *Dispatcher) SetRoutes(table *routing.Table) {
	dispatcher.post(routesRead{
		table: table,
	})
}

// SetUpstreams hands over the platform's list of upstreams, just read.
func (dispatcher *Dispatcher) SetUpstreams(rows []cell.Upstream) {
	dispatcher.post(upstreamsRead{
		rows: rows,
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
func (dispatcher *Dispatcher) Leave() { dispatcher.post(leaveAsked{}) }

// AbandonJobs answers all jobs that callers wait for, at the end of a planned stop.
func (dispatcher *Dispatcher) AbandonJobs() { dispatcher.post(giveUpAsked{}) }

// State returns the state dump.
func (dispatcher *Dispatcher) State(ctx context.Context) (State, error) {
	dump := make(chan State, 1)
	dispatcher.post(dumpAsked{
		dump: dump,
	})
	select {
	case state := <-dump:
		return state, nil
	case <-ctx.Done():
		return State{}, ctx.Err()
	case <-dispatcher.done:
		return State{}, ErrStopped
	}
}
