package region

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// candidate is a process that may be chosen.
type candidate struct {
	member    Member
	leaving   bool
	activeFor time.Duration
	followers int
	settled   bool
	// strong processes have nearly as much processor time as any.
	strong bool
}

// candidates returns the live processes.
func (view *View) candidates() []candidate {
	followers := make(map[string]int)
	followers[view.follows]++
	var found []candidate
	found = append(found, candidate{
		member:    view.self,
		leaving:   view.leaving,
		activeFor: view.ActiveFor(),
		settled:   view.Eligible(),
	})
	for _, address := range view.PeerAddresses() {
		held := view.remotes[address]
		if !view.live(held) {
			continue
		}
		followers[held.beat.Follows]++
		found = append(found, candidate{
			member:    held.beat.Member,
			leaving:   held.beat.Leaving,
			activeFor: view.activeNow(held),
			settled:   held.beat.Eligible,
		})
	}
	strongest := 0.0
	for i := range found {
		found[i].followers = followers[found[i].member.Address]
		if found[i].settled && !found[i].leaving {
			strongest = max(strongest, found[i].member.Weight)
		}
	}
	for i := range found {
		found[i].strong = found[i].member.Weight >= strongShare*strongest
	}
	return found
}

// strongShare is the share of the highest weight from which a process is
// preferred for scheduling. Weaker ones carry a part of the region's load only.
const strongShare = 0.75

// CanYield reports whether another process could schedule as well as this one:
// one that is settled, not much weaker, and no process has yielded lately. If
// one has, it is the load that is too high and not a VM that is slow.
func (view *View) CanYield() bool {
	able := false
	for _, held := range view.remotes {
		if !view.live(held) || held.beat.Leaving {
			continue
		}
		if !held.beat.Eligible && view.now.Sub(held.learned) > settledBy {
			return false
		}
		able = able || (held.beat.Eligible && held.beat.Member.Weight >= strongShare*view.self.Weight)
	}
	return able
}

// settledBy is when a process that is not settled is abstaining and not new.
const settledBy = 2 * time.Second

// activeNow returns how long a process has scheduled by now, going by its last
// heartbeat.
func (view *View) activeNow(held *remote) time.Duration {
	if held.beat.ActiveFor == 0 {
		return 0
	}
	return held.beat.ActiveFor + view.now.Sub(held.heardAt)
}

// Leader returns the process that schedules: among those that do, the one with
// the most followers, and the longest of these. Where none does, it is the
// live and settled process with the highest rank among the strongest, and active
// is false. A process that is leaving comes after all others.
func (view *View) Leader() (leader Member, active, found bool) {
	var best candidate
	for _, other := range view.candidates() {
		if !found || ahead(other, best) {
			best = other
			found = true
		}
	}
	return best.member, best.activeFor > 0, found
}

// able reports whether a process schedules and is strong enough to go on. A weak
// one that began while the others had not started gives way to a strong one.
func (candidate candidate) able() bool { return candidate.activeFor > 0 && candidate.strong }

func ahead(a, b candidate) bool {
	if a.leaving != b.leaving {
		return b.leaving
	}
	if a.able() != b.able() {
		return a.able()
	}
	if a.able() {
		if a.followers != b.followers {
			return a.followers > b.followers
		}
		if difference := a.activeFor - b.activeFor; difference > sameAge || difference < -sameAge {
			return difference > 0
		}
	}
	if a.settled != b.settled {
		return a.settled
	}
	if strongA, strongB := a.strong, b.strong; strongA != strongB {
		return strongA
	}
	rankA, rankB := RendezvousScore(a.member, "leader"), RendezvousScore(b.member, "leader")
	if rankA != rankB {
		return rankA > rankB
	}
	return a.member.Address < b.member.Address
}

// RendezvousScore returns the weighted rendezvous score of a process for a key, which is
// above 0.
func RendezvousScore(member Member, key string) float64 {
	digest := xxhash.Sum64String(member.Address + "/" + key)
	unit := (float64(digest>>11) + 0.5) / (1 << 53)
	return -math.Max(member.Weight, 0.001) / math.Log(unit)
}
