package cell

import "time"

// runState is what the Cell believes of a run.
type runState uint8

const (
	// runStarting: the order is under way.
	runStarting runState = iota
	// runRunning: the upstream confirmed the start.
	runRunning
	// runUnsure: the order got no answer.
	runUnsure
	// runStopping: the run is to end, and its room is still taken.
	runStopping
)

// run is one start of a task at an upstream.
type run struct {
	name  RunName
	at    *upstream
	state runState
	need  Resources
	// owner and task are nil for runs that nobody wants any more, and for runs
	// of jobs that the Cell does not have.
	owner *jobState
	task  *task
	// leaseEnd is that of the start order. After it the upstream does not
	// carry the order out any more.
	leaseEnd int64
	sentAt   time.Time
	// confirmedAt is when the start's answer arrived, or the first listing.
	confirmedAt time.Time
	// listed is set once the upstream has listed the run.
	listed bool
	// doubtedAt is when the start's time was over without an answer.
	doubtedAt time.Time
	// dueAt is when the run should have ended.
	dueAt time.Time
	// stopAt is when the next stop is sent, stoppedAt when one was confirmed.
	stopAt    time.Time
	stoppedAt time.Time
	stopping  bool
	// orphan is set while nobody wants a run that this Cell did not start.
	orphan bool
	// orphanUntil is when the run of a job that nobody submitted is stopped.
	orphanUntil time.Time
	expected    time.Duration
	percent     int
	percentAt   time.Time
	reason      string
}

// start orders a run of a waiting task.
func (cell *Cell) start(held *jobState, next *task, at *upstream) {
	next.state = taskActive
	next.number++
	held.ordered = true
	held.queued--
	held.active++
	step := held.job.Steps[next.name.Step]
	order := cell.orderFor(at, true)
	started := &run{
		name: RunName{
			Task:   next.name,
			Number: next.number,
		},
		at:       at,
		need:     step.Need,
		owner:    held,
		task:     next,
		leaseEnd: order.LeaseEnd,
		sentAt:   cell.now,
		expected: held.expected(step.Estimate, at.speed),
	}
	next.run = started
	cell.occupy(started)
	cell.counters.Starts++
	cell.decide(StartRun{
		Order:      order,
		Run:        started.name,
		Spec:       held.job.Spec,
		ExpectedMs: ms(started.expected),
	})
}

func (cell *Cell) occupy(held *run) {
	held.at.runs[held.name] = held
	held.at.free = held.at.free.minus(held.need)
	held.at.used++
	cell.live[held.name.Task]++
}

// gone forgets a run that has ended or will never start, and makes its task
// wait again.
func (cell *Cell) gone(held *run, reason string) {
	at := held.at
	if at.runs[held.name] != held {
		return
	}
	delete(at.runs, held.name)
	cell.live[held.name.Task]--
	if cell.live[held.name.Task] == 0 {
		delete(cell.live, held.name.Task)
	}
	if held.orphan {
		held.orphan = false
		at.orphans--
	}
	at.recount()
	cell.placeable = true
	cell.forgetOrphan(held)
	if held.task == nil || held.task.run != held {
		return
	}
	cell.counters.Lost++
	cell.decide(RunLost{
		Upstream: at.listed.ID,
		Run:      held.name,
		Reason:   reason,
	})
	cell.requeue(held.owner, held.task, at.listed.ID)
}

func (cell *Cell) forgetOrphan(held *run) {
	id := held.name.Task.Job
	orphans, known := cell.orphans[id]
	if !known {
		return
	}
	kept := orphans[:0]
	for _, orphan := range orphans {
		if orphan != held {
			kept = append(kept, orphan)
		}
	}
	cell.orphans[id] = kept
	if len(kept) == 0 {
		delete(cell.orphans, id)
	}
}

func (cell *Cell) startReplied(event StartReplied) {
	at, known := cell.upstreams[event.Reply.Order.Upstream]
	if !known {
		return
	}
	held, known := at.runs[event.Run]
	if at.fenced(event.Reply) && at.state != upstreamForeign {
		cell.concede(at)
	}
	if !known {
		return
	}
	switch event.Reply.Outcome {
	case OutcomeDone:
		cell.confirm(held)
	case OutcomeUnknown:
		cell.doubt(held)
	case OutcomeRestarted:
		// Another process answered, and has not started the run.
		cell.gone(held, "upstream restarted")
		at.lookBy(cell.now)
	case OutcomeInvalid:
		owner := held.owner
		cell.gone(held, "start refused as invalid")
		if owner != nil && cell.jobs[owner.job.ID] == owner {
			cell.finish(owner, Answer{
				Result: Interrupted,
				Reason: "invalid",
			})
		}
	default:
		cell.refuse(held, event.Reply.Outcome)
	}
}

// confirm takes note that a run has started.
func (cell *Cell) confirm(held *run) {
	if held.confirmedAt.IsZero() {
		held.confirmedAt = cell.now
		held.percentAt = cell.now
	}
	held.mayHaveRun()
	if held.state == runStarting || (held.state == runUnsure && held.reason == "") {
		held.state = runRunning
	}
	held.dueAt = cell.now.Add(held.expected)
}

// doubt looks whether a run started whose order got no answer.
func (cell *Cell) doubt(held *run) {
	if held.state != runStarting {
		return
	}
	held.state = runUnsure
	held.doubtedAt = cell.now
	held.mayHaveRun()
	cell.lookNow(held.at)
}

// mayHaveRun keeps the run's job from being told as not run.
func (held *run) mayHaveRun() {
	if held.owner != nil {
		held.owner.started = true
	}
}

// refuse makes the task of a refused start wait again. No run was started.
func (cell *Cell) refuse(held *run, outcome Outcome) {
	limits := cell.config.Limits
	at := held.at
	switch outcome {
	case OutcomeFull:
		at.fullUntil = cell.now.Add(limits.FullFor)
		at.lookBy(cell.now)
	case OutcomeUnhealthy:
		cell.setAside(at, limits.UnhealthyFor, "refuses orders")
	case OutcomeStale:
		if held.task != nil {
			held.task.number += runsPerGeneration
		}
	case OutcomeLate, OutcomeFenced, OutcomeNotSent:
		at.lookBy(cell.now)
	default:
	}
	if held.state != runStarting {
		return
	}
	cell.gone(held, outcome.String())
}

// stop ends a run. Its room stays taken until the end is known.
func (cell *Cell) stop(held *run, reason string) {
	if held.state != runUnsure {
		held.state = runStopping
	}
	if held.reason == "" {
		held.reason = reason
	}
	cell.sendStop(held)
}

func (cell *Cell) sendStop(held *run) {
	if held.stopping || held.at.state == upstreamForeign {
		return
	}
	held.stopping = true
	held.stopAt = time.Time{}
	cell.counters.Stops++
	order := cell.orderFor(held.at, false)
	cell.decide(StopRun{
		Order:  order,
		Run:    held.name,
		Reason: held.reason,
	})
}

func (cell *Cell) stopReplied(event StopReplied) {
	at, known := cell.upstreams[event.Reply.Order.Upstream]
	if !known {
		return
	}
	if at.fenced(event.Reply) && at.state != upstreamForeign {
		cell.concede(at)
	}
	held, known := at.runs[event.Run]
	if !known {
		return
	}
	held.stopping = false
	limits := cell.config.Limits
	switch event.Reply.Outcome {
	case OutcomeDone:
		held.stoppedAt = cell.now
		at.lookBy(cell.now.Add(limits.StopGrace))
	case OutcomeRestarted:
		cell.gone(held, "upstream restarted")
	default:
		held.stopAt = cell.now.Add(limits.StopRetry)
	}
}

// tickRun acts on the times of a run.
func (cell *Cell) tickRun(held *run) {
	if !held.stopAt.IsZero() && !cell.now.Before(held.stopAt) {
		cell.sendStop(held)
	}
	if !held.orphanUntil.IsZero() && !cell.now.Before(held.orphanUntil) {
		held.orphanUntil = time.Time{}
		cell.forgetOrphan(held)
		cell.stop(held, "nobody submitted its job")
	}
}

// unlisted settles a run that the upstream does not list, as far as the
// answer can prove that it is over.
func (cell *Cell) unlisted(held *run, reply Reply) {
	switch held.state {
	case runStarting:
	case runRunning:
		if reply.SentAt.After(held.confirmedAt) {
			cell.gone(held, "not listed any more")
		}
	case runUnsure, runStopping:
		if held.reason == "" {
			// The order may still be carried out. The stop makes the upstream
			// reject it.
			if !reply.SentAt.Before(held.doubtedAt) {
				cell.stop(held, "start got no answer")
			}
			return
		}
		// A run that is being stopped works on for the grace, and is not listed.
		stopped := !held.stoppedAt.IsZero() &&
			!reply.SentAt.Before(held.stoppedAt.Add(cell.config.Limits.StopGrace))
		late := held.confirmedAt.IsZero() && held.leaseEnd > 0 && reply.Clock > held.leaseEnd
		confirmed := !held.confirmedAt.IsZero() && reply.SentAt.After(held.confirmedAt)
		if stopped || late || confirmed {
			cell.gone(held, held.reason)
		}
	}
}

// endRun applies the end of a run.
func (cell *Cell) endRun(at *upstream, row EndedRun) {
	held, known := at.runs[row.Run]
	if !known {
		cell.endUnknown(row)
		return
	}
	cell.judge(held, row.End)
	if held.task == nil || held.task.run != held {
		cell.gone(held, "ended")
		return
	}
	owner, ended := held.owner, held.task
	owner.started = true
	switch row.End {
	case EndDone:
		ended.run = nil
		cell.gone(held, "done")
		cell.completeTask(owner, ended)
	case EndFailed:
		ended.run = nil
		cell.gone(held, "failed")
		cell.decide(RunLost{
			Upstream: at.listed.ID,
			Run:      held.name,
			Reason:   "failed",
		})
		cell.failTask(owner, ended, at)
	case EndStopped:
		reason := held.reason
		if reason == "" {
			reason = "stopped or lapsed"
		}
		cell.gone(held, reason)
	}
}

// endUnknown applies the end of a run that another Cell started.
func (cell *Cell) endUnknown(row EndedRun) {
	if row.End != EndDone {
		return
	}
	held, known := cell.jobs[row.Run.Task.Job]
	if !known {
		if cell.young() {
			id := row.Run.Task.Job
			cell.earlyEnds[id] = append(cell.earlyEnds[id], row.Run.Task)
		}
		return
	}
	if found := held.find(row.Run.Task); found != nil && found.run == nil {
		cell.completeTask(held, found)
	}
}

// discover takes note of a run that the Cell did not start.
func (cell *Cell) discover(at *upstream, name RunName) *run {
	limits := cell.config.Limits
	found := &run{
		name:        name,
		at:          at,
		state:       runRunning,
		confirmedAt: cell.now,
		percentAt:   cell.now,
		need: Resources{
			MilliCores: at.listed.Capacity.MilliCores / max(unknownShare, 1),
		},
	}
	cell.occupy(found)
	held, known := cell.jobs[name.Task.Job]
	if known {
		cell.adopt(held, found)
		return found
	}
	found.orphan = true
	at.orphans++
	found.orphanUntil = cell.now.Add(limits.OrphanWindow)
	id := name.Task.Job
	cell.orphans[id] = append(cell.orphans[id], found)
	return found
}

// unknownShare divides an upstream's cores to guess what a run of an unknown
// job takes.
const unknownShare = 2

// adopt makes a run that another Cell started the run of its task, or stops
// it where the task has another one.
func (cell *Cell) adopt(held *jobState, found *run) {
	found.orphanUntil = time.Time{}
	if found.orphan {
		found.orphan = false
		found.at.orphans--
	}
	wanted := held.find(found.name.Task)
	if wanted == nil || wanted.state == taskDone || wanted.run != nil {
		cell.stop(found, "its task runs elsewhere or is done")
		return
	}
	if wanted.state == taskWaiting {
		held.queued--
	}
	cell.counters.Adopted++
	wanted.state = taskActive
	wanted.run = found
	wanted.number = max(wanted.number, found.name.Number)
	held.active++
	held.ordered = true
	held.started = true
	found.owner = held
	found.task = wanted
	step := held.job.Steps[wanted.name.Step]
	found.need = step.Need
	found.expected = held.expected(step.Estimate, found.at.speed)
	found.at.recount()
}
