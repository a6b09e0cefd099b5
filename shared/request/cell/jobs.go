package cell

import (
	"slices"
	"time"
)

// taskState is where a task is.
type taskState uint8

const (
	// taskBlocked: tasks of earlier steps are not done.
	taskBlocked taskState = iota
	// taskWaiting: the task waits for an upstream.
	taskWaiting
	// taskActive: a run of the task may exist at an upstream.
	taskActive
	// taskDone: a run ended as done.
	taskDone
)

// task is one task of a job.
type task struct {
	name  TaskName
	state taskState
	// number is that of the latest run.
	number int
	// failures counts the runs that failed, charged those that count against
	// the job: a failure on an upstream that fails everything does not.
	failures int
	charged  int
	run      *run
	// avoid is the upstream of the latest run that ended without a result.
	avoid string
}

// jobState is a job in the Cell.
type jobState struct {
	job      Job
	fronts   []string
	tasks    []*task
	arrival  time.Time
	deadline time.Time
	// submittedAt is when this Cell got the job.
	submittedAt time.Time
	// longest is the estimated run time of the longest chain at speed 1.
	longest time.Duration
	// ratio is that of actual to estimated run times of the kind.
	ratio float64
	// target is the latency objective, lateEnd the time from which an answer
	// is worth nothing.
	target  time.Time
	lateEnd time.Time
	// safeAt is the time from which no previous Cell acts on the job.
	safeAt time.Time
	// safe is set once tasks may start.
	safe bool
	// ordered is set once a start was ordered, started once a task may have run.
	ordered bool
	started bool
	// missing counts the tasks that are not done, active those with a run,
	// queued those that wait.
	missing int
	active  int
	queued  int
	listed  bool
}

func (cell *Cell) submit(event JobSubmitted) {
	held, known := cell.jobs[event.Job.ID]
	if known {
		if !slices.Contains(held.fronts, event.Front) {
			held.fronts = append(held.fronts, event.Front)
		}
		held.deadline = latest(held.deadline, cell.now.Add(event.Job.Left))
		return
	}
	cell.counters.Submitted++
	held = cell.newJob(event.Job)
	held.fronts = []string{event.Front}
	cell.jobs[event.Job.ID] = held
	cell.adoptEarlier(held)
	if held.missing == 0 {
		cell.finish(held, Answer{
			Result: Completed,
		})
		return
	}
	cell.unblock(held)
	cell.enqueue(held)
	if event.Job.Quarantine > 0 {
		cell.quarantinedUntil = latest(cell.quarantinedUntil, held.safeAt)
		cell.verify(event.Job.Service)
	}
}

// LateFactor times the latency objective is the latest answer that is worth
// something.
const LateFactor = 3

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func (cell *Cell) newJob(job Job) *jobState {
	held := &jobState{
		job:         job,
		arrival:     cell.now.Add(-job.Age),
		deadline:    cell.now.Add(job.Left),
		longest:     longestChain(job.Steps),
		safeAt:      cell.now.Add(job.Quarantine),
		submittedAt: cell.now,
	}
	held.ratio = cell.config.Estimator.Ratio(job.Kind)
	allowed := job.Allowed(held.ratio)
	held.target = held.arrival.Add(allowed - cell.config.Limits.Overhead)
	held.lateEnd = held.arrival.Add(LateFactor * allowed)
	for step, of := range job.Steps {
		for index := range of.Count {
			held.tasks = append(held.tasks, &task{
				name: TaskName{
					Job:   job.ID,
					Step:  step,
					Index: index,
				},
				number: job.Generation * runsPerGeneration,
			})
		}
	}
	held.missing = len(held.tasks)
	return held
}

// runsPerGeneration leaves room for the runs that one Cell starts of a task.
const runsPerGeneration = 1000

// longestChain returns the estimated time of the steps that wait for each
// other.
func longestChain(steps []Step) time.Duration {
	ends := make([]time.Duration, len(steps))
	var longest time.Duration
	for i, step := range steps {
		for _, before := range step.After {
			if before >= 0 && before < i {
				ends[i] = max(ends[i], ends[before])
			}
		}
		ends[i] += step.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// adoptEarlier takes over the runs and ends that were seen before the job
// came.
func (cell *Cell) adoptEarlier(held *jobState) {
	id := held.job.ID
	for _, name := range cell.earlyEnds[id] {
		if found := held.find(name); found != nil && found.state != taskDone {
			held.started = true
			found.state = taskDone
			held.missing--
		}
	}
	delete(cell.earlyEnds, id)
	orphans := cell.orphans[id]
	delete(cell.orphans, id)
	for _, orphan := range orphans {
		cell.adopt(held, orphan)
	}
}

func (held *jobState) find(name TaskName) *task {
	for _, found := range held.tasks {
		if found.name == name {
			return found
		}
	}
	return nil
}

// unblock makes the tasks wait whose earlier steps are done.
func (cell *Cell) unblock(held *jobState) {
	for _, found := range held.tasks {
		if found.state == taskBlocked && held.ready(found.name.Step) {
			found.state = taskWaiting
			held.queued++
		}
	}
}

func (held *jobState) ready(step int) bool {
	for _, before := range held.job.Steps[step].After {
		for _, found := range held.tasks {
			if found.name.Step == before && found.state != taskDone {
				return false
			}
		}
	}
	return true
}

func (cell *Cell) enqueue(held *jobState) {
	cell.placeable = true
	if held.listed || held.queued == 0 {
		return
	}
	held.listed = true
	cell.waiting = append(cell.waiting, held)
}

func (cell *Cell) withdraw(front, id string) {
	held, known := cell.jobs[id]
	if !known {
		return
	}
	held.fronts = slices.DeleteFunc(held.fronts, func(other string) bool { return other == front })
	if len(held.fronts) == 0 {
		cell.drop(held, "withdrawn")
	}
}

func (cell *Cell) loseFront(front string) {
	for id := range cell.jobs {
		cell.withdraw(front, id)
	}
}

// Cancel stops a job at a caller's request, whichever entry VM has it, and
// reports whether the Cell has it. The entry VMs are told that it was interrupted.
func (cell *Cell) Cancel(now time.Time, id string) (bool, []Decision) {
	if now.After(cell.now) {
		cell.now = now
	}
	cell.decisions = nil
	held, known := cell.jobs[id]
	if known {
		cell.giveUp(held, "cancelled", 0)
	}
	return known, cell.decisions
}

// finish answers a job and forgets it.
func (cell *Cell) finish(held *jobState, answer Answer) {
	answer.ID = held.job.ID
	if answer.Result != Completed {
		answer.Progress = &Progress{
			Done:    len(held.tasks) - held.missing,
			Running: held.active,
			Waiting: held.missing - held.active,
		}
	}
	switch answer.Result {
	case Completed:
		cell.counters.Completed++
	case Failed:
		cell.counters.Failed++
	case Interrupted:
		cell.counters.Interrupted++
	case NotRun:
		cell.counters.NotRun++
	}
	for _, front := range held.fronts {
		cell.decide(AnswerJob{
			Front:  front,
			Answer: answer,
		})
	}
	cell.drop(held, answer.Reason)
}

// drop forgets a job and stops its runs.
func (cell *Cell) drop(held *jobState, reason string) {
	delete(cell.jobs, held.job.ID)
	for _, found := range held.tasks {
		if found.run == nil {
			continue
		}
		dropped := found.run
		found.run = nil
		dropped.task = nil
		dropped.owner = nil
		cell.stop(dropped, reason)
	}
	held.queued = 0
	held.active = 0
}

// giveUp answers a job that will not be completed. Only a job of which no run
// can have started is told as not run.
func (cell *Cell) giveUp(held *jobState, reason string, retryAfter time.Duration) {
	limits := cell.config.Limits
	if held.started || held.active > 0 || !held.job.fresh() {
		cell.finish(held, Answer{
			Result: Interrupted,
			Reason: reason,
		})
		return
	}
	cell.finish(held, Answer{
		Result:     NotRun,
		Reason:     reason,
		RetryAfter: min(max(retryAfter, limits.MinRetryAfter), limits.MaxRetryAfter),
	})
}

// tickJob gives a job up whose time is over.
func (cell *Cell) tickJob(held *jobState) {
	if !cell.now.Before(held.deadline.Add(-cell.config.Limits.AnswerMargin)) {
		cell.giveUp(held, "deadline", 0)
		return
	}
	if held.started || held.active > 0 {
		if held.queued > 0 && cell.now.After(held.lateEnd) {
			cell.giveUp(held, "overload", 0)
		}
		return
	}
	expected := held.expected(held.longest, cell.fastest(held.job.Service))
	if cell.now.Add(expected).After(held.lateEnd) {
		cell.giveUp(held, "overload", cell.backlog(held.job.Service))
	}
}

// taskDone counts a task whose run ended as done.
func (cell *Cell) completeTask(held *jobState, done *task) {
	switch done.state {
	case taskDone:
		return
	case taskWaiting:
		held.queued--
	case taskActive:
		held.active--
	case taskBlocked:
	}
	done.state = taskDone
	held.started = true
	held.missing--
	if held.missing == 0 {
		cell.finish(held, Answer{
			Result: Completed,
		})
		return
	}
	cell.unblock(held)
	cell.enqueue(held)
}

// failTask charges a failed run and tries again elsewhere, or fails the job.
func (cell *Cell) failTask(held *jobState, failed *task, at *upstream) {
	failed.failures++
	if !at.failsAll() {
		failed.charged++
	}
	attempts := max(held.job.MaxAttempts, 1)
	if failed.charged >= attempts || failed.failures >= attempts+extraAttempts {
		cell.finish(held, Answer{
			Result: Failed,
			Reason: "attempts",
		})
		return
	}
	cell.requeue(held, failed, at.listed.ID)
}

// extraAttempts bounds the runs of a task on upstreams that fail everything,
// beyond the attempts of its kind.
const extraAttempts = 3

// requeue makes an active task wait again.
func (cell *Cell) requeue(held *jobState, back *task, avoid string) {
	if back.state != taskActive {
		return
	}
	back.state = taskWaiting
	back.run = nil
	back.avoid = avoid
	held.active--
	held.queued++
	cell.enqueue(held)
}

func (cell *Cell) expireEarlyEnds() {
	if !cell.young() && len(cell.earlyEnds) > 0 {
		clear(cell.earlyEnds)
	}
}

func ms(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}
