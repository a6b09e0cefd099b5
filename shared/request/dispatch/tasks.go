package dispatch

import (
	"encoding/json"
	"time"

	"tanagerfall/shared/connection/upstream"
	"tanagerfall/shared/request/job"
	"tanagerfall/shared/request/placement"
)

// taskState is where a task is.
type taskState uint8

const (
	// waiting: the scheduler holds the task.
	waiting taskState = iota
	// delayed: the task waits for its backoff before it is queued again.
	delayed
	// running: an attempt was started and a connection carries it.
	running
	// lost: the connection broke, and the upstream is asked about the attempt.
	lost
	// lingering: the attempt is settled, but its connection is still open.
	lingering
	// done: nothing of the task is left at an upstream.
	done
)

// task is one task of a run with its present attempt.
type task struct {
	owner   *run
	index   int
	state   taskState
	attempt int
	// workMs is the predicted run time at speed 1, as counted into the load.
	workMs float64

	// The fields below belong to the present attempt.
	at *upstreamState
	// place is the index among the active attempts of the upstream.
	place     int
	startedAt time.Time
	expected  time.Duration
	lease     time.Duration
	leaseEnd  time.Time
	// giveUpAt is when an attempt without news is given up.
	giveUpAt time.Time
	// askedAt is when the latest question was sent.
	askedAt time.Time
	// asks counts the questions about the attempt, failures the consecutive
	// ones without an answer.
	asks     int
	failures int
	// pending: a question is collected; asking: one is under way.
	pending bool
	asking  bool
	cancel  bool
	// paused: the lease lapsed while this VM was paused.
	paused bool
	timer  timer
}

func (task *task) name() upstream.Task {
	return upstream.Task{
		Key:     task.owner.key,
		Index:   task.index,
		Attempt: task.attempt,
	}
}

func (task *task) spec() *job.Task {
	return &task.owner.spec.Tasks[task.index]
}

func (task *task) need() placement.Need {
	spec := task.spec()
	return placement.Need{
		Cores:        spec.Cores,
		MemoryMb:     spec.MemoryMb,
		Accelerators: spec.Accelerators,
	}
}

func (task *task) placed() placement.Task {
	return placement.Task{
		Index:      task.index,
		DeclaredMs: float64(task.spec().RunMs),
		Need:       task.need(),
	}
}

// active reports whether the attempt may be running at its upstream.
func (task *task) active() bool {
	return task.state == running || task.state == lost
}

// find returns the task whose present attempt has the name.
func (core *Core) find(name upstream.Task) (*task, bool) {
	owner, known := core.jobs[name.Key]
	if !known || name.Index < 0 || name.Index >= len(owner.tasks) {
		return nil, false
	}
	found := &owner.tasks[name.Index]
	return found, found.attempt == name.Attempt && (found.active() || found.state == lingering)
}

// startTask starts the next attempt of a task on the slot that the scheduler
// chose.
func (core *Core) startTask(assignment placement.Assignment) {
	owner := core.jobs[assignment.Key]
	started := &owner.tasks[assignment.Index]
	started.begin(core, core.upstreams[assignment.Upstream], assignment.ExpectedMs)
	owner.unsettled++
	owner.messages++
	core.load.waiting--
	core.load.active++
	core.counters.Starts++
	core.counters.Messages++
	core.budget(owner.spec.Kind).Deposit()
	core.overdue.Deposit()
	core.decide(StartTask{
		Task:     started.name(),
		Upstream: assignment.Upstream,
		Kind:     owner.spec.Kind,
		Spec:     *started.spec(),
		Lease:    started.lease,
		Deadline: owner.deadline,
	})
}

func (task *task) begin(core *Core, at *upstreamState, expectedMs float64) {
	limits := &core.config.Limits
	task.state = running
	task.at = at
	task.at.occupy(task)
	task.startedAt = core.now
	task.expected = time.Duration(expectedMs * float64(time.Millisecond))
	task.lease = max(limits.FirstLease, 3*task.expected)
	task.leaseEnd = core.now.Add(task.lease)
	task.giveUpAt = task.leaseEnd.Add(limits.LeaseGrace)
	task.asks = 0
	task.failures = 0
	task.paused = false
	core.arm(&task.timer, core.now.Add(min(task.overdueAfter(limits), task.lease/2)))
}

// expire acts on a task at the time of its timer.
func (task *task) expire(core *Core) {
	switch task.state {
	case delayed:
		core.retryDue(task)
	case running, lost:
		core.check(task)
	case lingering:
		core.counters.SilentConnections++
		core.drop(task)
		core.conclude(task.owner)
	case waiting, done:
	}
}

// endTask handles the end that a connection delivered.
func (core *Core) endTask(event TaskEnded) {
	ended, found := core.find(event.Task)
	if !found {
		return
	}
	ended.owner.messages++
	core.counters.Messages++
	if core.closeConnection(ended) {
		return
	}
	if event.OK {
		core.finishTask(ended, event.RunMs, event.Output)
		return
	}
	core.failTask(ended, event.Reason)
}

// returnTask handles a proof that an attempt did not start.
func (core *Core) returnTask(event TaskNotStarted) {
	returned, found := core.find(event.Task)
	if !found || core.closeConnection(returned) {
		return
	}
	if event.Proof == ProofRefused || event.Proof == ProofNeverStarted {
		returned.owner.messages++
		core.counters.Messages++
	}
	at := returned.at
	core.withdrawTask(returned)
	switch event.Proof {
	case ProofDialRefused:
		core.recordRefused(at)
	case ProofRefused:
		core.recordBusy(at)
	case ProofNeverSent, ProofNeverStarted:
	}
}

// missTask handles a broken connection.
func (core *Core) missTask(event TaskLost) {
	missed, found := core.find(event.Task)
	if !found || core.closeConnection(missed) {
		return
	}
	core.counters.LostTasks++
	if !missed.at.capabilities.Leases {
		core.loseTask(missed)
		return
	}
	core.ask(missed, core.config.Limits.AskWindow)
}

// closeConnection records that the connection of an attempt told its event. It
// reports whether the attempt had been settled before.
func (core *Core) closeConnection(task *task) bool {
	settled := task.state == lingering
	task.state = lost
	if !settled {
		return false
	}
	task.state = done
	task.owner.lingering--
	core.disarm(&task.timer)
	core.conclude(task.owner)
	return true
}

// finishTask settles an attempt that ran to its end.
func (core *Core) finishTask(finished *task, runMs int64, output json.RawMessage) {
	owner := finished.owner
	at := finished.at
	owner.started = true
	core.settle(finished)
	core.config.Estimator.Observe(owner.spec.Kind, at.declared.ID, float64(finished.spec().RunMs), float64(runMs))
	core.recordSuccess(at)
	if owner.closing || owner.answered {
		core.conclude(owner)
		return
	}
	if owner.results == nil {
		owner.results = make([]job.Result, len(owner.tasks))
	}
	owner.results[finished.index] = job.Result{
		Index:    finished.index,
		Upstream: at.declared.ID,
		RunMs:    runMs,
		Output:   output,
	}
	owner.missing--
	if owner.missing == 0 {
		core.complete(owner)
	}
}

// failTask settles an attempt that started and ended without a result.
func (core *Core) failTask(failed *task, detail string) {
	owner := failed.owner
	owner.started = true
	if !failed.cancel && !core.now.Before(failed.leaseEnd) {
		core.stopTask(failed)
		return
	}
	core.settle(failed)
	if !failed.cancel {
		core.recordFailure(failed.at)
	}
	core.close(owner, job.ReasonTaskFailed, detail)
}

// stopTask settles an attempt that its upstream stopped.
func (core *Core) stopTask(stopped *task) {
	owner := stopped.owner
	owner.started = true
	reason := job.ReasonUpstreamLost
	if stopped.paused {
		reason = job.ReasonPaused
	}
	core.settle(stopped)
	core.close(owner, reason, "the lease of a task ended")
}

// loseTask settles an attempt of which it will never be known whether it
// started. Its task is never started again, unless it is a single request of
// an idempotent kind.
func (core *Core) loseTask(missing *task) {
	owner := missing.owner
	owner.ambiguous = true
	core.counters.UnknownTasks++
	core.drop(missing)
	core.settle(missing)
	if owner.repeatable && !owner.closing && core.now.Before(owner.deadline) {
		core.counters.Repeats++
		core.retry(missing)
		return
	}
	core.close(owner, job.ReasonUpstreamLost, "nothing is known of a task at "+missing.at.declared.ID)
}

// withdrawTask settles an attempt that did not start and never will. Apart from
// the repetition in loseTask this is the only way to a further attempt.
func (core *Core) withdrawTask(withdrawn *task) {
	owner := withdrawn.owner
	core.drop(withdrawn)
	core.settle(withdrawn)
	if owner.closing || owner.answered {
		core.conclude(owner)
		return
	}
	core.retry(withdrawn)
}

// settle frees the slot of an attempt whose fate is known.
func (core *Core) settle(settled *task) {
	core.config.Scheduler.Finish(settled.at.declared.ID, settled.owner.key, settled.index)
	core.placeable = true
	core.load.active--
	core.load.workMs -= settled.workMs
	core.vacate(settled.at, settled)
	settled.owner.unsettled--
	settled.pending = false
	settled.asking = false
	if settled.state != running {
		settled.state = done
		core.disarm(&settled.timer)
		return
	}
	settled.state = lingering
	settled.owner.lingering++
	core.arm(&settled.timer, core.now.Add(core.config.Limits.Linger))
}

// drop gives up the connection of an attempt, if it has one.
func (core *Core) drop(dropped *task) {
	switch dropped.state {
	case running:
		dropped.state = lost
	case lingering:
		dropped.state = done
		dropped.owner.lingering--
	case waiting, delayed, lost, done:
		return
	}
	core.counters.DroppedConnections++
	core.decide(DropConnection{
		Task: dropped.name(),
	})
}

// giveUp drops a waiting task and cancels a running one.
func (core *Core) giveUp(task *task) {
	switch task.state {
	case waiting, delayed:
		task.state = done
		core.disarm(&task.timer)
		core.load.waiting--
		core.load.workMs -= task.workMs
	case running, lost:
		task.cancel = true
		task.pending = false
		core.ask(task, core.config.Limits.AskWindow)
	case lingering, done:
	}
}
