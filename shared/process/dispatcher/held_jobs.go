package dispatcher

import (
	"slices"
	"time"

	"tanagerfall/shared/connection/link"
	"tanagerfall/shared/process/logevent"
	"tanagerfall/shared/request/cell"
)

const (
	// resubmitDelay is how long a declined job waits before it is submitted again.
	resubmitDelay = 50 * time.Millisecond
	// answerMargin is the time before the caller's deadline at which a job is
	// abandoned here. It is less than the scheduler's margin, because the answer of
	// the scheduler holds more information.
	answerMargin = 60 * time.Millisecond
	// minRunShare is the least share of its declared run time that a job is taken to
	// need by a process that has seen no runs of its kind.
	minRunShare = 0.6
	// callerRetryAfter is the retry delay reported to callers whose jobs were shed
	// or found no scheduler.
	callerRetryAfter = time.Second
)

// heldJob is a job for which callers of this entry VM wait.
type heldJob struct {
	job        cell.Job
	receivedAt time.Time
	deadline   time.Time
	// waiters holds the answer channels of the callers.
	waiters []chan<- cell.Answer
	// scheduler is the address of the scheduler that has the job; empty if none
	// has.
	scheduler string
	// foreignScheduler is the address of the scheduler of another cell that the job
	// goes to; empty if it goes to that of the own cell.
	foreignScheduler string
	// submittedAt is when the job was last submitted.
	submittedAt time.Time
	// submission is the number of the last submission, lastScheduler where it went, and
	// firstSubmission the first of those that went there without another between them.
	submission      uint64
	firstSubmission uint64
	lastScheduler   string
	// settled is set if lastScheduler has reported that it does not have the job and ordered
	// no start, and settledBefore if the same is known of all before firstSubmission.
	settled       bool
	settledBefore bool
	// submissions counts the submissions to schedulers. Each may have been
	// accepted, even if no answer came.
	submissions int
	// quarantineEnd is when no earlier scheduler acts on the job any more, and
	// earlierSets identifies the sets of upstreams on which those before may have started it;
	// unknownSet stands for any upstreams.
	quarantineEnd time.Time
	earlierSets   []uint64
	// retryAt is the earliest time of the next submission.
	retryAt time.Time
	// released is set if the last scheduler stepped down and reported the runs that
	// it left of the job. They can only be on the upstreams in runsAt.
	released bool
	runsAt   []string
	// resubmitReason says why the job has to be submitted again.
	resubmitReason string
}

// tooLate reports whether no scheduler has the job and its answer would come too
// late to be of use even if the job started now on the fastest upstream.
func (heldJob *heldJob) tooLate(now time.Time, speed float64) bool {
	if heldJob.scheduler != "" {
		return false
	}
	finishAt := now.Add(time.Duration(minRunShare * float64(heldJob.job.LongestChain()) / speed))
	worthlessAt := heldJob.receivedAt.Add(cell.LateFactor * heldJob.job.LatencyBudget(1))
	return finishAt.After(worthlessAt) || finishAt.After(heldJob.deadline.Add(-answerMargin))
}

// acceptCallerJob holds a job of a caller and submits it to the scheduler. A job
// with the ID of a held one joins it. A job that the scheduler would refuse, or can't start in
// time, is refused.
func (loop *loop) acceptCallerJob(event jobAccepted) {
	job, known := loop.heldJobs[event.job.ID]
	if known {
		job.waiters = append(job.waiters, event.answer)
		loop.recordEarlierRequest(job, event.job.ResentAfter)
		return
	}
	job = &heldJob{
		job:           event.job,
		receivedAt:    loop.now.Add(-event.job.Age),
		deadline:      loop.now.Add(event.job.TimeLeft),
		waiters:       []chan<- cell.Answer{event.answer},
		settledBefore: true,
	}
	if loop.refuseCancelled(event.job.ID) {
		loop.answerCallers(job, cancelledAnswer(event.job.ID))
		return
	}
	loop.recordEarlierRequest(job, event.job.ResentAfter)
	job.job.Domain = loop.view.Self().Domain
	if loop.refuseEarly(job, event.answer) || loop.shed(job, event.answer) {
		return
	}
	loop.heldJobs[event.job.ID] = job
	loop.log(logevent.JobAccepted, "job", event.job.ID, "kind", event.job.Kind, "left", event.job.TimeLeft)
	loop.submit(job)
}

// recordEarlierRequest records that the caller of a job has sent it before, perhaps to another
// entry VM, whose scheduler may have started it. resentAfter is 0 if it has not.
func (loop *loop) recordEarlierRequest(heldJob *heldJob, resentAfter time.Duration) {
	if resentAfter == 0 {
		return
	}
	heldJob.job.ResentAfter = max(heldJob.job.ResentAfter, resentAfter)
	quarantineEnd := loop.now.Add(loop.quarantine() - resentAfter)
	if !quarantineEnd.After(loop.now) {
		return
	}
	if quarantineEnd.After(heldJob.quarantineEnd) {
		heldJob.quarantineEnd = quarantineEnd
	}
	heldJob.addEarlierSets(loop.setsOfEarlierRequest()...)
}

// shedShare returns the share of new jobs that the scheduler wants shed.
func (loop *loop) shedShare() float64 {
	if loop.cell != nil {
		return loop.loadMonitor.shedShare
	}
	heartbeat, known := loop.view.LastHeartbeat(loop.leader)
	if !known {
		return 0
	}
	return heartbeat.ShedShare
}

// destination returns the address of the scheduler that a job goes to: that of the
// cell, or of another cell if the job was sent there or the own cell has no
// scheduler. It is empty if there is none.
func (loop *loop) destination(heldJob *heldJob) string {
	if heldJob.foreignScheduler == "" && loop.leader == "" && heldJob.scheduler == "" {
		loop.chooseForeignScheduler(heldJob)
	}
	if heldJob.foreignScheduler != "" {
		return heldJob.foreignScheduler
	}
	return loop.leader
}

// submit submits a job to its scheduler, unless the scheduler has it already or
// its retry delay has not passed.
func (loop *loop) submit(heldJob *heldJob) {
	if loop.now.Before(heldJob.retryAt) {
		return
	}
	scheduler := loop.destination(heldJob)
	if scheduler == "" || heldJob.scheduler == scheduler {
		return
	}
	heldJob.job.Generation = heldJob.submissions
	heldJob.submissions++
	heldJob.scheduler = scheduler
	heldJob.submittedAt = loop.now
	loop.numberSubmission(heldJob)
	job := heldJob.job
	isForeign := scheduler == heldJob.foreignScheduler
	job.Age = loop.now.Sub(heldJob.receivedAt)
	job.TimeLeft = heldJob.deadline.Sub(loop.now)
	job.Quarantine = max(heldJob.quarantineEnd.Sub(loop.now), 0)
	if job.Quarantine == 0 {
		heldJob.earlierSets = nil
	}
	job.EarlierSets = heldJob.earlierSets
	job.Released = heldJob.released
	job.RunsAt = heldJob.runsAt
	heldJob.released = false
	heldJob.runsAt = nil
	if heldJob.resubmitReason != "" {
		loop.recordResubmission(heldJob, &job)
	}
	if scheduler == loop.view.Self().Address {
		loop.notifyCell(cell.JobSubmitted{
			EntryVM: loop.selfName(),
			Job:     job,
		})
		return
	}
	if isForeign {
		// The heartbeat shows the other scheduler that this process is live.
		loop.useForeignLink(scheduler)
		loop.sendHeartbeat(scheduler, false)
	}
	loop.send(scheduler, link.Message{
		Submit: &job,
	})
}

// resubmitAll submits all jobs to the scheduler again after its connection was
// established anew. The scheduler ignores the jobs that it has.
func (loop *loop) resubmitAll() {
	for _, heldJob := range inOrder(loop.heldJobs) {
		if heldJob.scheduler == loop.leader {
			loop.suspend(heldJob, resubmitStreamReplaced)
		}
		loop.submit(heldJob)
	}
}

// follow makes another process the scheduler that jobs are submitted to. All held
// jobs are withdrawn from the previous scheduler and submitted to the new one
// with a quarantine. An empty leader means that no scheduler is known.
func (loop *loop) follow(leader, reason string) {
	if leader == loop.leader {
		return
	}
	loop.log(logevent.SchedulerFollowed, "scheduler", leader, "before", loop.leader, "reason", reason)
	if loop.leader != "" && loop.leader != loop.view.Self().Address && !loop.view.Live(loop.leader) {
		loop.dispatcher.links.Reset(loop.leader)
	}
	loop.recordFormerSet(loop.leader)
	loop.leader = leader
	loop.view.Follow(leader)
	for _, heldJob := range inOrder(loop.heldJobs) {
		if heldJob.scheduler != "" && heldJob.foreignScheduler == "" {
			loop.withdrawFromScheduler(heldJob)
			loop.suspend(heldJob, resubmitFollows)
		}
	}
	if leader == "" {
		return
	}
	if leader != loop.view.Self().Address {
		loop.sendHeartbeat(leader, false)
	}
	for _, heldJob := range inOrder(loop.heldJobs) {
		loop.submit(heldJob)
	}
}

// handleRelease records which runs of a job a scheduler left when it stepped down.
func (loop *loop) handleRelease(from string, release cell.Release) {
	heldJob, known := loop.answeredJob(from, release.ID, release.Submission, "release")
	if !known {
		return
	}
	loop.leaveScheduler(heldJob, resubmitReleased)
	heldJob.released = true
	heldJob.runsAt = release.RunsAt
	heldJob.settled = release.NotStarted && heldJob.coveredBy(release.Submission)
}

// handleDecline schedules another submission of a job that the scheduler did not
// accept. The job goes to the target of the decline, the scheduler of another cell, unless
// that is empty.
func (loop *loop) handleDecline(from string, decline link.Decline) {
	heldJob, known := loop.answeredJob(from, decline.JobID, decline.Submission, "decline")
	if !known {
		return
	}
	// A scheduler that does not accept this submission may have accepted one before, unless it
	// hands the job over.
	heldJob.settled = heldJob.coveredBy(decline.Submission) &&
		(decline.Target != "" || heldJob.submission == heldJob.firstSubmission)
	if !heldJob.settled {
		heldJob.quarantineEnd = loop.now.Add(loop.quarantine())
		if heldJob.foreignScheduler != "" {
			// The next submission goes to another scheduler, and this one may have the job: a
			// submission that arrives late is declined by a scheduler as well.
			loop.withdrawFromScheduler(heldJob)
		}
	}
	heldJob.scheduler = ""
	heldJob.foreignScheduler = ""
	heldJob.resubmitReason = resubmitDeclined
	if heldJob.neverStarted() && heldJob.job.ResentAfter == 0 {
		// No scheduler has started the job, so the next submission needs no quarantine.
		heldJob.submissions = 0
		heldJob.quarantineEnd = time.Time{}
		heldJob.earlierSets = nil
	}
	if decline.Target != "" {
		heldJob.assignForeign(decline.Target)
		loop.submit(heldJob)
		return
	}
	heldJob.retryAt = loop.now.Add(resubmitDelay)
}

// handleDropped submits the jobs again that a scheduler has withdrawn because it did
// not hear this process. A run of them may still be stopping. Jobs that were submitted since
// are not affected.
func (loop *loop) handleDropped(from string, through uint64) {
	for _, heldJob := range inOrder(loop.heldJobs) {
		if heldJob.scheduler != from || (through != 0 && heldJob.submission > through) {
			continue
		}
		loop.suspend(heldJob, resubmitDropped)
		loop.submit(heldJob)
	}
}

// suspend records that a job has to be submitted again, although its scheduler may still
// act on it until the end of a quarantine.
func (loop *loop) suspend(heldJob *heldJob, reason string) {
	heldJob.resubmitReason = reason
	heldJob.addEarlierSets(loop.setOf(heldJob.scheduler))
	heldJob.scheduler = ""
	heldJob.quarantineEnd = loop.now.Add(loop.quarantine())
}

// handleAnswer passes a scheduler's answer to the callers. An answer of a process
// that does not have the job any more is ignored.
func (loop *loop) handleAnswer(from string, answer cell.Answer) {
	submission := answer.Submission
	if answer.Result == cell.Completed {
		// All tasks are done, whatever becomes of a later submission.
		submission = 0
	}
	heldJob, known := loop.answeredJob(from, answer.ID, submission, string(answer.Result))
	if !known {
		return
	}
	if answer.Submission != heldJob.submission {
		loop.withdrawFromScheduler(heldJob)
	}
	if answer.Result == cell.NotRun && (heldJob.job.ResentAfter > 0 || (answer.Submission == 0 && heldJob.submissions > 1)) {
		// The scheduler does not know of the earlier request, or the answer may be to an
		// earlier submission.
		answer.Result = cell.Interrupted
		answer.RetryAfter = 0
	}
	loop.answerCallers(heldJob, answer)
}

// answerCallers removes a held job and sends its answer to all waiting callers.
func (loop *loop) answerCallers(heldJob *heldJob, answer cell.Answer) {
	delete(loop.heldJobs, heldJob.job.ID)
	elapsed := loop.now.Sub(heldJob.receivedAt)
	loop.dispatcher.instruments.recordAnswer(heldJob.job.Kind, answer, elapsed)
	event := logevent.JobAnswered
	switch {
	case answer.Result != cell.Completed:
		event = logevent.JobGivenUp
	case elapsed > heldJob.job.LatencyBudget(1):
		event = logevent.JobLate
	}
	pairs := []any{
		"job", answer.ID, "kind", heldJob.job.Kind, "result", string(answer.Result),
		"reason", answer.Reason, "took", elapsed, "allowed", heldJob.job.LatencyBudget(1), "schedulers", heldJob.submissions,
		"scheduler", heldJob.scheduler,
	}
	if progress := answer.Progress; progress != nil {
		pairs = append(pairs, "done", progress.Done, "running", progress.Running, "waiting", progress.Waiting)
	}
	loop.log(event, pairs...)
	for _, waiter := range heldJob.waiters {
		waiter <- answer
	}
}

// handleCallerLeft withdraws a job when its last caller has stopped waiting.
func (loop *loop) handleCallerLeft(event callerLeft) {
	heldJob, known := loop.heldJobs[event.id]
	if !known {
		return
	}
	heldJob.waiters = slices.DeleteFunc(heldJob.waiters, func(other chan<- cell.Answer) bool { return other == event.answer })
	if len(heldJob.waiters) > 0 {
		return
	}
	delete(loop.heldJobs, event.id)
	loop.dispatcher.instruments.increment(metricWithdrawn)
	loop.log(logevent.JobWithdrawn, "job", event.id, "kind", heldJob.job.Kind, "after", loop.now.Sub(heldJob.receivedAt),
		"scheduler", heldJob.scheduler, "submission", heldJob.submission)
	loop.withdrawFromScheduler(heldJob)
}

// updateHeldJobs submits the jobs that wait for a scheduler and abandons those
// whose deadline is near or whose answer would be too late.
func (loop *loop) updateHeldJobs() {
	topSpeed := 0.0
	for _, heldJob := range inOrder(loop.heldJobs) {
		if topSpeed == 0 && heldJob.scheduler == "" {
			topSpeed = loop.topSpeed()
		}
		if loop.now.Before(heldJob.deadline.Add(-answerMargin)) && !heldJob.tooLate(loop.now, topSpeed) {
			loop.submit(heldJob)
			continue
		}
		loop.abandon(heldJob, "deadline")
	}
}

// topSpeed returns the highest known speed of an upstream, and at least 1.
func (loop *loop) topSpeed() float64 {
	speed := 1.0
	for i := range loop.upstreams {
		speed = max(speed, loop.estimator.Speed(loop.upstreams[i].ID))
	}
	return speed
}

// abandon answers a job that will not be completed in time. It is reported as not
// run only if no scheduler can have started it, nor an earlier request for it.
func (loop *loop) abandon(heldJob *heldJob, reason string) {
	answer := cell.Answer{
		ID:     heldJob.job.ID,
		Result: cell.Interrupted,
		Reason: reason,
	}
	if heldJob.neverStarted() && heldJob.job.ResentAfter == 0 {
		answer.Result = cell.NotRun
		answer.Reason = "no scheduler"
		answer.RetryAfter = callerRetryAfter
	}
	loop.withdrawFromScheduler(heldJob)
	loop.answerCallers(heldJob, answer)
}
