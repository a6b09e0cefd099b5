package placement

import "time"

// triesOfTwo is the number of pairs that TwoChoices draws before it takes any
// idle upstream.
const triesOfTwo = 8

// randomIdle returns an idle upstream that has the room, each with equal
// probability, or nil.
func (scheduler *Scheduler) randomIdle(need room) *host {
	leaves := scheduler.index.leaves
	if len(leaves) == 0 {
		return nil
	}
	for range triesOfTwo {
		drawn := leaves[scheduler.random.IntN(len(leaves))]
		if drawn.offer().holds(need) {
			return drawn
		}
	}
	start := scheduler.random.IntN(len(leaves))
	return scheduler.firstFrom(start, need)
}

// firstFrom returns the first idle upstream from a leaf on, in a ring.
func (scheduler *Scheduler) firstFrom(start int, need room) *host {
	index := scheduler.index
	leaf := index.first(index.nodes, start, len(index.leaves), need)
	if leaf < 0 {
		leaf = index.first(index.nodes, 0, start, need)
	}
	if leaf < 0 {
		return nil
	}
	return index.leaves[leaf]
}

// nextIdle returns the idle upstream that is next in turn, or nil.
func (scheduler *Scheduler) nextIdle(need room) *host {
	if len(scheduler.index.leaves) == 0 {
		return nil
	}
	chosen := scheduler.firstFrom(scheduler.turn%len(scheduler.index.leaves), need)
	if chosen != nil {
		scheduler.turn = chosen.leaf + 1
	}
	return chosen
}

// leastLoaded returns the idle upstream with the lowest occupancy in a view
// that is taken anew when it is older than age. It costs O(upstreams).
func (scheduler *Scheduler) leastLoaded(need room, age time.Duration) *host {
	leaves := scheduler.index.leaves
	if scheduler.viewed.IsZero() || scheduler.now.Sub(scheduler.viewed) >= age {
		scheduler.viewed = scheduler.now
		for _, held := range leaves {
			held.viewed = held.occupancy()
		}
	}
	var best *host
	for _, held := range leaves {
		if held.offer().holds(need) && (best == nil || held.viewed < best.viewed) {
			best = held
		}
	}
	return best
}

// twoChoices returns the less occupied of two random upstreams, or nil if no
// upstream is idle.
func (scheduler *Scheduler) twoChoices(need room) *host {
	leaves := scheduler.index.leaves
	if len(leaves) == 0 {
		return nil
	}
	for range triesOfTwo {
		one := leaves[scheduler.random.IntN(len(leaves))]
		two := leaves[scheduler.random.IntN(len(leaves))]
		if two.occupancy() < one.occupancy() {
			one = two
		}
		if one.offer().holds(need) {
			return one
		}
	}
	return scheduler.randomIdle(need)
}
