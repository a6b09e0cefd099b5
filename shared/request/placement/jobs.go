package placement

import (
	"math"
	"slices"

	"tanagerfall/shared/request/submission"
)

// Enqueue adds a job, all tasks of which wait for placement. The scheduler must
// not hold a job with the same key.
func (scheduler *Scheduler) Enqueue(job Job) {
	scheduler.index.refresh(scheduler.now, scheduler.estimator)
	state := scheduler.newJobState(job)
	tasks := slices.Clone(job.Tasks)
	if !scheduler.placesInArrivalOrder() {
		slices.SortStableFunc(tasks, func(a, b Task) int { return compareDescending(a.DeclaredMs, b.DeclaredMs) })
	}
	for start := 0; start < len(tasks); {
		end := start + 1
		for end < len(tasks) && scheduler.canShareGroup(tasks[start], tasks[end]) {
			end++
		}
		state.groups = append(state.groups, scheduler.newGroup(state, tasks[start:end:end]))
		start = end
	}
	scheduler.addWaiting(state, len(tasks), state.workMs)
	scheduler.setSortKeys(state)
	for _, group := range state.groups {
		scheduler.enqueueGroup(group)
	}
	scheduler.updateTimer(state)
}

// compareDescending orders the larger number first.
func compareDescending(a, b float64) int {
	switch {
	case a > b:
		return -1
	case a < b:
		return 1
	}
	return 0
}

// placesInArrivalOrder reports whether the policy places tasks in order of arrival.
func (scheduler *Scheduler) placesInArrivalOrder() bool {
	switch scheduler.policy.(type) {
	case Target, Greedy:
		return false
	}
	return true
}

// canShareGroup reports whether two tasks of a job belong to the same group: their
// needs are equal and, under Target, their run times are of the same rank.
func (scheduler *Scheduler) canShareGroup(a, b Task) bool {
	if a.Need != b.Need {
		return false
	}
	if _, yes := scheduler.policy.(Target); yes {
		return rankOf(a.DeclaredMs) == rankOf(b.DeclaredMs)
	}
	return true
}

// newGroup returns a group of tasks that may share one. It isn't queued yet.
func (scheduler *Scheduler) newGroup(job *jobState, tasks []Task) *group {
	taskGroup := &group{
		job:   job,
		need:  resourcesFor(tasks[0].Need),
		tasks: tasks,
	}
	for _, task := range tasks {
		taskGroup.declaredMs += task.DeclaredMs
	}
	if scheduler.placesInArrivalOrder() {
		taskGroup.rank = -tasks[0].Index
	} else {
		taskGroup.rank = rankOf(tasks[0].DeclaredMs)
	}
	return taskGroup
}

// newJobState registers a job without waiting tasks and computes its ideal and its
// target.
func (scheduler *Scheduler) newJobState(job Job) *jobState {
	state := &jobState{
		submitted:     job,
		team:          scheduler.teamOf(job.Team),
		arrivalNumber: scheduler.arrivals,
		timerIndex:    -1,
	}
	state.submitted.Tasks = nil
	ratio := scheduler.estimator.WorkMs(job.Kind, 1)
	topSpeed := 0.0
	var need Need
	for i, task := range job.Tasks {
		if i == 0 || task.Need != need {
			need = task.Need
			topSpeed = scheduler.index.topSpeedWithCapacity(resourcesFor(need))
		}
		taskMs := task.DeclaredMs * ratio
		state.workMs += taskMs
		if topSpeed > 0 {
			state.longestMs = max(state.longestMs, taskMs/topSpeed)
		}
	}
	state.ideal = milliseconds(max(state.longestMs, state.workMs/max(scheduler.index.totalSpeed, minClassSpeed)) + roundTripMs)
	scheduler.arrivals++
	scheduler.jobs[job.Key] = state
	switch policy := scheduler.policy.(type) {
	case Target:
		scheduler.setTarget(state, policy.theta())
		state.urgentAt = urgentTime(state)
	}
	return state
}

// Requeue adds one task of a job again after proof that its run did not start. The
// slot of that run must have been freed by Finish or Release before. A job that
// the scheduler no longer holds is registered again without its other tasks.
func (scheduler *Scheduler) Requeue(job Job, task Task) {
	scheduler.index.refresh(scheduler.now, scheduler.estimator)
	state, exists := scheduler.jobs[job.Key]
	if !exists {
		state = scheduler.newJobState(job)
	}
	taskMs := scheduler.estimator.WorkMs(job.Kind, task.DeclaredMs)
	scheduler.addWaiting(state, 1, taskMs)
	for _, group := range state.groups {
		if scheduler.canShareGroup(task, group.tasks[0]) {
			group.insert(task)
			scheduler.updateSortKeys(state)
			scheduler.requeueGroups(state)
			scheduler.updateTimer(state)
			return
		}
	}
	addedGroup := scheduler.newGroup(state, []Task{task})
	state.groups = append(state.groups, addedGroup)
	slices.SortStableFunc(state.groups, func(a, b *group) int { return b.rank - a.rank })
	scheduler.enqueueGroup(addedGroup)
	scheduler.updateSortKeys(state)
	scheduler.updateTimer(state)
}

// addWaiting adds tasks, and their estimated work, to the counts of waiting tasks.
func (scheduler *Scheduler) addWaiting(job *jobState, tasks int, workMs float64) {
	if job.team.waitingTasks == 0 {
		scheduler.advanceService(job.team)
	}
	job.team.waitingTasks += tasks
	job.waitingTasks += tasks
	job.remainingMs += workMs
	scheduler.waitingTasks += tasks
	scheduler.waitingMs += workMs
}

// advanceService raises a team's servedMs to the lowest value of the teams with
// waiting tasks.
func (scheduler *Scheduler) advanceService(team *teamState) {
	leastServedMs := math.Inf(1)
	for _, other := range scheduler.teams {
		if other.waitingTasks > 0 {
			leastServedMs = min(leastServedMs, other.servedMs)
		}
	}
	if !math.IsInf(leastServedMs, 1) {
		team.servedMs = max(team.servedMs, leastServedMs)
	}
}

// Drop removes the waiting tasks of a job and returns their number. Running tasks
// keep their slots.
func (scheduler *Scheduler) Drop(key submission.Key) int {
	job, exists := scheduler.jobs[key]
	if !exists {
		return 0
	}
	for _, group := range job.groups {
		scheduler.dequeueGroup(group)
	}
	job.groups = nil
	dropped := job.waitingTasks
	scheduler.subtractWaiting(job, dropped, job.remainingMs)
	scheduler.updateTimer(job)
	scheduler.removeIfDone(job)
	return dropped
}

// subtractWaiting removes tasks, and their estimated work, from the counts of
// waiting tasks.
func (scheduler *Scheduler) subtractWaiting(job *jobState, tasks int, workMs float64) {
	job.waitingTasks -= tasks
	job.team.waitingTasks -= tasks
	job.remainingMs -= workMs
	scheduler.waitingTasks -= tasks
	scheduler.waitingMs -= workMs
	if job.waitingTasks == 0 {
		// The estimates change while tasks wait, so the sum may differ from 0.
		scheduler.waitingMs -= job.remainingMs
		job.remainingMs = 0
	}
	if scheduler.waitingTasks == 0 {
		scheduler.waitingMs = 0
	}
}

// removeIfDone removes a job without waiting and running tasks.
func (scheduler *Scheduler) removeIfDone(job *jobState) {
	if job.waitingTasks == 0 && job.runningTasks == 0 {
		delete(scheduler.jobs, job.submitted.Key)
	}
}
