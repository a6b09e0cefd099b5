package cell

import (
	"math"
	"slices"
	"time"

	"tanagerfall/shared/request/admission"
)

// taskStatus is the status of a task.
type taskStatus uint8

const (
	// taskBlocked means that tasks of earlier steps are not done.
	taskBlocked taskStatus = iota
	// taskWaiting means that the task waits for an upstream.
	taskWaiting
	// taskActive means that a run of the task may exist on an upstream.
	taskActive
	// taskDone means that a run ended as done.
	taskDone
)

// taskState is the state of one task of a job.
type taskState struct {
	name   TaskName
	status taskStatus
	// runNumber is the number of the latest run.
	runNumber int
	// failures counts the failed runs, and chargedFailures those that count
	// against the job's MaxAttempts. A failure on an upstream that fails every run
	// is not charged.
	failures        int
	chargedFailures int
	currentRun      *runState
	// avoidedUpstream is the upstream of the latest run that ended without a
	// result.
	avoidedUpstream string
	// movedAsSlow is set once a run of the task was moved because it was slow, and
	// longerThanExpected once a later run was slow as well.
	movedAsSlow        bool
	longerThanExpected bool
}

// jobState is the Cell's state of a job.
type jobState struct {
	submitted Job
	// holders are the entry VMs whose callers wait for the job.
	holders  []Holder
	tasks    []*taskState
	arrival  time.Time
	deadline time.Time
	// submittedAt is when this Cell received the job.
	submittedAt time.Time
	// chainEstimate is the estimated run time of the longest chain of steps that are not
	// done at speed 1.
	chainEstimate time.Duration
	// ratio is the kind's ratio of actual to estimated run times.
	ratio float64
	// target is the time by which the latency objective is met, and worthlessAt
	// the time from which an answer has no value to the caller.
	target      time.Time
	worthlessAt time.Time
	// quarantineEnd is the time from which no previous Cell acts on the job.
	quarantineEnd time.Time
	// startsAllowed is set once tasks may start.
	startsAllowed bool
	// startOrdered is set once a start was ordered, and started once a task may
	// have run.
	startOrdered bool
	started      bool
	// ranBefore is set if a task may have run before the Cell received the job.
	ranBefore bool
	// unfinished counts the tasks that are not done, activeTasks those with a
	// run, and waitingTasks those that wait for an upstream.
	unfinished   int
	activeTasks  int
	waitingTasks int
	// held is set if no task of the job is to start before the next round of its
	// Planner.
	held bool
	// lastChance is set while the job is refused unless it starts now. It then takes an
	// upstream on which it is late rather than wait for a faster one.
	lastChance bool
	// surplus is what the job needs if it is refused and could be handed to another cell.
	surplus *Surplus
	// inWaitingJobs is set while the job is in Cell.waitingJobs.
	inWaitingJobs bool
}

func (cell *Cell) submit(event JobSubmitted) {
	job, ok := cell.jobs[event.Job.ID]
	if ok {
		cell.join(job, event)
		return
	}
	cell.counters.Submitted++
	if cell.completed.contains(event.Job.ID) {
		cell.decide(AnswerJob{
			EntryVM: event.EntryVM,
			Answer: Answer{
				ID:         event.Job.ID,
				Result:     Completed,
				Submission: event.Job.Submission,
			},
		})
		return
	}
	if cell.repeatAnswer(event) {
		return
	}
	if event.Job.Generation > 0 && event.Job.NotStartedBefore && cell.neverStartedHere(&event) {
		event.Job.NotStarted = true
		event.Job.Quarantine = 0
	}
	if !cell.admitsCost(&event.Job) {
		cell.refuseForMemory(event)
		return
	}
	cell.heldBytes += event.Job.scheduledCost()
	job = cell.newJobState(event.Job)
	job.holders = []Holder{{
		EntryVM:    event.EntryVM,
		Submission: event.Job.Submission,
		Generation: event.Job.Generation,
	}}
	// Its caller may have sent the job to another entry VM before, which can't always be told
	// from the request.
	job.ranBefore = cell.startedJobs.contains(event.Job.ID)
	cell.jobs[event.Job.ID] = job
	cell.adoptEarlierRuns(job)
	if job.unfinished == 0 {
		cell.finish(job, Answer{
			Result: Completed,
		})
		return
	}
	cell.unblockTasks(job)
	cell.enqueue(job)
	cell.servicePlan(job.submitted.Service).planner.Arrived(cell.now, cell.admissionJob(job))
	if event.Job.Quarantine > 0 {
		cell.awaitQuarantine(job)
	}
}

// LateFactor is the age of a job, in multiples of its latency budget, from which its
// answer has no value to the caller.
const LateFactor = 3

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func (cell *Cell) newJobState(submitted Job) *jobState {
	job := &jobState{
		submitted:     submitted,
		arrival:       cell.now.Add(-submitted.Age),
		deadline:      cell.now.Add(submitted.TimeLeft),
		chainEstimate: longestChain(submitted.Steps),
		quarantineEnd: cell.now.Add(submitted.Quarantine),
		submittedAt:   cell.now,
	}
	job.ratio = cell.config.Estimator.Ratio(submitted.Kind)
	budget := submitted.LatencyBudget(job.ratio)
	job.target = job.arrival.Add(budget - cell.config.Limits.Overhead)
	job.worthlessAt = job.arrival.Add(LateFactor * budget)
	cell.recordSlack(submitted.Kind, budget-job.predictRunTime(job.chainEstimate, cell.fastestSpeed(submitted.Service)))
	for stepIndex, definition := range submitted.Steps {
		for taskIndex := range definition.Count {
			job.tasks = append(job.tasks, &taskState{
				name: TaskName{
					Job:   submitted.ID,
					Step:  stepIndex,
					Index: taskIndex,
				},
				runNumber: submitted.Generation * runsPerGeneration,
			})
		}
	}
	job.unfinished = len(job.tasks)
	return job
}

// runsPerGeneration bounds the runs of a task that one Cell can number.
const runsPerGeneration = 1000

// longestChain returns the estimated run time of the longest chain of dependent
// steps.
func longestChain(steps []Step) time.Duration {
	ends := make([]time.Duration, len(steps))
	var longest time.Duration
	for i, step := range steps {
		for _, dependency := range step.DependsOn {
			if dependency >= 0 && dependency < i {
				ends[i] = max(ends[i], ends[dependency])
			}
		}
		ends[i] += step.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// adoptEarlierRuns adopts the runs and ends that were seen before the job was
// submitted.
func (cell *Cell) adoptEarlierRuns(job *jobState) {
	id := job.submitted.ID
	for _, name := range cell.earlyEnds[id] {
		if task := job.findTask(name); task != nil && task.status != taskDone {
			job.started = true
			task.status = taskDone
			job.unfinished--
		}
	}
	delete(cell.earlyEnds, id)
	orphans := cell.orphans[id]
	delete(cell.orphans, id)
	for _, orphan := range orphans {
		cell.adoptRun(job, orphan)
	}
}

func (job *jobState) findTask(name TaskName) *taskState {
	for _, task := range job.tasks {
		if task.name == name {
			return task
		}
	}
	return nil
}

// unblockTasks makes the tasks wait whose earlier steps are done.
func (cell *Cell) unblockTasks(job *jobState) {
	for _, task := range job.tasks {
		if task.status == taskBlocked && job.stepReady(task.name.Step) {
			task.status = taskWaiting
			job.waitingTasks++
		}
	}
}

func (job *jobState) stepReady(step int) bool {
	for _, dependency := range job.submitted.Steps[step].DependsOn {
		for _, task := range job.tasks {
			if task.name.Step == dependency && task.status != taskDone {
				return false
			}
		}
	}
	return true
}

func (cell *Cell) enqueue(job *jobState) {
	cell.placementPending = true
	if job.inWaitingJobs || job.waitingTasks == 0 {
		return
	}
	job.inWaitingJobs = true
	cell.waitingJobs = append(cell.waitingJobs, job)
}

// ReasonCancelled is the reason in the answer of a job that a caller has cancelled.
// Such a job must not be submitted again.
const ReasonCancelled = "cancelled"

// Cancel stops a job at a caller's request, whichever entry VM has it, and
// reports whether the Cell has it. The entry VMs receive an answer with
// ReasonCancelled. Runs of the job that an earlier Cell started are stopped as well.
func (cell *Cell) Cancel(now time.Time, id string) (bool, []Decision) {
	if now.After(cell.now) {
		cell.now = now
	}
	cell.decisions = nil
	job, ok := cell.jobs[id]
	if ok {
		cell.abandon(job, ReasonCancelled, 0)
	}
	for _, orphan := range cell.orphans[id] {
		// The next tick stops the run.
		orphan.orphanDeadline = cell.now
	}
	return ok, cell.decisions
}

// finish answers a job and removes it.
func (cell *Cell) finish(job *jobState, answer Answer) {
	answer.ID = job.submitted.ID
	cell.recordEnd(job, answer)
	if answer.Result != Completed {
		answer.Progress = &Progress{
			Done:    len(job.tasks) - job.unfinished,
			Running: job.activeTasks,
			Waiting: job.unfinished - job.activeTasks,
		}
	}
	switch answer.Result {
	case Completed:
		cell.counters.Completed++
		cell.completed.add(cell.now, job.submitted.ID)
	case Failed:
		cell.counters.Failed++
	case Interrupted:
		cell.counters.Interrupted++
	case NotRun:
		cell.counters.NotRun++
	}
	for _, holder := range job.holders {
		answer.Submission = holder.Submission
		decision := AnswerJob{
			EntryVM: holder.EntryVM,
			Answer:  answer,
			Surplus: job.surplus,
		}
		cell.rememberAnswer(decision)
		cell.decide(decision)
	}
	cell.removeJob(job, answer.Reason)
}

// removeJob removes a job and stops its runs.
func (cell *Cell) removeJob(job *jobState, reason string) {
	delete(cell.jobs, job.submitted.ID)
	if job.mayHaveRun() {
		cell.startedJobs.add(cell.now, job.submitted.ID)
	}
	cell.heldBytes -= job.submitted.scheduledCost()
	for _, task := range job.tasks {
		if task.currentRun == nil {
			continue
		}
		run := task.currentRun
		task.currentRun = nil
		run.task = nil
		run.job = nil
		cell.stopRun(run, reason)
	}
	job.waitingTasks = 0
	job.activeTasks = 0
}

// abandon answers a job that will not be completed. The result is NotRun only
// if no run of the job can have started.
func (cell *Cell) abandon(job *jobState, reason string, retryAfter time.Duration) {
	limits := cell.config.Limits
	if job.mayHaveRun() {
		cell.finish(job, Answer{
			Result: Interrupted,
			Reason: reason,
		})
		return
	}
	cell.finish(job, Answer{
		Result:     NotRun,
		Reason:     reason,
		RetryAfter: min(max(retryAfter, limits.MinRetryAfter), limits.MaxRetryAfter),
	})
}

// tickJob abandons a job that is out of time: at the caller's deadline, or as soon as its
// waiting tasks could not end in time on the fastest upstream.
func (cell *Cell) tickJob(job *jobState) {
	if !cell.now.Before(job.deadline.Add(-cell.config.Limits.AnswerMargin)) {
		cell.abandon(job, "deadline", 0)
		return
	}
	if cell.refuseUnserved(job) {
		return
	}
	if job.waitingTasks == 0 {
		return
	}
	speed := cell.fastestSpeed(job.submitted.Service)
	if job.mayHaveRun() {
		// The caller can't send the job again, so a passing slowdown of the upstreams
		// does not count.
		speed = max(speed, 1)
	}
	fastest := job.predictRunTime(job.unstartedChain(), speed)
	surely := time.Duration(float64(fastest) * math.Exp(-cell.config.Estimator.LogStdDev(job.submitted.Kind)))
	if cell.earliestStart(job).Add(surely).After(cell.uselessAt(job)) {
		cell.abandon(job, admission.ReasonOverload, cell.servicePlan(job.submitted.Service).planner.RetryAfter(job.submitted.ID))
	}
}

// completeTask records a task whose run ended as done.
func (cell *Cell) completeTask(job *jobState, task *taskState) {
	switch task.status {
	case taskDone:
		return
	case taskWaiting:
		job.waitingTasks--
	case taskActive:
		job.activeTasks--
	case taskBlocked:
	}
	task.status = taskDone
	job.started = true
	job.unfinished--
	if job.unfinished == 0 {
		cell.finish(job, Answer{
			Result: Completed,
		})
		return
	}
	if len(job.submitted.Steps) > 1 {
		job.chainEstimate = job.remainingChain()
	}
	cell.unblockTasks(job)
	cell.enqueue(job)
}

// remainingChain returns the estimated run time of the longest chain of steps that are not
// done.
func (job *jobState) remainingChain() time.Duration { return job.chainWithout(taskDone) }

// unstartedChain returns the estimated run time of the longest chain of steps with tasks that
// do not run yet. The others may be about to end.
func (job *jobState) unstartedChain() time.Duration {
	if len(job.submitted.Steps) == 1 || job.activeTasks == 0 {
		return job.chainEstimate
	}
	return job.chainWithout(taskActive, taskDone)
}

// chainWithout returns the estimated run time of the longest chain of steps, without those
// whose tasks all have one of the given statuses.
func (job *jobState) chainWithout(statuses ...taskStatus) time.Duration {
	remaining := slices.Clone(job.submitted.Steps)
	for step := range remaining {
		remaining[step].Estimate = 0
	}
	for _, task := range job.tasks {
		if !slices.Contains(statuses, task.status) {
			remaining[task.name.Step].Estimate = job.submitted.Steps[task.name.Step].Estimate
		}
	}
	return longestChain(remaining)
}

// failTask charges a failed run, and retries the task elsewhere or fails the
// job.
func (cell *Cell) failTask(job *jobState, task *taskState, upstream *upstreamState) {
	task.failures++
	if !upstream.failsEveryRun() {
		task.chargedFailures++
	}
	attempts := max(job.submitted.MaxAttempts, 1)
	if task.chargedFailures >= attempts || task.failures >= attempts+extraAttempts {
		cell.finish(job, Answer{
			Result: Failed,
			Reason: "attempts",
		})
		return
	}
	cell.requeue(job, task, upstream.listing.ID)
}

// extraAttempts bounds the runs of a task on upstreams that fail every run,
// beyond the attempts of its kind.
const extraAttempts = 3

// requeue makes an active task wait again.
func (cell *Cell) requeue(job *jobState, task *taskState, avoidedUpstream string) {
	if task.status != taskActive {
		return
	}
	task.status = taskWaiting
	task.currentRun = nil
	task.avoidedUpstream = avoidedUpstream
	job.activeTasks--
	job.waitingTasks++
	cell.enqueue(job)
}

func (cell *Cell) expireEarlyEnds() {
	if !cell.withinAdoptionWindow() && len(cell.earlyEnds) > 0 {
		clear(cell.earlyEnds)
	}
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}
