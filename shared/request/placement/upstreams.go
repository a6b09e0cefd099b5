package placement

import (
	"tanagerfall/shared/request/submission"
)

// SetUpstream adds or changes an upstream and opens it for placement.
func (scheduler *Scheduler) SetUpstream(upstream Upstream) {
	scheduler.estimator.Declare(upstream.ID, upstream.Speed)
	held, known := scheduler.index.hosts[upstream.ID]
	if !known {
		held = &host{
			class: -1,
		}
		scheduler.index.hosts[upstream.ID] = held
	}
	if known && held.open && held.upstream == upstream {
		return
	}
	held.upstream = upstream
	held.open = true
	held.free = held.capacity()
	for _, task := range held.running {
		held.free = held.free.minus(task.need)
	}
	scheduler.index.stale = true
	scheduler.unparkAll()
}

// CloseUpstream stops placement on an upstream; its running tasks stay.
func (scheduler *Scheduler) CloseUpstream(id string) {
	held, known := scheduler.index.hosts[id]
	if !known {
		return
	}
	held.open = false
	scheduler.index.stale = true
	scheduler.removeUnused(held)
}

func (scheduler *Scheduler) removeUnused(held *host) {
	if held.open || len(held.running) > 0 {
		return
	}
	delete(scheduler.index.hosts, held.upstream.ID)
	scheduler.estimator.Remove(held.upstream.ID)
	scheduler.index.stale = true
}

// Occupy registers a task that runs on an upstream without having been placed
// here, such as one that its former owner started. Release frees it.
func (scheduler *Scheduler) Occupy(upstream string, need Need) {
	held, known := scheduler.index.hosts[upstream]
	if !known {
		return
	}
	scheduler.occupy(held, &running{
		need: roomFor(need),
		end:  scheduler.now,
	})
}

func (scheduler *Scheduler) occupy(held *host, task *running) {
	held.running = append(held.running, task)
	held.free = held.free.minus(task.need)
	if held.open {
		scheduler.index.idle--
	}
	scheduler.index.update(held)
}

// Finish frees what a task that was placed on the upstream occupied. It
// reports false if the task does not run there.
func (scheduler *Scheduler) Finish(upstream string, key submission.Key, index int) bool {
	held, known := scheduler.index.hosts[upstream]
	if !known {
		return false
	}
	for i, task := range held.running {
		if task.entry != nil && task.entry.job.Key == key && task.index == index {
			scheduler.free(held, i)
			return true
		}
	}
	return false
}

// Release frees the slot and the resources of one task with that need. Of
// several, it takes a task registered by Occupy or else the one that should
// have ended first; Finish names the task and keeps the teams' caps exact.
func (scheduler *Scheduler) Release(upstream string, need Need) {
	held, known := scheduler.index.hosts[upstream]
	if !known {
		return
	}
	best := -1
	for i, task := range held.running {
		if task.need != roomFor(need) {
			continue
		}
		if best < 0 || earlier(task, held.running[best]) {
			best = i
		}
	}
	if best >= 0 {
		scheduler.free(held, best)
	}
}

func earlier(a, b *running) bool {
	if (a.entry == nil) != (b.entry == nil) {
		return a.entry == nil
	}
	return a.end.Before(b.end)
}

func (scheduler *Scheduler) free(held *host, place int) {
	task := held.running[place]
	last := len(held.running) - 1
	held.running[place] = held.running[last]
	held.running[last] = nil
	held.running = held.running[:last]
	held.free = held.free.plus(task.need)
	if held.open {
		scheduler.index.idle++
	}
	scheduler.index.update(held)
	if owner := task.entry; owner != nil {
		owner.running--
		owner.team.used--
		scheduler.forgetDone(owner)
		scheduler.unpark(&owner.team.parked, unparkedPerRelease)
	}
	for need, parked := range scheduler.parked {
		if held.free.holds(need) {
			scheduler.unpark(parked, unparkedPerRelease)
		}
	}
	scheduler.removeUnused(held)
}

// Fits reports whether any open upstream could ever run a task.
func (scheduler *Scheduler) Fits(need Need) bool {
	scheduler.index.refresh(scheduler.now, scheduler.estimator)
	return scheduler.index.topSpeedFor(roomFor(need)) > 0
}
