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

// drainingReason is the reason that an upstream reports if it refuses a task because
// it is draining.
const drainingReason = "draining"

// DispatchSink receives the events that follow from the decisions of the dispatch
// core. Its method may block.
type DispatchSink interface {
	NotifyDispatch(event dispatch.Event)
}

// Executor executes the decisions of the dispatch core: it starts tasks on upstreams,
// sends status queries, and drops connections.
type Executor struct {
	owner  string
	client *upstream.Client
	sink   DispatchSink
	logger *logevent.Logger
	now    func() time.Time

	// mutex guards cancels.
	mutex sync.Mutex
	// cancels holds the function that closes the connection of each running task.
	cancels map[upstream.TaskID]context.CancelFunc

	// running counts the goroutines that execute decisions.
	running           sync.WaitGroup
	starts            *metrics.Counter
	statusQueries     *metrics.Counter
	lostConnections   *metrics.Counter
	silentConnections *metrics.Counter
}

// NewExecutor returns an Executor for the entry VM with the peer address owner. It
// reports the results of decisions to sink and registers its metrics in set.
func NewExecutor(owner string, client *upstream.Client, sink DispatchSink, logger *logevent.Logger, set *metrics.Set, now func() time.Time) *Executor {
	return &Executor{
		owner:             owner,
		client:            client,
		sink:              sink,
		logger:            logger,
		now:               now,
		cancels:           make(map[upstream.TaskID]context.CancelFunc),
		starts:            set.NewCounter("tanagerfall_task_starts_total"),
		statusQueries:     set.NewCounter("tanagerfall_upstream_asks_total"),
		lostConnections:   set.NewCounter("tanagerfall_lost_connections_total"),
		silentConnections: set.NewCounter("tanagerfall_silent_connections_total"),
	}
}

// Execute starts to execute a decision without blocking: a dispatch.StartTask,
// dispatch.QueryUpstream or dispatch.DropConnection.
func (executor *Executor) Execute(decision dispatch.Decision) {
	switch decision := decision.(type) {
	case dispatch.StartTask:
		ctx, cancel := context.WithCancel(context.Background())
		executor.addConnection(decision.Task, cancel)
		executor.running.Go(func() { executor.start(ctx, decision) })
	case dispatch.QueryUpstream:
		executor.running.Go(func() { executor.query(decision) })
	case dispatch.DropConnection:
		executor.dropConnection(decision.Task)
	case dispatch.FinishJob:
		panic("traffic: Executor cannot execute FinishJob")
	}
}

// Wait waits until all decisions passed to Execute have been executed.
func (executor *Executor) Wait() { executor.running.Wait() }

// Abort closes the connections of all running tasks. No event follows for these
// tasks.
func (executor *Executor) Abort() {
	executor.mutex.Lock()
	defer executor.mutex.Unlock()
	for task, cancel := range executor.cancels {
		delete(executor.cancels, task)
		cancel()
	}
}

// addConnection records the function that closes the connection of a task.
func (executor *Executor) addConnection(task upstream.TaskID, cancel context.CancelFunc) {
	executor.mutex.Lock()
	defer executor.mutex.Unlock()
	executor.cancels[task] = cancel
}

// removeConnection closes the connection of a task. It returns false if the
// connection was closed before, by dropConnection or Abort: no event must follow then.
func (executor *Executor) removeConnection(task upstream.TaskID) bool {
	executor.mutex.Lock()
	defer executor.mutex.Unlock()
	cancel, ok := executor.cancels[task]
	if ok {
		delete(executor.cancels, task)
		cancel()
	}
	return ok
}

// dropConnection closes the connection of a task that was settled without it.
func (executor *Executor) dropConnection(task upstream.TaskID) {
	if executor.removeConnection(task) {
		executor.silentConnections.Inc()
	}
}

// start sends a task to its upstream, waits for the end of the task and reports it.
func (executor *Executor) start(ctx context.Context, start dispatch.StartTask) {
	executor.starts.Inc()
	report, err := executor.client.Start(ctx, start.Upstream, upstream.StartRequest{
		TaskID:       start.Task.String(),
		Owner:        executor.owner,
		Kind:         start.Kind,
		RunMs:        start.Spec.RunMs,
		Cores:        start.Spec.Cores,
		MemoryMb:     start.Spec.MemoryMb,
		Accelerators: start.Spec.Accelerators,
		LeaseMs:      start.Lease.Milliseconds(),
		DeadlineMs:   max(start.Deadline.Sub(executor.now()).Milliseconds(), 0),
		Payload:      start.Spec.Payload,
	})
	if !executor.removeConnection(start.Task) {
		return
	}
	if err != nil {
		executor.sink.NotifyDispatch(executor.startFailure(start, err))
		return
	}
	if report.Draining || report.Reason == drainingReason {
		executor.sink.NotifyDispatch(dispatch.UpstreamDraining{
			Upstream: start.Upstream,
		})
	}
	executor.sink.NotifyDispatch(taskEnd(start, report))
}

// startFailure returns the event for a start that failed with err. Unless err proves
// that the task did not start, the task is lost.
func (executor *Executor) startFailure(start dispatch.StartTask, err error) dispatch.Event {
	switch {
	case errors.Is(err, upstream.ErrRefused):
		return notStarted(start, dispatch.ProofDialRefused)
	case errors.Is(err, upstream.ErrNeverSent):
		return notStarted(start, dispatch.ProofNeverSent)
	}
	executor.lostConnections.Inc()
	executor.logger.Log(logevent.UpstreamLost, "upstream", start.Upstream, "task", start.Task.String(), "cause", err.Error())
	return dispatch.TaskLost{
		Task:     start.Task,
		Upstream: start.Upstream,
	}
}

// taskEnd returns the event for the report of an upstream about a task.
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

// query sends a status query to an upstream and reports the response.
func (executor *Executor) query(statusQuery dispatch.QueryUpstream) {
	executor.statusQueries.Inc()
	executor.logger.Log(logevent.UpstreamAsked, "upstream", statusQuery.Upstream, "renew", len(statusQuery.Renew), "cancel", len(statusQuery.Cancel))
	response, err := executor.client.Query(context.Background(), statusQuery.Upstream, upstream.LeaseRequest{
		Owner:     executor.owner,
		Renew:     taskIDTexts(statusQuery.Renew),
		LeaseMs:   statusQuery.Lease.Milliseconds(),
		Cancel:    taskIDTexts(statusQuery.Cancel),
		ListTasks: statusQuery.ListTasks,
	})
	if err != nil {
		executor.sink.NotifyDispatch(dispatch.QueryFailed{
			Upstream: statusQuery.Upstream,
			Query:    statusQuery,
		})
		return
	}
	executor.sink.NotifyDispatch(dispatch.QueryAnswered{
		Upstream: statusQuery.Upstream,
		Query:    statusQuery,
		Response: response,
	})
}

// taskIDTexts returns the text forms of task IDs.
func taskIDTexts(tasks []upstream.TaskID) []string {
	texts := make([]string, 0, len(tasks))
	for _, task := range tasks {
		texts = append(texts, task.String())
	}
	return texts
}
