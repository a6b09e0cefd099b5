package placement

import (
	"slices"
)

// requeueIfMoved requeues a group whose service round changed, or that needs a
// higher class than that of its queue, and reports whether it did.
func (scheduler *Scheduler) requeueIfMoved(group *group) bool {
	if group.serviceRound == serviceRoundOf(group.job.team) && group.class >= scheduler.minClassFor(group) {
		return false
	}
	scheduler.dequeueGroup(group)
	scheduler.enqueueGroup(group)
	return true
}

// blockedFor returns the heap of the groups that wait for an upstream with the
// needed resources available.
func (scheduler *Scheduler) blockedFor(need resources) *groupHeap {
	blocked, exists := scheduler.blocked[need]
	if !exists {
		blocked = &groupHeap{}
		scheduler.blocked[need] = blocked
	}
	return blocked
}

// unblock moves up to count groups, in order, from a heap of blocked groups back
// to the class queues.
func (scheduler *Scheduler) unblock(blocked *groupHeap, count int) {
	for ; count > 0 && len(blocked.groups) > 0; count-- {
		group := blocked.top()
		blocked.remove(group)
		scheduler.enqueueGroup(group)
	}
}

func (scheduler *Scheduler) unblockTeam(team *teamState) {
	scheduler.unblock(&team.blocked, len(team.blocked.groups))
}

func (scheduler *Scheduler) unblockAll() {
	for _, blocked := range scheduler.blocked {
		scheduler.unblock(blocked, len(blocked.groups))
	}
}

// enqueueGroup adds a group to the class queue of the slowest upstreams that meet
// its target.
func (scheduler *Scheduler) enqueueGroup(group *group) {
	group.serviceRound = serviceRoundOf(group.job.team)
	scheduler.queues.add(group, scheduler.minClassFor(group))
}

// dequeueGroup removes a group from its class queue or its heap of blocked groups.
func (scheduler *Scheduler) dequeueGroup(group *group) {
	switch {
	case group.heap == nil:
	case group.heap == &scheduler.queues.heaps[group.class]:
		scheduler.queues.remove(group)
	default:
		group.heap.remove(group)
	}
}

// requeueGroups moves the queued groups of a job to their class queues after the
// job's target changed. Blocked groups stay blocked.
func (scheduler *Scheduler) requeueGroups(job *jobState) {
	for _, group := range job.groups {
		if group.heap == &scheduler.queues.heaps[group.class] && group.class != scheduler.minClassFor(group) {
			scheduler.queues.remove(group)
			scheduler.enqueueGroup(group)
		}
	}
}

// setSortKeys computes the sort keys of a job's groups.
func (scheduler *Scheduler) setSortKeys(job *jobState) {
	job.sortKeyWorkMs = job.remainingMs
	switch scheduler.policy.(type) {
	case Target:
		scheduler.setTargetSortKeys(job)
	case Greedy:
		for _, group := range job.groups {
			group.sortKey = job.remainingMs
		}
	default:
		for _, group := range job.groups {
			group.sortKey = float64(job.arrivalNumber)
		}
	}
}

// updateSortKeys computes the sort keys of a job's groups and restores the order
// of the heaps that hold the groups.
func (scheduler *Scheduler) updateSortKeys(job *jobState) {
	scheduler.setSortKeys(job)
	for _, group := range job.groups {
		group.heap.fix(group.heapIndex)
	}
}

func (state *jobState) removeGroup(removed *group) {
	for i, group := range state.groups {
		if group == removed {
			state.groups = slices.Delete(state.groups, i, i+1)
			return
		}
	}
}
