package cell

import (
	"cmp"
	"slices"
	"time"
)

// runStatus is the status of a run from the Cell's point of view.
type runStatus uint8

const (
	// runStarting means that the start order is in flight.
	runStarting runStatus = iota
	// runRunning means that the upstream confirmed the start.
	runRunning
	// runUnconfirmed means that the start order was not answered.
	runUnconfirmed
	// runStopping means that the run is to end and still occupies its capacity.
	runStopping
)

// runState is the Cell's state of one start of a task on an upstream.
type runState struct {
	name     RunName
	upstream *upstreamState
	status   runStatus
	need     Resources
	// job and task are nil for runs that are no longer wanted, and for runs of
	// jobs that the Cell does not have.
	job  *jobState
	task *taskState
	// leaseEnd is the lease end of the start order, after which the upstream no
	// longer carries out the order.
	leaseEnd int64
	// mayStartUntil is the time until which the upstream may carry out a start order
	// whose lease end says nothing, because the upstream has restarted; zero for others.
	mayStartUntil time.Time
	sentAt        time.Time
	// confirmedAt is when the reply to the start or the first listing arrived.
	confirmedAt time.Time
	// listed is set once the upstream has listed the run.
	listed bool
	// unconfirmedSince is when the start order was found to be unanswered.
	unconfirmedSince time.Time
	// dueAt is when the run should end.
	dueAt time.Time
	// nextStopAt is when the next stop is sent, stopConfirmedAt when a stop was
	// confirmed. stopPending is set while a stop is in flight.
	nextStopAt      time.Time
	stopConfirmedAt time.Time
	stopPending     bool
	// orphan is set while a run that this Cell did not start has no job.
	orphan bool
	// orphanDeadline is when the run is stopped if its job was not submitted.
	orphanDeadline time.Time
	// expectedTime is the predicted run time.
	expectedTime time.Duration
	// cold is set if the upstream was cold when the start was ordered.
	cold    bool
	percent int
	// progressedAt is when percent last rose.
	progressedAt time.Time
	// stopReason says why the run is being stopped, since stopOrderedAt; empty if it is not.
	stopReason    string
	stopOrderedAt time.Time
	// unlistedAt is when the first answer arrived that shows neither the confirmed run
	// nor its end; zero if the run has been listed since then.
	unlistedAt time.Time
}

// startRun orders a run of a waiting task.
func (cell *Cell) startRun(job *jobState, task *taskState, upstream *upstreamState) {
	if cell.trial != nil {
		cell.trial.start(cell, job, task, upstream)
		return
	}
	task.status = taskActive
	task.runNumber++
	job.startOrdered = true
	job.waitingTasks--
	job.activeTasks++
	step := job.submitted.Steps[task.name.Step]
	order := cell.newOrder(upstream, true)
	run := &runState{
		name: RunName{
			Task:   task.name,
			Number: task.runNumber,
		},
		upstream:     upstream,
		need:         step.Need,
		job:          job,
		task:         task,
		leaseEnd:     order.LeaseEnd,
		sentAt:       cell.now,
		expectedTime: job.predictRunTime(step.Estimate, upstream.speed),
	}
	task.currentRun = run
	cell.addRun(run)
	cell.recordColdStart(run)
	cell.counters.Starts++
	cell.recordNeed(step.Need.MilliCores)
	cell.decide(StartRun{
		Order:      order,
		Run:        run.name,
		Spec:       job.submitted.Spec,
		ExpectedMs: milliseconds(run.expectedTime),
	})
}

func (cell *Cell) addRun(run *runState) {
	run.upstream.runs[run.name] = run
	run.upstream.free = run.upstream.free.minus(run.need)
	run.upstream.usedSlots++
	run.upstream.lastRunAt = cell.now
	cell.reindex(run.upstream)
	cell.liveRuns[run.name.Task]++
}

// runsWhere returns the runs of the upstream for which a condition holds, sorted so that
// equal events yield equal decisions.
func (upstream *upstreamState) runsWhere(condition func(run *runState) bool) []*runState {
	var runs []*runState
	for _, run := range upstream.runs {
		if condition(run) {
			runs = append(runs, run)
		}
	}
	slices.SortFunc(runs, func(a, b *runState) int {
		return cmp.Or(cmp.Compare(a.name.Task.Job, b.name.Task.Job), cmp.Compare(a.name.Task.Step, b.name.Task.Step),
			cmp.Compare(a.name.Task.Index, b.name.Task.Index), cmp.Compare(a.name.Number, b.name.Number))
	})
	return runs
}

// removeRun removes a run that has ended or will never start, and makes its
// task wait again.
func (cell *Cell) removeRun(run *runState, reason string) {
	upstream := run.upstream
	if upstream.runs[run.name] != run {
		return
	}
	delete(upstream.runs, run.name)
	cell.liveRuns[run.name.Task]--
	if cell.liveRuns[run.name.Task] == 0 {
		delete(cell.liveRuns, run.name.Task)
	}
	if run.orphan {
		run.orphan = false
		upstream.orphanCount--
	}
	upstream.recomputeUsage()
	cell.reindex(upstream)
	upstream.lastRunAt = cell.now
	cell.placementPending = true
	cell.removeOrphan(run)
	if run.task == nil || run.task.currentRun != run {
		return
	}
	cell.counters.LostRuns++
	cell.decide(RunLost{
		Upstream: upstream.listing.ID,
		Run:      run.name,
		Reason:   reason,
	})
	cell.requeue(run.job, run.task, upstream.listing.ID)
}

func (cell *Cell) removeOrphan(run *runState) {
	id := run.name.Task.Job
	orphans, ok := cell.orphans[id]
	if !ok {
		return
	}
	remaining := orphans[:0]
	for _, orphan := range orphans {
		if orphan != run {
			remaining = append(remaining, orphan)
		}
	}
	cell.orphans[id] = remaining
	if len(remaining) == 0 {
		delete(cell.orphans, id)
	}
}

func (cell *Cell) startReplied(event StartReplied) {
	upstream, ok := cell.upstreams[event.Reply.Order.Upstream]
	if !ok {
		return
	}
	run, ok := upstream.runs[event.Run]
	if upstream.fenced(event.Reply) && upstream.status != upstreamOwnedElsewhere {
		cell.yieldUpstream(upstream)
	}
	if !ok {
		return
	}
	switch event.Reply.Outcome {
	case OutcomeDone:
		cell.confirmStart(run)
	case OutcomeNotSent, OutcomeRefused, OutcomeFenced, OutcomeStale, OutcomeLate, OutcomeFull, OutcomeUnhealthy:
		cell.startRefused(run, event.Reply.Outcome)
	case OutcomeRestarted:
		// Another worker answered, and it has not started the run.
		cell.removeRun(run, "another worker at the address")
		upstream.schedulePoll(cell.now)
	case OutcomeInvalid:
		job := run.job
		cell.removeRun(run, "start refused as invalid")
		if job != nil && cell.jobs[job.submitted.ID] == job {
			cell.finish(job, Answer{
				Result: Interrupted,
				Reason: "invalid",
			})
		}
	default:
		// OutcomeUnknown, or an outcome of a later version of a relay.
		cell.startUnanswered(run)
	}
}

// confirmStart records that a run has started.
func (cell *Cell) confirmStart(run *runState) {
	if run.confirmedAt.IsZero() {
		run.confirmedAt = cell.now
		run.progressedAt = cell.now
	}
	run.markMayHaveRun()
	if run.status == runStarting || (run.status == runUnconfirmed && run.stopReason == "") {
		run.status = runRunning
	}
	run.dueAt = cell.now.Add(run.expectedTime)
}

// startUnanswered polls the upstream to find out whether a run started whose
// order was not answered.
func (cell *Cell) startUnanswered(run *runState) {
	if run.status != runStarting {
		return
	}
	run.status = runUnconfirmed
	run.unconfirmedSince = cell.now
	run.markMayHaveRun()
	cell.requestPoll(run.upstream)
}

// markMayHaveRun prevents the result NotRun for the run's job.
func (run *runState) markMayHaveRun() {
	if run.job != nil {
		run.job.started = true
	}
}

// startRefused makes the task of a refused start wait again. No run was
// started.
func (cell *Cell) startRefused(run *runState, outcome Outcome) {
	limits := cell.config.Limits
	upstream := run.upstream
	switch outcome {
	case OutcomeFull:
		upstream.fullUntil = cell.now.Add(limits.FullBackoff)
		upstream.schedulePoll(cell.now)
	case OutcomeUnhealthy:
		cell.eject(upstream, limits.EjectUnhealthyFor, "refuses orders")
	case OutcomeStale:
		// A run of the task has ended at the upstream.
		run.markMayHaveRun()
		if run.task != nil {
			run.task.runNumber += runsPerGeneration
		}
	case OutcomeLate, OutcomeFenced, OutcomeNotSent, OutcomeRefused:
		upstream.schedulePoll(cell.now)
	default:
	}
	if run.status != runStarting {
		return
	}
	cell.removeRun(run, outcome.String())
}

// stopRun stops a run. It occupies its capacity until the end is known.
func (cell *Cell) stopRun(run *runState, reason string) {
	if run.status != runUnconfirmed {
		run.status = runStopping
	}
	if run.stopReason == "" {
		run.stopReason = reason
		run.stopOrderedAt = cell.now
	}
	cell.sendStop(run)
}

func (cell *Cell) sendStop(run *runState) {
	if run.stopPending {
		return
	}
	if run.upstream.status == upstreamOwnedElsewhere {
		// The other process stops the run, unless this one takes the upstream back first.
		run.nextStopAt = cell.now
		return
	}
	run.stopPending = true
	run.nextStopAt = time.Time{}
	cell.counters.Stops++
	order := cell.newOrder(run.upstream, false)
	cell.decide(StopRun{
		Order:  order,
		Run:    run.name,
		Reason: run.stopReason,
	})
}

func (cell *Cell) stopReplied(event StopReplied) {
	upstream, ok := cell.upstreams[event.Reply.Order.Upstream]
	if !ok {
		return
	}
	if upstream.fenced(event.Reply) && upstream.status != upstreamOwnedElsewhere {
		cell.yieldUpstream(upstream)
	}
	run, ok := upstream.runs[event.Run]
	if !ok {
		return
	}
	run.stopPending = false
	limits := cell.config.Limits
	outcome := event.Reply.Outcome
	if outcome == OutcomeDone && event.Reply.SentAt.Before(run.unconfirmedSince) {
		// The upstream may have restarted since it executed the stop.
		outcome = OutcomeUnknown
	}
	switch outcome {
	case OutcomeDone:
		run.stopConfirmedAt = cell.now
		upstream.schedulePoll(cell.now.Add(limits.StopGrace))
	case OutcomeRestarted, OutcomeNotSent, OutcomeRefused:
		// These replies come at once and would repeat the stop on each tick.
		run.nextStopAt = cell.now.Add(limits.ImmediatePollInterval)
	default:
		run.nextStopAt = cell.now.Add(limits.StopRetryDelay)
	}
}

// runDue reports whether tickRun has something to do.
func (cell *Cell) runDue(run *runState) bool {
	return (!run.nextStopAt.IsZero() && !cell.now.Before(run.nextStopAt)) ||
		(!run.orphanDeadline.IsZero() && !cell.now.Before(run.orphanDeadline))
}

// tickRun sends a stop that is due and stops a run whose orphan deadline has
// passed.
func (cell *Cell) tickRun(run *runState) {
	if !run.nextStopAt.IsZero() && !cell.now.Before(run.nextStopAt) {
		cell.sendStop(run)
	}
	if !run.orphanDeadline.IsZero() && !cell.now.Before(run.orphanDeadline) {
		run.orphanDeadline = time.Time{}
		cell.removeOrphan(run)
		cell.stopRun(run, "job not submitted within the orphan window")
	}
}

// settleUnlistedRun handles a run that the upstream does not list. It removes
// the run only if the answer proves that it is over.
func (cell *Cell) settleUnlistedRun(run *runState, reply Reply) {
	switch run.status {
	case runStarting:
	case runRunning:
		if reply.SentAt.After(run.confirmedAt) && cell.unlistedForStopGrace(run, reply) {
			cell.removeRun(run, "no longer listed by the upstream")
		}
	case runUnconfirmed, runStopping:
		if run.stopReason == "" {
			// The order may still be carried out. The stop makes the upstream reject
			// it.
			if !reply.SentAt.Before(run.unconfirmedSince) {
				cell.stopRun(run, "start not answered")
			}
			return
		}
		// A run that is being stopped goes on for the grace period and is not
		// listed meanwhile.
		stopSettled := !run.stopConfirmedAt.IsZero() &&
			!reply.SentAt.Before(run.stopConfirmedAt.Add(cell.config.Limits.StopGrace))
		startExpired := run.confirmedAt.IsZero() && run.leaseEnd > 0 && reply.Clock > run.leaseEnd
		endedSinceStart := !run.confirmedAt.IsZero() && reply.SentAt.After(run.confirmedAt)
		because := ""
		switch {
		case stopSettled:
			because = "stop confirmed"
		case !startExpired && !endedSinceStart, !cell.unlistedForStopGrace(run, reply):
			return
		case startExpired:
			because = "start order expired"
		case endedSinceStart:
			because = "not listed after its start"
		}
		cell.decide(RunSettled{
			Upstream: run.upstream.listing.ID,
			Run:      run.name,
			Because:  because,
			Reason:   run.stopReason,
		})
		cell.removeRun(run, run.stopReason)
	}
}

// unlistedForStopGrace reports whether a run that may have started has not been listed for
// StopGrace. Whoever stopped it, it may go on unlisted for that long.
func (cell *Cell) unlistedForStopGrace(run *runState, reply Reply) bool {
	grace := cell.config.Limits.StopGrace
	if run.unlistedAt.IsZero() {
		run.unlistedAt = reply.ReceivedAt
		run.upstream.schedulePoll(cell.now.Add(grace))
		return false
	}
	return !reply.SentAt.Before(run.unlistedAt.Add(grace))
}

// endRun applies the end of a run.
func (cell *Cell) endRun(upstream *upstreamState, end EndedRun) {
	run, ok := upstream.runs[end.Run]
	if !ok {
		cell.endUnknownRun(end)
		return
	}
	cell.recordOutcome(run, end.End)
	if run.task == nil || run.task.currentRun != run {
		cell.removeRun(run, "ended")
		return
	}
	job, task := run.job, run.task
	job.started = true
	switch end.End {
	case EndDone:
		task.currentRun = nil
		cell.removeRun(run, "done")
		cell.completeTask(job, task)
	case EndFailed:
		task.currentRun = nil
		cell.removeRun(run, "failed")
		cell.decide(RunLost{
			Upstream: upstream.listing.ID,
			Run:      run.name,
			Reason:   "failed",
		})
		cell.failTask(job, task, upstream)
	case EndStopped:
		reason := run.stopReason
		if reason == "" {
			reason = "stopped or lease expired"
		}
		cell.removeRun(run, reason)
	}
}
