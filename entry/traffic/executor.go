package traffic

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"tanagerfall/shared/connection/upstream"
	"tanagerfall/shared/process/logevent"
	"tanagerfall/shared/request/dispatch"
)

// drainingReason is the reason by which an upstream's refusal tells a drain.
const drainingReason = "draining"

// DispatchSink takes the events that follow from decisions. It may block.
type DispatchSink interface {
	NotifyDispatch(event dispatch.Event)
}

// Executor sends tasks and lease requests to upstreams.
type Executor struct {
	owner  string
	client *upstream.Client
	sink   DispatchSink
	logger *logevent.Logger
	now    func() time.Time

	mutex   sync.Mutex
	cancels map[upstream.Task]context.CancelFunc

	running           sync.WaitGroup
	starts            *metrics.Counter
	statusQueries     *metrics.Counter
	lostConnections   *metrics.Counter
	silentConnections *metrics.Counter
}

// NewExecutor returns a Carrier for the entry VM with the peer address owner.
func NewExecutor(owner string, client *upstream.Client, sink DispatchSink, logger *logevent.Logger, set *metrics.Set, now func() time.Time) *Executor {
	return &Executor{
		owner:             owner,
		client:            client,
		sink:              sink,
		logger:            logger,
		now:               now,
		cancels:           make(map[upstream.Task]context.CancelFunc),
		starts:            set.NewCounter("tanagerfall_task_starts_total"),
		statusQueries:     set.NewCounter("tanagerfall_upstream_asks_total"),
		lostConnections:   set.NewCounter("tanagerfall_lost_connections_total"),
		silentConnections: set.NewCounter("tanagerfall_silent_connections_total"),
	}
}

// Execute carries out one decision without blocking.
func (carrier *Executor) Execute(decision dispatch.Decision) {
	switch decision := decision.(type) {
	case dispatch.StartTask:
		ctx, cancel := context.WithCancel(context.Background())
		carrier.addConnection(decision.Task, cancel)
		carrier.running.Go(func() { carrier.start(ctx, decision) })
	case dispatch.QueryUpstream:
		carrier.running.Go(func() { carrier.query(decision) })
	case dispatch.DropConnection:
		carrier.dropConnection(decision.Task)
	case dispatch.FinishJob:
		panic("traffic: FinishJob is not for the carrier")
	}
}

// Wait waits until all that was started has ended.
func (carrier *Executor) Wait() { carrier.running.Wait() }

// Abort gives up all connections that carry tasks. No event follows.
func (carrier *Executor) Abort() {
	carrier.mutex.Lock()
	defer carrier.mutex.Unlock()
	for task, cancel := range carrier.cancels {
		delete(carrier.cancels, task)
		cancel()
	}
}

func (carrier *Executor) addConnection(task upstream.Task, cancel context.CancelFunc) {
	carrier.mutex.Lock()
	defer carrier.mutex.Unlock()
	carrier.cancels[task] = cancel
}

// removeConnection reports whether the task's connection was still wanted.
func (carrier *Executor) removeConnection(task upstream.Task) bool {
	carrier.mutex.Lock()
	defer carrier.mutex.Unlock()
	cancel, wanted := carrier.cancels[task]
	if wanted {
		delete(carrier.cancels, task)
		cancel()
	}
	return wanted
}

func (carrier *Executor) dropConnection(task upstream.Task) {
	if carrier.removeConnection(task) {
		carrier.silentConnections.Inc()
	}
}

func (carrier *Executor) start(ctx context.Context, start dispatch.StartTask) {
	carrier.starts.Inc()
	report, err := carrier.client.Start(ctx, start.Upstream, upstream.StartRequest{
		TaskID:       start.Task.String(),
		Owner:        carrier.owner,
		Kind:         start.Kind,
		RunMs:        start.Spec.RunMs,
		Cores:        start.Spec.Cores,
		MemoryMb:     start.Spec.MemoryMb,
		Accelerators: start.Spec.Accelerators,
		LeaseMs:      start.Lease.Milliseconds(),
		DeadlineMs:   max(start.Deadline.Sub(carrier.now()).Milliseconds(), 0),
		Payload:      start.Spec.Payload,
	})
	if !carrier.removeConnection(start.Task) {
		return
	}
	if err != nil {
		carrier.sink.NotifyDispatch(carrier.startFailure(start, err))
		return
	}
	if report.Draining || report.Reason == drainingReason {
		carrier.sink.NotifyDispatch(dispatch.UpstreamDraining{
			Upstream: start.Upstream,
		})
	}
	carrier.sink.NotifyDispatch(taskEnd(start, report))
}

func (carrier *Executor) startFailure(start dispatch.StartTask, err error) dispatch.Event {
	switch {
	case errors.Is(err, upstream.ErrRefused):
		return notStarted(start, dispatch.ProofDialRefused)
	case errors.Is(err, upstream.ErrNeverSent):
		return notStarted(start, dispatch.ProofNeverSent)
	}
	carrier.lostConnections.Inc()
	carrier.logger.Log(logevent.UpstreamLost, "upstream", start.Upstream, "task", start.Task.String(), "cause", err.Error())
	return dispatch.TaskLost{
		Task:     start.Task,
		Upstream: start.Upstream,
	}
}

func taskEnd(start dispatch.StartTask, report upstream.TaskReport) dispatch.Event {
	switch report.State {
	case upstream.NeverStarted:
		return notStarted(start, dispatch.ProofRefused)
	case upstream.Finished, upstream.TaskFailed, upstream.Stopped:
		return dispatch.TaskEnded{
			Task:     start.Task,
			Upstream: start.Upstream,
			OK:       report.State == upstream.Finished,
			RunMs:    report.RunMs,
			Output:   report.Output,
			Reason:   report.Reason,
		}
	case upstream.StillRunning:
	}
	return dispatch.TaskLost{
		Task:     start.Task,
		Upstream: start.Upstream,
	}
}

func notStarted(start dispatch.StartTask, proof dispatch.Proof) dispatch.Event {
	return dispatch.TaskNotStarted{
		Task:     start.Task,
		Upstream: start.Upstream,
		Proof:    proof,
	}
}

func (carrier *Executor) query(ask dispatch.QueryUpstream) {
	carrier.statusQueries.Inc()
	carrier.logger.Log(logevent.UpstreamAsked, "upstream", ask.Upstream, "renew", len(ask.Renew), "cancel", len(ask.Cancel))
	response, err := carrier.client.Ask(context.Background(), ask.Upstream, upstream.LeaseRequest{
		Owner:   carrier.owner,
		Renew:   taskIDTexts(ask.Renew),
		LeaseMs: ask.Lease.Milliseconds(),
		Cancel:  taskIDTexts(ask.Cancel),
		List:    ask.ListTasks,
	})
	if err != nil {
		carrier.sink.NotifyDispatch(dispatch.QueryFailed{
			Upstream: ask.Upstream,
			Query:    ask,
		})
		return
	}
	carrier.sink.NotifyDispatch(dispatch.QueryAnswered{
		Upstream: ask.Upstream,
		Query:    ask,
		Response: response,
	})
}

func taskIDTexts(tasks []upstream.Task) []string {
	out := make([]string, 0, len(tasks))
	for _, task := range tasks {
		out = append(out, task.String())
	}
	return out
}
