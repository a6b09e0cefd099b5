package dispatcher

import (
	"slices"
	"time"

	"tanagerfall/shared/connection/link"
	"tanagerfall/shared/process/logevent"
	"tanagerfall/shared/request/cell"
)

const (
	// resubmitAfter is how long a declined job waits before it is submitted
	// again.
	resubmitAfter = 50 * time.Millisecond
	// answerMargin is kept between the last answer and the caller's deadline.
	// It is less than the scheduler's, whose answer is better informed.
	answerMargin = 60 * time.Millisecond
	// noScheduler is the advice to callers whose jobs found no scheduler.
	noScheduler = time.Second
)

// heldJob is a job that callers of this entry VM wait for.
type heldJob struct {
	job      cell.Job
	received time.Time
	deadline time.Time
	answers  []chan<- cell.Answer
	// sentTo is the scheduler that has the job; empty if none has.
	sentTo string
	// sent counts the submissions. A scheduler may have taken each of them,
	// also one that got no answer.
	sent int
	// safeAt is when no earlier scheduler acts on the job any more.
	safeAt  time.Time
	retryAt time.Time
	// released is set where the last scheduler told what it left of the job.
	released bool
	runsAt   []string
	// notStarted is set where all schedulers that had the job have told that
	// they ordered no start.
	notStarted bool
}

// worthless reports whether an answer to a job that no scheduler has would
// come too late to be worth something.
func (held *heldJob) worthless(now time.Time) bool {
	return held.sentTo == "" && now.Sub(held.received) > cell.LateFactor*held.job.LatencyBudget(1)
}

func (loop *loop) accept(event accepted) {
	held, known := loop.held[event.job.ID]
	if known {
		held.answers = append(held.answers, event.answer)
		return
	}
	if turnsAway(event.job.ID, loop.turned()) {
		loop.log(logevent.JobGivenUp, "job", event.job.ID, "kind", event.job.Kind, "result", string(cell.NotRun),
			"reason", "scheduler full")
		event.answer <- cell.Answer{
			ID:         event.job.ID,
			Result:     cell.NotRun,
			Reason:     "scheduler full",
			RetryAfter: noScheduler,
		}
		return
	}
	held = &heldJob{
		job:      event.job,
		received: loop.now.Add(-event.job.Age),
		deadline: loop.now.Add(event.job.TimeLeft),
		answers:  []chan<- cell.Answer{event.answer},
	}
	loop.held[event.job.ID] = held
	loop.log(logevent.JobAccepted, "job", event.job.ID, "kind", event.job.Kind, "left", event.job.TimeLeft)
	loop.submit(held)
}

// turned returns the share of new jobs that the scheduler wants turned away.
func (loop *loop) turned() float64 {
	if loop.cell != nil {
		return loop.pace.turned
	}
	beat, known := loop.view.LastHeartbeat(loop.leader)
	if !known {
		return 0
	}
	return beat.ShedShare
}

// submit sends a job to the scheduler, unless it has it.
func (loop *loop) submit(held *heldJob) {
	if loop.leader == "" || held.sentTo == loop.leader || loop.now.Before(held.retryAt) {
		return
	}
	held.job.Generation = held.sent
	held.sent++
	held.sentTo = loop.leader
	job := held.job
	job.Age = loop.now.Sub(held.received)
	job.TimeLeft = held.deadline.Sub(loop.now)
	job.Quarantine = max(held.safeAt.Sub(loop.now), 0)
	job.Released = held.released
	job.RunsAt = held.runsAt
	job.NotStarted = held.notStarted
	held.released = false
	held.runsAt = nil
	held.notStarted = false
	if loop.leader == loop.view.Self().Address {
		loop.tell(cell.JobSubmitted{
			EntryVM: loop.selfName(),
			Job:     job,
		})
		return
	}
	loop.send(loop.leader, link.Message{
		Submit: &job,
	})
}

// submitAll sends all jobs to the scheduler again after a connection broke. It
// ignores those that it has.
func (loop *loop) submitAll() {
	for _, held := range loop.held {
		if held.sentTo == loop.leader {
			held.sentTo = ""
			held.safeAt = loop.now.Add(quarantine)
		}
		loop.submit(held)
	}
}

// follow submits to another scheduler from now on.
func (loop *loop) follow(leader, reason string) {
	if leader == loop.leader {
		return
	}
	loop.log(logevent.SchedulerFollowed, "scheduler", leader, "before", loop.leader, "reason", reason)
	if loop.leader != "" && loop.leader != loop.view.Self().Address && !loop.view.Live(loop.leader) {
		loop.dispatcher.links.Reset(loop.leader)
	}
	before := loop.leader
	loop.leader = leader
	loop.view.Follow(leader)
	for _, held := range loop.held {
		if held.sentTo != "" {
			if before != loop.view.Self().Address {
				loop.withdrawSent(held)
			}
			held.sentTo = ""
			held.safeAt = loop.now.Add(quarantine)
		}
	}
	if leader == "" {
		return
	}
	if leader != loop.view.Self().Address {
		loop.sendBeat(leader, false)
	}
	for _, held := range loop.held {
		loop.submit(held)
	}
}

// released takes note of what a scheduler that stood down left of a job.
func (loop *loop) released(from string, release cell.Release) {
	held, known := loop.held[release.ID]
	if !known || held.sentTo != from {
		return
	}
	held.sentTo = ""
	held.safeAt = loop.now.Add(quarantine)
	held.released = true
	held.runsAt = release.RunsAt
	held.notStarted = release.NotStarted
}

func (loop *loop) declined(from, id string) {
	held, known := loop.held[id]
	if !known || held.sentTo != from {
		return
	}
	held.sentTo = ""
	if held.sent == 1 {
		// Nobody else had the job, so it is as new as before.
		held.sent = 0
	}
	held.retryAt = loop.now.Add(resubmitAfter)
}

func (loop *loop) answered(from string, answer cell.Answer) {
	held, known := loop.held[answer.ID]
	if !known || held.sentTo != from {
		return
	}
	loop.reply(held, answer)
}

func (loop *loop) reply(held *heldJob, answer cell.Answer) {
	delete(loop.held, held.job.ID)
	took := loop.now.Sub(held.received)
	loop.dispatcher.meters.answered(held.job.Kind, answer, took)
	event := logevent.JobAnswered
	switch {
	case answer.Result != cell.Completed:
		event = logevent.JobGivenUp
	case took > held.job.LatencyBudget(1):
		event = logevent.JobLate
	}
	pairs := []any{
		"job", answer.ID, "kind", held.job.Kind, "result", string(answer.Result),
		"reason", answer.Reason, "took", took, "allowed", held.job.LatencyBudget(1), "schedulers", held.sent,
	}
	if progress := answer.Progress; progress != nil {
		pairs = append(pairs, "done", progress.Done, "running", progress.Running, "waiting", progress.Waiting)
	}
	loop.log(event, pairs...)
	for _, waiting := range held.answers {
		waiting <- answer
	}
}

// callerLeft withdraws a job when its last caller is gone.
func (loop *loop) callerLeft(event callerLeft) {
	held, known := loop.held[event.id]
	if !known {
		return
	}
	held.answers = slices.DeleteFunc(held.answers, func(other chan<- cell.Answer) bool { return other == event.answer })
	if len(held.answers) > 0 {
		return
	}
	delete(loop.held, event.id)
	loop.dispatcher.meters.count(metricWithdrawn)
	loop.log(logevent.JobWithdrawn, "job", event.id, "kind", held.job.Kind, "after", loop.now.Sub(held.received))
	switch held.sentTo {
	case "":
	case loop.view.Self().Address:
		loop.tell(cell.JobWithdrawn{
			EntryVM: loop.selfName(),
			ID:      event.id,
		})
	default:
		loop.send(held.sentTo, link.Message{
			Withdraw: &link.Withdraw{
				JobID: event.id,
			},
		})
	}
}

// tickHeld submits jobs that wait for a scheduler, and answers those whose
// time is over.
func (loop *loop) tickHeld() {
	for _, held := range loop.held {
		if loop.now.Before(held.deadline.Add(-answerMargin)) && !held.worthless(loop.now) {
			loop.submit(held)
			continue
		}
		loop.giveUp(held, "deadline")
	}
}

// giveUp answers a job that will not be completed in time. Only one that no
// scheduler can have started is told as not run.
func (loop *loop) giveUp(held *heldJob, reason string) {
	answer := cell.Answer{
		ID:     held.job.ID,
		Result: cell.Interrupted,
		Reason: reason,
	}
	if held.sent == 0 || (held.sentTo == "" && held.notStarted) {
		answer.Result = cell.NotRun
		answer.Reason = "no scheduler"
		answer.RetryAfter = noScheduler
	}
	loop.withdrawSent(held)
	loop.reply(held, answer)
}

func (loop *loop) withdrawSent(held *heldJob) {
	if held.sentTo != "" && held.sentTo != loop.view.Self().Address {
		loop.send(held.sentTo, link.Message{
			Withdraw: &link.Withdraw{
				JobID: held.job.ID,
			},
		})
	}
}
