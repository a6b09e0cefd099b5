package placement

import (
	"math"
	"slices"

	"tanagerfall/shared/request/submission"
)

// Enqueue adds a job whose tasks all wait. The key must be new.
func (scheduler *Scheduler) Enqueue(job Job) {
	scheduler.index.refresh(scheduler.now, scheduler.estimator)
	held := scheduler.newEntry(job)
	tasks := slices.Clone(job.Tasks)
	if !scheduler.inOrder() {
		slices.SortStableFunc(tasks, func(a, b Task) int { return descending(a.DeclaredMs, b.DeclaredMs) })
	}
	for start := 0; start < len(tasks); {
		end := start + 1
		for end < len(tasks) && scheduler.alike(tasks[start], tasks[end]) {
			end++
		}
		held.groups = append(held.groups, scheduler.newGroup(held, tasks[start:end:end]))
		start = end
	}
	scheduler.addWaiting(held, len(tasks), held.workMs)
	scheduler.setKeys(held)
	for _, group := range held.groups {
		scheduler.file(group)
	}
	scheduler.setTimer(held)
}

func descending(a, b float64) int {
	switch {
	case a > b:
		return -1
	case a < b:
		return 1
	}
	return 0
}

// inOrder reports whether the policy takes tasks in order of arrival.
func (scheduler *Scheduler) inOrder() bool {
	switch scheduler.policy.(type) {
	case Target, Greedy:
		return false
	}
	return true
}

// alike reports whether two tasks of a job may share a group.
func (scheduler *Scheduler) alike(a, b Task) bool {
	if a.Need != b.Need {
		return false
	}
	if _, yes := scheduler.policy.(Target); yes {
		return rankOf(a.DeclaredMs) == rankOf(b.DeclaredMs)
	}
	return true
}

func (scheduler *Scheduler) newGroup(held *entry, tasks []Task) *group {
	made := &group{
		entry: held,
		need:  roomFor(tasks[0].Need),
		tasks: tasks,
	}
	for _, task := range tasks {
		made.declaredMs += task.DeclaredMs
	}
	if scheduler.inOrder() {
		made.rank = -tasks[0].Index
	} else {
		made.rank = rankOf(tasks[0].DeclaredMs)
	}
	return made
}

func (scheduler *Scheduler) newEntry(job Job) *entry {
	held := &entry{
		job:    job,
		team:   scheduler.teamOf(job.Team),
		number: scheduler.arrivals,
		timer:  -1,
	}
	held.job.Tasks = nil
	ratio := scheduler.estimator.WorkMs(job.Kind, 1)
	fit := 0.0
	var need Need
	for i, task := range job.Tasks {
		if i == 0 || task.Need != need {
			need = task.Need
			fit = scheduler.index.topSpeedFor(roomFor(need))
		}
		taskMs := task.DeclaredMs * ratio
		held.workMs += taskMs
		if fit > 0 {
			held.longestMs = max(held.longestMs, taskMs/fit)
		}
	}
	held.ideal = milliseconds(max(held.longestMs, held.workMs/max(scheduler.index.totalSpeed, slowest)) + roundTripMs)
	scheduler.arrivals++
	scheduler.jobs[job.Key] = held
	switch policy := scheduler.policy.(type) {
	case Target:
		scheduler.aim(held, policy.theta())
		held.urgentAt = urgentTime(held)
	}
	return held
}

// Requeue adds one task of a known job again, after proof that its attempt
// did not start. The attempt must have been released.
func (scheduler *Scheduler) Requeue(job Job, task Task) {
	scheduler.index.refresh(scheduler.now, scheduler.estimator)
	held, known := scheduler.jobs[job.Key]
	if !known {
		held = scheduler.newEntry(job)
	}
	taskMs := scheduler.estimator.WorkMs(job.Kind, task.DeclaredMs)
	scheduler.addWaiting(held, 1, taskMs)
	for _, group := range held.groups {
		if scheduler.alike(task, group.tasks[0]) {
			group.insert(task)
			scheduler.rekey(held)
			scheduler.refile(held)
			scheduler.setTimer(held)
			return
		}
	}
	added := scheduler.newGroup(held, []Task{task})
	held.groups = append(held.groups, added)
	slices.SortStableFunc(held.groups, func(a, b *group) int { return b.rank - a.rank })
	scheduler.file(added)
	scheduler.rekey(held)
	scheduler.setTimer(held)
}

func (scheduler *Scheduler) addWaiting(held *entry, tasks int, workMs float64) {
	if held.team.waiting == 0 {
		scheduler.catchUp(held.team)
	}
	held.team.waiting += tasks
	held.waiting += tasks
	held.remainingMs += workMs
	scheduler.waiting += tasks
	scheduler.waitingMs += workMs
}

// catchUp raises what a team was served to the least of the waiting teams.
func (scheduler *Scheduler) catchUp(joining *team) {
	least := math.Inf(1)
	for _, other := range scheduler.teams {
		if other.waiting > 0 {
			least = min(least, other.servedMs)
		}
	}
	if !math.IsInf(least, 1) {
		joining.servedMs = max(joining.servedMs, least)
	}
}

// Drop removes the waiting tasks of a job and returns how many there were.
func (scheduler *Scheduler) Drop(key submission.Key) int {
	held, known := scheduler.jobs[key]
	if !known {
		return 0
	}
	for _, group := range held.groups {
		scheduler.unfile(group)
	}
	held.groups = nil
	dropped := held.waiting
	scheduler.subtractWaiting(held, dropped, held.remainingMs)
	scheduler.setTimer(held)
	scheduler.forgetDone(held)
	return dropped
}

func (scheduler *Scheduler) subtractWaiting(held *entry, tasks int, workMs float64) {
	held.waiting -= tasks
	held.team.waiting -= tasks
	held.remainingMs -= workMs
	scheduler.waiting -= tasks
	scheduler.waitingMs -= workMs
	if held.waiting == 0 {
		// Estimates move while tasks wait, so the sums do not end at 0.
		scheduler.waitingMs -= held.remainingMs
		held.remainingMs = 0
	}
	if scheduler.waiting == 0 {
		scheduler.waitingMs = 0
	}
}

func (scheduler *Scheduler) forgetDone(held *entry) {
	if held.waiting == 0 && held.running == 0 {
		delete(scheduler.jobs, held.job.Key)
	}
}
