package placement

import (
	"slices"
)

// misfiled files a group anew if its class or its team's debt changed, and
// reports whether it did.
func (scheduler *Scheduler) misfiled(group *group) bool {
	if group.debt == debtOf(group.entry.team) && group.class >= scheduler.classFor(group) {
		return false
	}
	scheduler.unfile(group)
	scheduler.file(group)
	return true
}

func (scheduler *Scheduler) parkedFor(need room) *groupHeap {
	parked, known := scheduler.parked[need]
	if !known {
		parked = &groupHeap{}
		scheduler.parked[need] = parked
	}
	return parked
}

func (scheduler *Scheduler) unpark(parked *groupHeap, count int) {
	for ; count > 0 && len(parked.groups) > 0; count-- {
		group := parked.top()
		parked.remove(group)
		scheduler.file(group)
	}
}

func (scheduler *Scheduler) unparkTeam(held *team) {
	scheduler.unpark(&held.parked, len(held.parked.groups))
}

func (scheduler *Scheduler) unparkAll() {
	for _, parked := range scheduler.parked {
		scheduler.unpark(parked, len(parked.groups))
	}
}

// file puts a group into the queue of its class.
func (scheduler *Scheduler) file(group *group) {
	group.debt = debtOf(group.entry.team)
	scheduler.queues.add(group, scheduler.classFor(group))
}

func (scheduler *Scheduler) unfile(group *group) {
	switch {
	case group.heap == nil:
	case group.heap == &scheduler.queues.heaps[group.class]:
		scheduler.queues.remove(group)
	default:
		group.heap.remove(group)
	}
}

// refile files the groups of a job anew after its target changed.
func (scheduler *Scheduler) refile(held *entry) {
	for _, group := range held.groups {
		if group.heap == &scheduler.queues.heaps[group.class] && group.class != scheduler.classFor(group) {
			scheduler.queues.remove(group)
			scheduler.file(group)
		}
	}
}

// setKeys sets the keys of a job's groups.
func (scheduler *Scheduler) setKeys(held *entry) {
	held.keyedMs = held.remainingMs
	switch scheduler.policy.(type) {
	case Target:
		scheduler.setTargetKeys(held)
	case Greedy:
		for _, group := range held.groups {
			group.key = held.remainingMs
		}
	default:
		for _, group := range held.groups {
			group.key = float64(held.number)
		}
	}
}

// rekey sets the keys anew and restores the order of the queues.
func (scheduler *Scheduler) rekey(held *entry) {
	scheduler.setKeys(held)
	for _, group := range held.groups {
		group.heap.fix(group.place)
	}
}

func (held *entry) removeGroup(removed *group) {
	for i, group := range held.groups {
		if group == removed {
			held.groups = slices.Delete(held.groups, i, i+1)
			return
		}
	}
}
