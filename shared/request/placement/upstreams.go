package placement

import (
	"tanagerfall/shared/request/submission"
)

// SetUpstream adds or updates an upstream, sets its declared speed in the estimator
// and opens it for placement.
func (scheduler *Scheduler) SetUpstream(upstream Upstream) {
	scheduler.estimator.Declare(upstream.ID, upstream.Speed)
	state, exists := scheduler.index.upstreams[upstream.ID]
	if !exists {
		state = &upstreamState{
			class: -1,
		}
		scheduler.index.upstreams[upstream.ID] = state
	}
	if exists && state.open && state.declared == upstream {
		return
	}
	state.declared = upstream
	state.open = true
	state.free = state.capacity()
	for _, task := range state.running {
		state.free = state.free.minus(task.need)
	}
	scheduler.index.stale = true
	scheduler.unblockAll()
}

// CloseUpstream stops placement on an upstream. Its running tasks stay registered;
// the upstream is removed once none is left.
func (scheduler *Scheduler) CloseUpstream(id string) {
	upstream, exists := scheduler.index.upstreams[id]
	if !exists {
		return
	}
	upstream.open = false
	scheduler.index.stale = true
	scheduler.removeIfUnused(upstream)
}

// removeIfUnused removes a closed upstream without running tasks.
func (scheduler *Scheduler) removeIfUnused(upstream *upstreamState) {
	if upstream.open || len(upstream.running) > 0 {
		return
	}
	delete(scheduler.index.upstreams, upstream.declared.ID)
	scheduler.estimator.Remove(upstream.declared.ID)
	scheduler.index.stale = true
}

// Occupy registers a task that runs on an upstream but wasn't placed by this
// scheduler, such as one that its former owner started. Release frees its slot. An
// unknown upstream is ignored.
func (scheduler *Scheduler) Occupy(id string, need Need) {
	upstream, exists := scheduler.index.upstreams[id]
	if !exists {
		return
	}
	scheduler.occupy(upstream, &runningTask{
		need:        resourcesFor(need),
		expectedEnd: scheduler.now,
	})
}

// occupy takes the slot and the resources of a task on an upstream.
func (scheduler *Scheduler) occupy(upstream *upstreamState, task *runningTask) {
	upstream.running = append(upstream.running, task)
	upstream.free = upstream.free.minus(task.need)
	if upstream.open {
		scheduler.index.idleSlots--
	}
	scheduler.index.update(upstream)
}

// Finish frees the slot and the resources of a task that Next placed on the
// upstream. It reports false if the task isn't registered there.
func (scheduler *Scheduler) Finish(id string, key submission.Key, index int) bool {
	upstream, exists := scheduler.index.upstreams[id]
	if !exists {
		return false
	}
	for i, task := range upstream.running {
		if task.job != nil && task.job.submitted.Key == key && task.index == index {
			scheduler.releaseTask(upstream, i)
			return true
		}
	}
	return false
}

// Release frees the slot and the resources of one running task with the given need.
// Of several tasks it releases one that was registered by Occupy, or else the one
// with the earliest expected end. Finish is preferable for tasks that Next placed:
// it identifies the task and so keeps the counts for the teams' slot caps exact.
func (scheduler *Scheduler) Release(id string, need Need) {
	upstream, exists := scheduler.index.upstreams[id]
	if !exists {
		return
	}
	best := -1
	for i, task := range upstream.running {
		if task.need != resourcesFor(need) {
			continue
		}
		if best < 0 || releasedBefore(task, upstream.running[best]) {
			best = i
		}
	}
	if best >= 0 {
		scheduler.releaseTask(upstream, best)
	}
}

// releasedBefore reports whether Release prefers task a to task b.
func releasedBefore(a, b *runningTask) bool {
	if (a.job == nil) != (b.job == nil) {
		return a.job == nil
	}
	return a.expectedEnd.Before(b.expectedEnd)
}

// releaseTask frees the slot and the resources of the running task at a position and
// queues blocked groups again that may now be placed.
func (scheduler *Scheduler) releaseTask(upstream *upstreamState, position int) {
	task := upstream.running[position]
	last := len(upstream.running) - 1
	upstream.running[position] = upstream.running[last]
	upstream.running[last] = nil
	upstream.running = upstream.running[:last]
	upstream.free = upstream.free.plus(task.need)
	if upstream.open {
		scheduler.index.idleSlots++
	}
	scheduler.index.update(upstream)
	if job := task.job; job != nil {
		job.runningTasks--
		job.team.usedSlots--
		scheduler.removeIfDone(job)
		scheduler.unblock(&job.team.blocked, unblockedPerRelease)
	}
	for need, blocked := range scheduler.blocked {
		if upstream.free.covers(need) {
			scheduler.unblock(blocked, unblockedPerRelease)
		}
	}
	scheduler.removeIfUnused(upstream)
}

// Fits reports whether an open upstream has the capacity for a task with the given
// need, regardless of its running tasks.
func (scheduler *Scheduler) Fits(need Need) bool {
	scheduler.index.refresh(scheduler.now, scheduler.estimator)
	return scheduler.index.topSpeedWithCapacity(resourcesFor(need)) > 0
}
