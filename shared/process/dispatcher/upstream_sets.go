package dispatcher

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerfall/shared/request/cell"
	"tanagerfall/shared/version/region"
)

const (
	// maxOutside bounds the upstreams that a heartbeat names beside those of the list.
	maxOutside = 64
	// unknownSet identifies a set that is not known. No process covers it.
	unknownSet = cell.AnyUpstreams
)

// upstreamSets identifies the sets of upstreams on which schedulers of the cell of this process
// may have runs: those on a scheduler's list, and those outside it that it names. A scheduler
// reports its set to the entry VMs, and they pass it on to the next scheduler of their jobs,
// perhaps in another cell. That one can find all runs of the jobs only if it knows the members.
type upstreamSets struct {
	// listed identifies the set of the upstreams on the present list; 0 if no list was read.
	listed uint64
	// replacedAt holds when the sets of earlier lists were replaced. Their members are known
	// for removedRetention from then on.
	replacedAt map[uint64]time.Time
	// joinedAt holds when the upstreams on the list joined it, by ID; zero for those of the
	// first list.
	joinedAt map[string]time.Time
	// leftAt holds when the upstreams that left the list and are still known did so, by ID.
	leftAt map[string]time.Time
	// reported holds the sets with upstreams outside a list that schedulers have reported.
	reported map[uint64]reportedSet
}

// reportedSet is a set that a scheduler has reported.
type reportedSet struct {
	// listed identifies the set of the upstreams on the scheduler's list.
	listed  uint64
	outside []string
	heardAt time.Time
}

// update replaces the present list. removedAt holds when upstreams left it.
func (sets *upstreamSets) update(now time.Time, upstreams []cell.Upstream, removedAt map[string]time.Time) {
	listed := uint64(0)
	joinedAt := make(map[string]time.Time, len(upstreams))
	sets.leftAt = make(map[string]time.Time)
	for i := range upstreams {
		id := upstreams[i].ID
		if upstreams[i].Removed {
			sets.leftAt[id] = removedAt[id]
			continue
		}
		// The order of the upstreams does not matter.
		listed ^= xxhash.Sum64String(id)
		joined, isMember := sets.joinedAt[id]
		if !isMember && len(sets.joinedAt) > 0 {
			joined = now
		}
		joinedAt[id] = joined
	}
	sets.joinedAt = joinedAt
	if sets.replacedAt == nil {
		sets.replacedAt = make(map[uint64]time.Time)
	}
	expired := now.Add(-removedRetention)
	maps.DeleteFunc(sets.replacedAt, func(_ uint64, replacedAt time.Time) bool { return replacedAt.Before(expired) })
	maps.DeleteFunc(sets.reported, func(_ uint64, reported reportedSet) bool { return reported.heardAt.Before(expired) })
	if listed != sets.listed && sets.listed != unknownSet {
		sets.replacedAt[sets.listed] = now
	}
	sets.listed = listed
}

// withOutside returns the set of the present list and of upstreams outside it, and unknownSet
// if those are too many to be named.
func (sets *upstreamSets) withOutside(outside []string) uint64 {
	if len(outside) > maxOutside || sets.listed == unknownSet {
		return unknownSet
	}
	return sets.listed ^ hashOutside(outside)
}

// hashOutside returns the difference between the set of a list and that with upstreams outside it.
func hashOutside(outside []string) uint64 {
	hash := uint64(0)
	for _, id := range outside {
		hash ^= xxhash.Sum64String(id + " outside")
	}
	return hash
}

// record records a set that a scheduler has reported, and its members outside the list.
func (sets *upstreamSets) record(now time.Time, set uint64, outside []string) {
	if len(outside) == 0 || len(outside) > maxOutside {
		return
	}
	if sets.reported == nil {
		sets.reported = make(map[uint64]reportedSet)
	}
	sets.reported[set] = reportedSet{
		listed:  set ^ hashOutside(outside),
		outside: outside,
		heardAt: now,
	}
}

// resolve returns the list of a set and its members outside that, or false if this process
// does not know all members.
func (sets *upstreamSets) resolve(now time.Time, set uint64) (reportedSet, bool) {
	resolved, hasOutside := sets.reported[set]
	if !hasOutside {
		resolved.listed = set
	}
	for _, id := range resolved.outside {
		_, isListed := sets.joinedAt[id]
		if _, isKnown := sets.leftAt[id]; !isListed && !isKnown {
			return reportedSet{}, false
		}
	}
	if resolved.listed == sets.listed {
		return resolved, sets.listed != unknownSet
	}
	replacedAt, isKnown := sets.replacedAt[resolved.listed]
	return resolved, isKnown && now.Sub(replacedAt) <= removedRetention
}

// covers reports whether this process knows all members of other sets.
func (sets *upstreamSets) covers(now time.Time, others []uint64) bool {
	for _, other := range others {
		if _, isKnown := sets.resolve(now, other); !isKnown {
			return false
		}
	}
	return len(others) > 0
}

// mayContain reports whether an upstream that has left the list of this process may be a member
// of one of the sets. Any upstream may be a member of a set that is not known.
func (sets *upstreamSets) mayContain(now time.Time, others []uint64, id string) bool {
	for _, other := range others {
		resolved, isKnown := sets.resolve(now, other)
		// The upstream was on all lists before it left, but for those before it joined.
		if !isKnown || slices.Contains(resolved.outside, id) ||
			(resolved.listed != sets.listed && !sets.replacedAt[resolved.listed].After(sets.leftAt[id])) {
			return true
		}
	}
	return len(others) == 0
}

// anyLeftCell reports whether an upstream on the last list of the cell is on the region's list
// and not in the cell any more: the region was divided, or a failure domain got processes of its
// own.
func (sets *upstreamSets) anyLeftCell(list, cellUpstreams []cell.Upstream) bool {
	if len(list) == len(cellUpstreams) {
		return false
	}
	inCell := make(map[string]bool, len(cellUpstreams))
	for i := range cellUpstreams {
		inCell[cellUpstreams[i].ID] = true
	}
	return slices.ContainsFunc(list, func(upstream cell.Upstream) bool {
		_, isListed := sets.joinedAt[upstream.ID]
		_, isKnown := sets.leftAt[upstream.ID]
		return (isListed || isKnown) && !inCell[upstream.ID]
	})
}

// leaveCell records that upstreams of the last list have left the cell, so that this process
// can't find runs on them.
func (sets *upstreamSets) leaveCell() {
	clear(sets.replacedAt)
	clear(sets.reported)
	sets.listed = unknownSet
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
		set, _ := loop.reportedSet()
		return set
	}
	heartbeat, _ := loop.view.LastHeartbeat(scheduler)
	return heartbeat.UpstreamSet
}

// reportedSet returns the set of upstreams on which this process may have runs, and the members
// of it that are not on the list.
func (loop *loop) reportedSet() (set uint64, outside []string) {
	if loop.cell != nil {
		outside = loop.cell.RunsOutside()
	}
	return loop.knownUpstreams.withOutside(outside), outside
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
