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
	"tanagerfall/shared/request/admission"
	"tanagerfall/shared/request/cancellation"
	"tanagerfall/shared/request/cell"
	"tanagerfall/shared/request/estimate"
	"tanagerfall/shared/version/evacuation"
	"tanagerfall/shared/version/region"
	"tanagerfall/shared/version/routing"
)

const (
	// tickInterval is the resolution of all timers of the control loop.
	tickInterval = 25 * time.Millisecond
	// eventQueueSize is the number of events that may wait for the control loop;
	// senders of further events block.
	eventQueueSize = 8192
	// pauseThreshold is the delay of a tick above which this process counts as
	// paused. A VM that runs five times slower stays below it.
	pauseThreshold = 600 * time.Millisecond
	// pauseAbstention is how long this process abstains from scheduling after a
	// pause.
	pauseAbstention = time.Second
	// yieldAbstention is how long this process abstains from scheduling after it
	// was too slow. It exceeds the time for which VMs usually run slowly.
	yieldAbstention = 12 * time.Second
)

// ErrStopped is returned by methods of a Dispatcher whose control loop has ended.
var ErrStopped = eris.New("the dispatcher has stopped")

// Options configures a Dispatcher.
type Options struct {
	// Self describes this process to its peers.
	Self region.Member
	// Peers lists the addresses of peers that are contacted at the start, before
	// any process has announced itself.
	Peers []string
	// Upstreams executes the orders of this process and those that it relays for
	// other schedulers.
	Upstreams relay.UpstreamClient
	// RelayFrom is the number of upstreams from which on this process, as the
	// scheduler, sends its orders through relays.
	RelayFrom int
	Logger    *logevent.Logger
	// Limits configures the Cell with which this process schedules.
	Limits cell.Limits
	// MaxQueuedBytes bounds the memory of the messages queued for each peer; 0 means no
	// bound.
	MaxQueuedBytes int64
	// OnRoleChange, if set, is called on the control goroutine with the new role of
	// this process. It must not block.
	OnRoleChange func(role Role)
}

// Role is what a process does for the scheduling of its cell. It decides how recent
// its list of upstreams has to be.
type Role int32

// Values of Role.
const (
	// RoleMember is the role of a process that would schedule only if several
	// others were lost.
	RoleMember Role = iota
	// RoleStandby is the role of a process that is among the first to take over
	// from the scheduler, and so needs a list of upstreams that is not old.
	RoleStandby
	// RoleScheduler is the role of the process that schedules.
	RoleScheduler
)

// standbys is the number of processes that are ready to take over. Some may be lost
// together with the scheduler, and the store may refuse some.
const standbys = 5

// dividedStandbys is the number of standbys of a cell in a divided region, where the
// other cells have readers of the list as well.
const dividedStandbys = 2

// Dispatcher runs the control loop of an entry VM. Its methods are safe for
// concurrent use.
type Dispatcher struct {
	options Options
	events  chan event
	// done is closed when the control loop has ended.
	done  chan struct{}
	links peerLinks
	// execute sends an order to its upstream and calls done once with the reply, on
	// any goroutine.
	execute func(order relay.Order, done func(reply cell.Event))
	// The atomic fields are written by the control goroutine and read by others.
	routes      atomic.Pointer[routing.Table]
	ready       atomic.Bool
	pendingJobs atomic.Pointer[map[string]int]
	instruments *instruments
	loop        *loop
}

// peerLinks carries the messages to peers, as link.Links does.
type peerLinks interface {
	Open(ctx context.Context, address string)
	Close(address string)
	Reset(address string)
	Send(address string, message link.Message)
}

// New returns a Dispatcher. Nothing happens until Run is called.
func New(options Options) *Dispatcher {
	dispatcher := newDispatcher(time.Now(), options)
	dispatcher.links = link.New(link.Options{
		Dial:           link.DialTCP,
		Notify:         dispatcher.Notify,
		MaxQueuedBytes: options.MaxQueuedBytes,
	})
	dispatcher.execute = func(order relay.Order, done func(reply cell.Event)) {
		loop := dispatcher.loop
		go func() { done(order.Execute(loop.ctx, loop.options.Upstreams)) }()
	}
	return dispatcher
}

// newDispatcher returns a Dispatcher without links to peers and upstreams.
func newDispatcher(now time.Time, options Options) *Dispatcher {
	dispatcher := &Dispatcher{
		options:     options,
		events:      make(chan event, eventQueueSize),
		done:        make(chan struct{}),
		instruments: newInstruments(),
	}
	dispatcher.loop = &loop{
		dispatcher:          dispatcher,
		options:             options,
		now:                 now,
		lastTick:            now,
		view:                region.New(now, options.Self),
		estimator:           estimate.New(),
		heldJobs:            make(map[string]*heldJob),
		withdrawals:         make(map[string][]withdrawal),
		shedding:            make(map[string]*admission.Planner),
		entryVMs:            make(map[string]string),
		droppedEntryVMs:     make(map[string]droppedEntryVM),
		receivedSubmissions: make(map[string]uint64),
		leavingIncarnations: make(map[string]int64),
		pendingCancels:      make(map[uint64]pendingCancel),
		cancellations:       cancellation.NewSet(cancellationRetention, maxCancellations),
		lastSentAt:          make(map[string]time.Time),
		removedAt:           make(map[string]time.Time),
		queuedReplies:       make(map[remoteScheduler][]relay.Reply),
		role:                RoleStandby,
		neighbours:          newNeighbours(),
	}
	return dispatcher
}

// Notify queues an event of the connections to peers for the control loop.
func (dispatcher *Dispatcher) Notify(event link.Event) {
	dispatcher.post(linkEvent{
		event: event,
	})
}

// post queues an event for the control loop, or drops it if the loop has ended.
func (dispatcher *Dispatcher) post(event event) {
	select {
	case dispatcher.events <- event:
	case <-dispatcher.done:
	}
}

// Run runs the control loop until ctx ends, and returns nil. It must be called only
// once.
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

// Submit submits a job of a caller to the scheduler and waits for its answer.
// When ctx ends, Submit returns its error, and withdraws the job if no other
// caller waits for it. Calls with the same job ID share one job. A job that is shed
// is answered at once with cell.NotRun and a retry delay. The error is ErrStopped
// if the control loop has ended.
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

// Cancel cancels a job in the region, whichever entry VM holds it. It reports
// whether the scheduler or this process knew the job. In either case the job does not
// start later, if it is held elsewhere or submitted again. If no scheduler answers
// before ctx ends, Cancel returns the error of ctx; if the control loop has ended,
// ErrStopped.
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

// Routes returns the routing table in force, or nil before the first one.
func (dispatcher *Dispatcher) Routes() *routing.Table { return dispatcher.routes.Load() }

// Ready reports whether this process can serve callers: it has routes and a
// scheduler, and is not leaving.
func (dispatcher *Dispatcher) Ready() bool { return dispatcher.ready.Load() }

// PendingJobs returns the number of jobs of a kind of which no task has started,
// as the scheduler last reported it.
func (dispatcher *Dispatcher) PendingJobs(kind string) int {
	pendingJobs := dispatcher.pendingJobs.Load()
	if pendingJobs == nil {
		return 0
	}
	return (*pendingJobs)[kind]
}

// WriteMetrics writes all metrics of the Dispatcher in the Prometheus text
// format.
func (dispatcher *Dispatcher) WriteMetrics(writer io.Writer) {
	dispatcher.instruments.set.WritePrometheus(writer)
}

// SetRoutes puts a routing table in force. The table is ignored unless its
// version is higher than that of the table in force.
func (dispatcher *Dispatcher) SetRoutes(table *routing.Table) {
	dispatcher.post(routesRead{
		table: table,
	})
}

// SetEvacuations sets the evacuations that were just read from the platform. They are
// ignored unless their position is higher than that of the ones in force.
func (dispatcher *Dispatcher) SetEvacuations(snapshot evacuation.Snapshot) {
	dispatcher.post(evacuationsRead{
		snapshot: snapshot,
	})
}

// SetUpstreams sets the list of upstreams that was read from the platform. readAt is when the
// read began, so that the list includes all changes before.
func (dispatcher *Dispatcher) SetUpstreams(upstreams []cell.Upstream, readAt time.Time) {
	dispatcher.post(upstreamsRead{
		upstreams: upstreams,
		readAt:    readAt,
	})
}

// ReportUnreadUpstreams reports that the platform did not answer a read of the list of
// upstreams.
func (dispatcher *Dispatcher) ReportUnreadUpstreams() { dispatcher.post(upstreamsUnread{}) }

// SetMembers adds processes that announced themselves on the platform.
func (dispatcher *Dispatcher) SetMembers(members []region.Member) {
	dispatcher.post(membersRead{
		members: members,
	})
}

// Leave begins the drain, the first phase of a graceful shutdown: this process
// steps down as the scheduler and is no longer ready. Jobs that callers wait for
// continue.
func (dispatcher *Dispatcher) Leave() { dispatcher.post(leaveRequested{}) }

// AbandonJobs ends the drain of a graceful shutdown: it answers all jobs that
// callers still wait for as not completed.
func (dispatcher *Dispatcher) AbandonJobs() { dispatcher.post(abandonRequested{}) }

// State returns a dump of the state. The error is that of ctx, or ErrStopped if
// the control loop has ended.
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
