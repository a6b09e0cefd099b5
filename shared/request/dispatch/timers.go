package dispatch

import (
	"container/heap"
	"time"
)

// expirer is a job, task or upstream that acts when its timer expires.
type expirer interface{ expire(core *Core) }

// timer is embedded in its owner, so that arming it allocates nothing.
type timer struct {
	expiresAt time.Time
	// position is the index in the heap plus 1; 0 means not armed.
	position int
	owner    expirer
}

// timers is a heap of the armed timers, the earliest first.
type timers []*timer

func (timers timers) Len() int           { return len(timers) }
func (timers timers) Less(i, j int) bool { return timers[i].expiresAt.Before(timers[j].expiresAt) }

func (timers timers) Swap(i, j int) {
	timers[i], timers[j] = timers[j], timers[i]
	timers[i].position = i + 1
	timers[j].position = j + 1
}

// Push implements heap.Interface.
func (timers *timers) Push(value any) {
	added := value.(*timer)
	added.position = len(*timers) + 1
	*timers = append(*timers, added)
}

// Pop implements heap.Interface.
func (timers *timers) Pop() any {
	last := len(*timers) - 1
	removed := (*timers)[last]
	(*timers)[last] = nil
	*timers = (*timers)[:last]
	removed.position = 0
	return removed
}

// arm sets a timer, or moves one that is already set.
func (core *Core) arm(timer *timer, expiresAt time.Time) {
	timer.expiresAt = expiresAt
	if timer.position > 0 {
		heap.Fix(&core.timers, timer.position-1)
		return
	}
	heap.Push(&core.timers, timer)
}

func (core *Core) disarm(timer *timer) {
	if timer.position > 0 {
		heap.Remove(&core.timers, timer.position-1)
	}
}

// expireTimers runs the timers that are due. A timer that its owner arms for the
// present time runs in the same call.
func (core *Core) expireTimers() {
	for len(core.timers) > 0 && !core.timers[0].expiresAt.After(core.now) {
		due := heap.Pop(&core.timers).(*timer)
		due.owner.expire(core)
	}
}
