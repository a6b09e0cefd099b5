package placement

import "time"

// maxDrawAttempts is the number of random draws (of pairs, for TwoChoices) after
// which the idle upstreams are searched instead.
const maxDrawAttempts = 8

// randomIdle returns a random idle upstream that has the needed resources
// available, or nil if there is none. Upstreams are equally likely as long as
// one of the random draws succeeds.
func (scheduler *Scheduler) randomIdle(need resources) *upstreamState {
	leaves := scheduler.index.leaves
	if len(leaves) == 0 {
		return nil
	}
	for range maxDrawAttempts {
		upstream := leaves[scheduler.random.IntN(len(leaves))]
		if upstream.available().covers(need) {
			return upstream
		}
	}
	start := scheduler.random.IntN(len(leaves))
	return scheduler.firstIdleFrom(start, need)
}

// firstIdleFrom returns the first upstream, in circular order from the leaf
// start on, that has the needed resources available, or nil.
func (scheduler *Scheduler) firstIdleFrom(start int, need resources) *upstreamState {
	index := scheduler.index
	leaf := index.firstLeaf(index.availableTree, start, len(index.leaves), need)
	if leaf < 0 {
		leaf = index.firstLeaf(index.availableTree, 0, start, need)
	}
	if leaf < 0 {
		return nil
	}
	return index.leaves[leaf]
}

// nextIdleInTurn returns the next upstream in round-robin order that has the
// needed resources available, or nil.
func (scheduler *Scheduler) nextIdleInTurn(need resources) *upstreamState {
	if len(scheduler.index.leaves) == 0 {
		return nil
	}
	upstream := scheduler.firstIdleFrom(scheduler.nextRoundRobinLeaf%len(scheduler.index.leaves), need)
	if upstream != nil {
		scheduler.nextRoundRobinLeaf = upstream.leafIndex + 1
	}
	return upstream
}

// leastLoaded returns the upstream with the lowest occupancy among those that
// have the needed resources available, or nil. The occupancies come from a view
// that is refreshed once it is maxViewAge old. It costs O(upstreams).
func (scheduler *Scheduler) leastLoaded(need resources, maxViewAge time.Duration) *upstreamState {
	leaves := scheduler.index.leaves
	if scheduler.viewedAt.IsZero() || scheduler.now.Sub(scheduler.viewedAt) >= maxViewAge {
		scheduler.viewedAt = scheduler.now
		for _, upstream := range leaves {
			upstream.viewedOccupancy = upstream.occupancy()
		}
	}
	var best *upstreamState
	for _, upstream := range leaves {
		if upstream.available().covers(need) && (best == nil || upstream.viewedOccupancy < best.viewedOccupancy) {
			best = upstream
		}
	}
	return best
}

// twoChoices returns the less occupied of two random upstreams, or nil if no
// upstream has the needed resources available.
func (scheduler *Scheduler) twoChoices(need resources) *upstreamState {
	leaves := scheduler.index.leaves
	if len(leaves) == 0 {
		return nil
	}
	for range maxDrawAttempts {
		first := leaves[scheduler.random.IntN(len(leaves))]
		second := leaves[scheduler.random.IntN(len(leaves))]
		if second.occupancy() < first.occupancy() {
			first = second
		}
		if first.available().covers(need) {
			return first
		}
	}
	return scheduler.randomIdle(need)
}
