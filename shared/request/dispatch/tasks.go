package dispatch

import (
	"encoding/json"
	"time"

	"tanagerfall/shared/connection/upstream"
	"tanagerfall/shared/request/job"
	"tanagerfall/shared/request/placement"
)

// taskState is the state of a task.
type taskState uint8

const (
	// waiting: the task is in the scheduler's queue.
	waiting taskState = iota
	// delayed: the task waits for its backoff before it is queued again.
	delayed
	// running: an attempt was started and its connection is open.
	running
	// disconnected: the connection broke; a status query will report the attempt.
	disconnected
	// awaitingClose: the attempt is settled, but its connection is still open.
	awaitingClose
	// done: nothing of the task is left at an upstream.
	done
)

// task is a task of a job, with its present attempt.
type task struct {
	acceptedJob *jobState
	index       int
	state       taskState
	attempt     int
	// workMs is the predicted run time at speed 1, as included in the load.
	workMs float64

	// The fields below belong to the present attempt.
	upstream *upstreamState
	// activeIndex is the index among the upstream's active attempts.
	activeIndex     int
	startedAt       time.Time
	expectedRunTime time.Duration
	lease           time.Duration
	leaseEnd        time.Time
	// abandonAt is when an attempt without news is abandoned.
	abandonAt time.Time
	// queriedAt is when the latest status query was sent.
	queriedAt time.Time
	// queryCount counts the status queries about the attempt, failedQueries the
	// consecutive ones without a report.
	queryCount    int
	failedQueries int
	// queryPending is set while the attempt is part of a query that is being
	// collected, queryInFlight while it is part of one that was sent.
	queryPending  bool
	queryInFlight bool
	cancelling    bool
	// expiredInPause is set if the lease expired while this VM was paused.
	expiredInPause bool
	timer          timer
}

func (task *task) id() upstream.TaskID {
	return upstream.TaskID{
		Key:     task.acceptedJob.key,
		Index:   task.index,
		Attempt: task.attempt,
	}
}

func (task *task) spec() *job.Task {
	return &task.acceptedJob.spec.Tasks[task.index]
}

func (task *task) need() placement.Need {
	spec := task.spec()
	return placement.Need{
		Cores:        spec.Cores,
		MemoryMb:     spec.MemoryMb,
		Accelerators: spec.Accelerators,
	}
}

func (task *task) forScheduler() placement.Task {
	return placement.Task{
		Index:      task.index,
		DeclaredMs: float64(task.spec().RunMs),
		Need:       task.need(),
	}
}

// active reports whether the attempt may be running at its upstream.
func (task *task) active() bool {
	return task.state == running || task.state == disconnected
}

// findAttempt returns the task whose present attempt has the ID.
func (core *Core) findAttempt(id upstream.TaskID) (*task, bool) {
	acceptedJob, exists := core.jobs[id.Key]
	if !exists || id.Index < 0 || id.Index >= len(acceptedJob.tasks) {
		return nil, false
	}
	candidate := &acceptedJob.tasks[id.Index]
	return candidate, candidate.attempt == id.Attempt && (candidate.active() || candidate.state == awaitingClose)
}

// startTask starts the next attempt of a task on the slot that the scheduler
// chose.
func (core *Core) startTask(assignment placement.Assignment) {
	acceptedJob := core.jobs[assignment.Key]
	startedTask := &acceptedJob.tasks[assignment.Index]
	startedTask.begin(core, core.upstreams[assignment.Upstream], assignment.ExpectedMs)
	acceptedJob.unsettledAttempts++
	acceptedJob.messages++
	core.load.waiting--
	core.load.active++
	core.counters.Starts++
	core.counters.Messages++
	core.retryBudget(acceptedJob.spec.Kind).Deposit()
	core.overdueBudget.Deposit()
	core.emit(StartTask{
		Task:     startedTask.id(),
		Upstream: assignment.Upstream,
		Kind:     acceptedJob.spec.Kind,
		Spec:     *startedTask.spec(),
		Lease:    startedTask.lease,
		Deadline: acceptedJob.deadline,
	})
}

// begin puts a new attempt on an upstream and starts its lease.
func (task *task) begin(core *Core, upstream *upstreamState, expectedMs float64) {
	limits := &core.config.Limits
	task.state = running
	task.upstream = upstream
	task.upstream.addAttempt(task)
	task.startedAt = core.now
	task.expectedRunTime = time.Duration(expectedMs * float64(time.Millisecond))
	task.lease = max(limits.MinLease, 3*task.expectedRunTime)
	task.leaseEnd = core.now.Add(task.lease)
	task.abandonAt = task.leaseEnd.Add(limits.LeaseGrace)
	task.queryCount = 0
	task.failedQueries = 0
	task.expiredInPause = false
	core.arm(&task.timer, core.now.Add(min(task.overdueAfter(limits), task.lease/2)))
}

// expire acts on a task when its timer expires.
func (task *task) expire(core *Core) {
	switch task.state {
	case delayed:
		core.retryNow(task)
	case running, disconnected:
		core.checkAttempt(task)
	case awaitingClose:
		core.counters.SilentConnections++
		core.dropConnection(task)
		core.finalizeJob(task.acceptedJob)
	case waiting, done:
	}
}

// handleTaskEnded handles the end of a task, delivered by its connection.
func (core *Core) handleTaskEnded(event TaskEnded) {
	endedTask, ok := core.findAttempt(event.Task)
	if !ok {
		return
	}
	endedTask.acceptedJob.messages++
	core.counters.Messages++
	if core.closeConnection(endedTask) {
		return
	}
	if event.OK {
		core.finishTask(endedTask, event.RunMs, event.Output)
		return
	}
	core.failTask(endedTask, event.Reason)
}

// handleNotStarted handles a proof that an attempt did not start.
func (core *Core) handleNotStarted(event TaskNotStarted) {
	task, ok := core.findAttempt(event.Task)
	if !ok || core.closeConnection(task) {
		return
	}
	if event.Proof == ProofRefused || event.Proof == ProofNeverStarted {
		task.acceptedJob.messages++
		core.counters.Messages++
	}
	upstream := task.upstream
	core.settleNotStarted(task)
	switch event.Proof {
	case ProofDialRefused:
		core.recordRefusedConnection(upstream)
	case ProofRefused:
		core.recordBusyRefusal(upstream)
	case ProofNeverSent, ProofNeverStarted:
	}
}

// handleTaskLost handles a broken connection.
func (core *Core) handleTaskLost(event TaskLost) {
	lostTask, ok := core.findAttempt(event.Task)
	if !ok || core.closeConnection(lostTask) {
		return
	}
	core.counters.LostTasks++
	if !lostTask.upstream.capabilities.Leases {
		core.markUnknown(lostTask)
		return
	}
	core.queryTask(lostTask, core.config.Limits.QueryWindow)
}

// closeConnection records that the connection of an attempt delivered its event
// and is closed. It returns true if the attempt had been settled before.
func (core *Core) closeConnection(task *task) bool {
	settled := task.state == awaitingClose
	task.state = disconnected
	if !settled {
		return false
	}
	task.state = done
	task.acceptedJob.awaitingClose--
	core.disarm(&task.timer)
	core.finalizeJob(task.acceptedJob)
	return true
}

// finishTask settles an attempt that ended with a result.
func (core *Core) finishTask(task *task, runMs int64, output json.RawMessage) {
	acceptedJob := task.acceptedJob
	upstream := task.upstream
	acceptedJob.started = true
	core.settle(task)
	core.config.Estimator.Observe(acceptedJob.spec.Kind, upstream.declared.ID, float64(task.spec().RunMs), float64(runMs))
	core.recordSuccess(upstream)
	if acceptedJob.closing || acceptedJob.answered {
		core.finalizeJob(acceptedJob)
		return
	}
	if acceptedJob.results == nil {
		acceptedJob.results = make([]job.Result, len(acceptedJob.tasks))
	}
	acceptedJob.results[task.index] = job.Result{
		Index:    task.index,
		Upstream: upstream.declared.ID,
		RunMs:    runMs,
		Output:   output,
	}
	acceptedJob.missingResults--
	if acceptedJob.missingResults == 0 {
		core.complete(acceptedJob)
	}
}

// failTask settles an attempt that started and ended without a result.
func (core *Core) failTask(task *task, detail string) {
	acceptedJob := task.acceptedJob
	acceptedJob.started = true
	if !task.cancelling && !core.now.Before(task.leaseEnd) {
		core.stopTask(task)
		return
	}
	core.settle(task)
	if !task.cancelling {
		core.recordFailure(task.upstream)
	}
	core.close(acceptedJob, job.ReasonTaskFailed, detail)
}

// stopTask settles an attempt that its upstream stopped.
func (core *Core) stopTask(task *task) {
	acceptedJob := task.acceptedJob
	acceptedJob.started = true
	reason := job.ReasonUpstreamLost
	if task.expiredInPause {
		reason = job.ReasonPaused
	}
	core.settle(task)
	core.close(acceptedJob, reason, "the lease of a task ended")
}

// markUnknown settles an attempt of which it stays unknown whether it started. Its
// task is never started again, unless it is a single request of an idempotent
// kind.
func (core *Core) markUnknown(task *task) {
	acceptedJob := task.acceptedJob
	acceptedJob.ambiguous = true
	core.counters.UnknownTasks++
	core.dropConnection(task)
	core.settle(task)
	if acceptedJob.repeatable && !acceptedJob.closing && core.now.Before(acceptedJob.deadline) {
		core.counters.Repeats++
		core.scheduleRetry(task)
		return
	}
	core.close(acceptedJob, job.ReasonUpstreamLost, "nothing is known of a task at "+task.upstream.declared.ID)
}

// settleNotStarted settles an attempt that did not start and never will. Apart from
// the repetition in markUnknown, only this leads to a further attempt.
func (core *Core) settleNotStarted(task *task) {
	acceptedJob := task.acceptedJob
	core.dropConnection(task)
	core.settle(task)
	if acceptedJob.closing || acceptedJob.answered {
		core.finalizeJob(acceptedJob)
		return
	}
	core.scheduleRetry(task)
	if core.evacuated && acceptedJob.waitsUnstarted() {
		core.close(acceptedJob, job.ReasonEvacuated, evacuatedDetail)
	}
}

// settle frees the slot of an attempt whose outcome is decided.
func (core *Core) settle(task *task) {
	core.config.Scheduler.Finish(task.upstream.declared.ID, task.acceptedJob.key, task.index)
	core.mayPlace = true
	core.load.active--
	core.load.workMs -= task.workMs
	core.removeAttempt(task.upstream, task)
	task.acceptedJob.unsettledAttempts--
	task.queryPending = false
	task.queryInFlight = false
	if task.state != running {
		task.state = done
		core.disarm(&task.timer)
		return
	}
	task.state = awaitingClose
	task.acceptedJob.awaitingClose++
	core.arm(&task.timer, core.now.Add(core.config.Limits.DeliveryTimeout))
}

// dropConnection drops the connection of an attempt, if it has one.
func (core *Core) dropConnection(task *task) {
	switch task.state {
	case running:
		task.state = disconnected
	case awaitingClose:
		task.state = done
		task.acceptedJob.awaitingClose--
	case waiting, delayed, disconnected, done:
		return
	}
	core.counters.DroppedConnections++
	core.emit(DropConnection{
		Task: task.id(),
	})
}

// abandonTask drops a waiting task and cancels a running one.
func (core *Core) abandonTask(task *task) {
	switch task.state {
	case waiting, delayed:
		task.state = done
		core.disarm(&task.timer)
		core.load.waiting--
		core.load.workMs -= task.workMs
	case running, disconnected:
		task.cancelling = true
		task.queryPending = false
		core.queryTask(task, core.config.Limits.QueryWindow)
	case awaitingClose, done:
	}
}
