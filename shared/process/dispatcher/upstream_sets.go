package dispatcher

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerfall/shared/request/cell"
	"tanagerfall/shared/version/region"
)

const (
	// setRetention is how long an upstream that left the list is part of the reported
	// set.
	setRetention = 12 * time.Second
	// coveredTime is how long a replaced set counts as known at most. It exceeds the time
	// between two reads of the list by a standby.
	coveredTime = removedRetention - setRetention
	// unknownSet identifies a set that is not known. No process covers it.
	unknownSet = cell.AnyUpstreams
)

// upstreamSets identifies the sets of upstreams of the cell of this process: those on its
// list and those that left it within setRetention. A scheduler reports its set to the
// entry VMs, and they pass it on to the next scheduler of their jobs, perhaps in another cell.
// That one can find all runs of the jobs only if it schedules these upstreams.
type upstreamSets struct {
	// current identifies the present set; 0 if no list was read.
	current uint64
	// currentUntil is when a member of the present set that left the list is forgotten;
	// zero if all are listed.
	currentUntil time.Time
	// knownUntil holds until when all members of replaced sets are known.
	knownUntil map[uint64]time.Time
	// joinedAt holds when the members of the present set joined it, by ID; zero for those
	// of the first set.
	joinedAt map[string]time.Time
}

// update replaces the present set. removedAt holds when upstreams left the list.
func (sets *upstreamSets) update(now time.Time, upstreams []cell.Upstream, removedAt map[string]time.Time) {
	current := uint64(0)
	currentUntil := time.Time{}
	joinedAt := make(map[string]time.Time, len(upstreams))
	for _, upstream := range upstreams {
		if upstream.Removed && now.Sub(removedAt[upstream.ID]) > setRetention {
			continue
		}
		forgottenAt := removedAt[upstream.ID].Add(removedRetention)
		if upstream.Removed && (currentUntil.IsZero() || forgottenAt.Before(currentUntil)) {
			currentUntil = forgottenAt
		}
		// The order of the upstreams does not matter.
		current ^= memberHash(upstream)
		joined, isMember := sets.joinedAt[upstream.ID]
		if !isMember && len(sets.joinedAt) > 0 {
			joined = now
		}
		joinedAt[upstream.ID] = joined
	}
	sets.joinedAt = joinedAt
	if sets.knownUntil == nil {
		sets.knownUntil = make(map[uint64]time.Time)
	}
	for set, knownUntil := range sets.knownUntil {
		if now.After(knownUntil) {
			delete(sets.knownUntil, set)
		}
	}
	if current != sets.current && sets.current != unknownSet {
		knownUntil := now.Add(coveredTime)
		if !sets.currentUntil.IsZero() && sets.currentUntil.Before(knownUntil) {
			knownUntil = sets.currentUntil
		}
		sets.knownUntil[sets.current] = knownUntil
	}
	sets.current = current
	sets.currentUntil = currentUntil
}

// anyLeftCell reports whether a member of the present set is on the region's list and not in
// the cell any more: the region was divided, or a failure domain got processes of its own.
func (sets *upstreamSets) anyLeftCell(list, cellUpstreams []cell.Upstream) bool {
	if len(list) == len(cellUpstreams) {
		return false
	}
	inCell := make(map[string]bool, len(cellUpstreams))
	for i := range cellUpstreams {
		inCell[cellUpstreams[i].ID] = true
	}
	return slices.ContainsFunc(list, func(upstream cell.Upstream) bool {
		return sets.contains(upstream.ID) && !inCell[upstream.ID]
	})
}

// leaveCell records that members of the present set have left the cell, so that this process
// can't find runs on them.
func (sets *upstreamSets) leaveCell() {
	clear(sets.knownUntil)
	sets.current = unknownSet
}

// contains reports whether an upstream is a member of the present set.
func (sets *upstreamSets) contains(id string) bool {
	_, isMember := sets.joinedAt[id]
	return isMember
}

// memberHash returns the hash of one member of a set. An upstream that leaves counts as
// another member, because a process that knows it takes one refused connection after it has
// left the list for its end. A scheduler that does not know that it leaves may start tasks there
// if it starts again.
func memberHash(upstream cell.Upstream) uint64 {
	if upstream.Leaving {
		return xxhash.Sum64String(upstream.ID + " leaving")
	}
	return xxhash.Sum64String(upstream.ID)
}

// covers reports whether this process knows all members of other sets.
func (sets *upstreamSets) covers(now time.Time, others []uint64) bool {
	for _, other := range others {
		knownUntil := sets.knownUntil[other]
		if other == unknownSet || (other != sets.current && now.After(knownUntil)) {
			return false
		}
	}
	return len(others) > 0
}

// formerSet is the set of a scheduler that this process has followed.
type formerSet struct {
	set    uint64
	leftAt time.Time
}

// setOf returns the set of upstreams on which a scheduler may have started tasks, as far as
// this process has heard.
func (loop *loop) setOf(scheduler string) uint64 {
	if scheduler == loop.view.Self().Address {
		return loop.reportedSet()
	}
	heartbeat, _ := loop.view.LastHeartbeat(scheduler)
	return heartbeat.UpstreamSet
}

// reportedSet returns the set that this process reports as a scheduler. It is not known while
// runs go on at upstreams that have left it: those that drain may outlast their entry by long.
func (loop *loop) reportedSet() uint64 {
	if loop.cell != nil && loop.cell.HasRunsOutside(loop.knownUpstreams.contains) {
		return unknownSet
	}
	return loop.knownUpstreams.current
}

// recordFormerSet records the set of a scheduler that this process stops following.
func (loop *loop) recordFormerSet(scheduler string) {
	loop.formerSets = slices.DeleteFunc(loop.formerSets, func(former formerSet) bool {
		return loop.now.Sub(former.leftAt) > loop.quarantine()
	})
	if scheduler != "" {
		loop.formerSets = append(loop.formerSets, formerSet{
			set:    loop.setOf(scheduler),
			leftAt: loop.now,
		})
	}
}

// setsOfEarlierRequest returns the sets of upstreams on which an earlier request of a caller,
// perhaps to another entry VM, may have been started. In a region with one scheduler those are
// the sets of the schedulers that this process follows or has followed lately. In a divided
// region any cell may have started it.
func (loop *loop) setsOfEarlierRequest() []uint64 {
	if loop.view.Division() == region.DividedByDomain {
		return []uint64{unknownSet}
	}
	loop.recordFormerSet("")
	var sets []uint64
	for _, former := range loop.formerSets {
		sets = append(sets, former.set)
	}
	if loop.leader != "" || len(sets) == 0 {
		sets = append(sets, loop.setOf(loop.leader))
	}
	return sets
}

// addEarlierSets adds sets of upstreams on which a job may have been started.
func (heldJob *heldJob) addEarlierSets(sets ...uint64) {
	for _, set := range sets {
		if !slices.Contains(heldJob.earlierSets, set) {
			heldJob.earlierSets = append(heldJob.earlierSets, set)
		}
	}
}
