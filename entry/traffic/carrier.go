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

// drainReason is the reason by which an upstream's refusal tells a drain.
const drainReason = "draining"

// Sink takes the events that follow from decisions. It may block.
type Sink interface {
	Tell(event dispatch.Event)
}

// Carrier sends tasks and lease requests to upstreams.
type Carrier struct {
	owner  string
	client *upstream.Client
	sink   Sink
	logger *logevent.Logger
	now    func() time.Time

	mutex  sync.Mutex
	cancel map[upstream.TaskID]context.CancelFunc

	running sync.WaitGroup
	starts  *metrics.Counter
	asks    *metrics.Counter
	lost    *metrics.Counter
	silent  *metrics.Counter
}

// New returns a Carrier for the entry VM with the peer address owner.
func New(owner string, client *upstream.Client, sink Sink, logger *logevent.Logger, set *metrics.Set, now func() time.Time) *Carrier {
	return &Carrier{
		owner:  owner,
		client: client,
		sink:   sink,
		logger: logger,
		now:    now,
		cancel: make(map[upstream.TaskID]context.CancelFunc),
		starts: set.NewCounter("tanagerfall_task_starts_total"),
		asks:   set.NewCounter("tanagerfall_upstream_asks_total"),
		lost:   set.NewCounter("tanagerfall_lost_connections_total"),
		silent: set.NewCounter("tanagerfall_silent_connections_total"),
	}
}

// Carry carries out one decision without blocking.
func (carrier *Carrier) Carry(decision dispatch.Decision) {
	switch decision := decision.(type) {
	case dispatch.StartTask:
		ctx, cancel := context.WithCancel(context.Background())
		carrier.remember(decision.Task, cancel)
		carrier.running.Go(func() { carrier.start(ctx, decision) })
	case dispatch.QueryUpstream:
		carrier.running.Go(func() { carrier.ask(decision) })
	case dispatch.DropConnection:
		carrier.drop(decision.Task)
	case dispatch.FinishJob:
		panic("traffic: FinishJob is not for the carrier")
	}
}

// Wait waits until all that was started has ended.
func (carrier *Carrier) Wait() { carrier.running.Wait() }

// Abort gives up all connections that carry tasks. No event follows.
func (carrier *Carrier) Abort() {
	carrier.mutex.Lock()
	defer carrier.mutex.Unlock()
	for task, cancel := range carrier.cancel {
		delete(carrier.cancel, task)
		cancel()
	}
}

func (carrier *Carrier) remember(task upstream.TaskID, cancel context.CancelFunc) {
	carrier.mutex.Lock()
	defer carrier.mutex.Unlock()
	carrier.cancel[task] = cancel
}

// forget reports whether the task's connection was still wanted.
func (carrier *Carrier) forget(task upstream.TaskID) bool {
	carrier.mutex.Lock()
	defer carrier.mutex.Unlock()
	cancel, wanted := carrier.cancel[task]
	if wanted {
		delete(carrier.cancel, task)
		cancel()
	}
	return wanted
}

func (carrier *Carrier) drop(task upstream.TaskID) {
	if carrier.forget(task) {
		carrier.silent.Inc()
	}
}

func (carrier *Carrier) start(ctx context.Context, start dispatch.StartTask) {
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
	if !carrier.forget(start.Task) {
		return
	}
	if err != nil {
		carrier.sink.Tell(carrier.failed(start, err))
		return
	}
	if report.Draining || report.Reason == drainReason {
		carrier.sink.Tell(dispatch.UpstreamDraining{
			Upstream: start.Upstream,
		})
	}
	carrier.sink.Tell(ended(start, report))
}

func (carrier *Carrier) failed(start dispatch.StartTask, err error) dispatch.Event {
	switch {
	case errors.Is(err, upstream.ErrRefused):
		return notStarted(start, dispatch.ProofDialRefused)
	case errors.Is(err, upstream.ErrNeverSent):
		return notStarted(start, dispatch.ProofNeverSent)
	}
	carrier.lost.Inc()
	carrier.logger.Log(logevent.UpstreamLost, "upstream", start.Upstream, "task", start.Task.String(), "cause", err.Error())
	return dispatch.TaskLost{
		Task:     start.Task,
		Upstream: start.Upstream,
	}
}

func ended(start dispatch.StartTask, report upstream.TaskReport) dispatch.Event {
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

func (carrier *Carrier) ask(ask dispatch.QueryUpstream) {
	carrier.asks.Inc()
	carrier.logger.Log(logevent.UpstreamAsked, "upstream", ask.Upstream, "renew", len(ask.Renew), "cancel", len(ask.Cancel))
	response, err := carrier.client.Query(context.Background(), ask.Upstream, upstream.LeaseRequest{
		Owner:     carrier.owner,
		Renew:     texts(ask.Renew),
		LeaseMs:   ask.Lease.Milliseconds(),
		Cancel:    texts(ask.Cancel),
		ListTasks: ask.ListTasks,
	})
	if err != nil {
		carrier.sink.Tell(dispatch.QueryFailed{
			Upstream: ask.Upstream,
			Query:    ask,
		})
		return
	}
	carrier.sink.Tell(dispatch.QueryAnswered{
		Upstream: ask.Upstream,
		Query:    ask,
		Response: response,
	})
}

func texts(tasks []upstream.TaskID) []string {
	out := make([]string, 0, len(tasks))
	for _, task := range tasks {
		out = append(out, task.String())
	}
	return out
}
