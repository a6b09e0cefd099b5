package region

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// candidate is a live process that may be elected scheduler.
type candidate struct {
	member    Member
	leaving   bool
	activeFor time.Duration
	followers int
	eligible  bool
	// strong is set if the weight of the process is at least strongWeightShare
	// of the highest weight of an eligible process.
	strong bool
}

// candidates returns the live processes, this one included.
func (view *View) candidates() []candidate {
	followers := make(map[string]int)
	followers[view.follows]++
	var processes []candidate
	processes = append(processes, candidate{
		member:    view.self,
		leaving:   view.leaving,
		activeFor: view.ActiveFor(),
		eligible:  view.Eligible(),
	})
	// The order matters where processes differ by less than activeForTolerance.
	for _, address := range view.PeerAddresses() {
		peer := view.peers[address]
		if !view.live(peer) {
			continue
		}
		followers[peer.heartbeat.Follows]++
		processes = append(processes, candidate{
			member:    peer.heartbeat.Member,
			leaving:   peer.heartbeat.Leaving,
			activeFor: view.estimatedActiveFor(peer),
			eligible:  peer.heartbeat.Eligible,
		})
	}
	strongest := 0.0
	for i := range processes {
		processes[i].followers = followers[processes[i].member.Address]
		if processes[i].eligible && !processes[i].leaving {
			strongest = max(strongest, processes[i].member.Weight)
		}
	}
	for i := range processes {
		processes[i].strong = processes[i].member.Weight >= strongWeightShare*strongest
	}
	return processes
}

// strongWeightShare is the share of the highest weight from which a process is
// preferred as scheduler. Weaker processes can schedule only a part of the
// region's load.
const strongWeightShare = 0.75

// CanYield reports whether another process could schedule as well as this one.
// That takes a live and eligible process that is not leaving and whose weight
// is at least three quarters of this one's. CanYield returns false while a live
// process that is not leaving abstains, as one does that has yielded lately: then
// it is the load that is too high, and not this VM that is slow.
func (view *View) CanYield() bool {
	canYield := false
	for _, peer := range view.peers {
		if !view.live(peer) || peer.heartbeat.Leaving || !view.inCell(peer.heartbeat.Member) {
			continue
		}
		if !peer.heartbeat.Eligible && view.now.Sub(peer.learnedAt) > eligibleWithin {
			return false
		}
		canYield = canYield || (peer.heartbeat.Eligible && peer.heartbeat.Member.Weight >= strongWeightShare*view.self.Weight)
	}
	return canYield
}

// eligibleWithin is the time after which a known process that is not eligible
// is taken to abstain rather than to be starting.
const eligibleWithin = 2 * time.Second

// estimatedActiveFor returns how long a peer has scheduled by now, extrapolated
// from its last heartbeat; 0 if it does not schedule.
func (view *View) estimatedActiveFor(peer *peerState) time.Duration {
	if peer.heartbeat.ActiveFor == 0 {
		return 0
	}
	return peer.heartbeat.ActiveFor + view.now.Sub(peer.lastHeartbeatAt)
}

// Leader returns the process that should schedule, and whether it does already
// (active). A process is strong if its weight is at least three quarters of the
// highest weight of an eligible process. Among the strong processes that schedule,
// the leader is the one with the most followers, and of these the one that has
// scheduled longest. If there is none, eligible processes are preferred, then
// strong ones, then the highest rendezvous score. A process that is leaving is
// chosen only if all other live processes are leaving too. found is always true:
// this process is itself a candidate.
func (view *View) Leader() (leader Member, active, found bool) {
	var best candidate
	for _, process := range view.candidates() {
		if !found || preferred(process, best) {
			best = process
			found = true
		}
	}
	return best.member, best.activeFor > 0, found
}

// IsStandby reports whether this process is among the first count processes that
// would begin to schedule if the present scheduler were lost.
func (view *View) IsStandby(count int) bool {
	processes := view.candidates()
	self := processes[0]
	before := 0
	for _, process := range processes[1:] {
		if process.activeFor == 0 && preferred(process, self) {
			before++
		}
	}
	return before < count
}

// Successors returns the addresses of the processes other than this one that would
// begin to schedule if this one were lost, or if their failure domain were cut off: the
// first count of all, and the first of each domain.
func (view *View) Successors(count int) []string {
	processes := view.candidates()[1:]
	slices.SortStableFunc(processes, func(a, b candidate) int {
		if preferred(a, b) {
			return -1
		}
		return 1
	})
	var successors []string
	coveredDomains := make(map[string]bool)
	for _, process := range processes {
		if process.activeFor > 0 || !view.inCell(process.member) {
			continue
		}
		if len(successors) < count || !coveredDomains[process.member.Domain] {
			successors = append(successors, process.member.Address)
		}
		coveredDomains[process.member.Domain] = true
	}
	return successors
}

// canContinue reports whether a process schedules and is strong enough to go
// on. A weak process that became scheduler before the others had started is
// replaced by a strong one.
func (candidate candidate) canContinue() bool { return candidate.activeFor > 0 && candidate.strong }

// preferred reports whether a goes before b in the election.
func preferred(a, b candidate) bool {
	if a.leaving != b.leaving {
		return b.leaving
	}
	if a.canContinue() != b.canContinue() {
		return a.canContinue()
	}
	if a.canContinue() {
		if a.followers != b.followers {
			return a.followers > b.followers
		}
		if difference := a.activeFor - b.activeFor; difference > activeForTolerance || difference < -activeForTolerance {
			return difference > 0
		}
	}
	if a.eligible != b.eligible {
		return a.eligible
	}
	if strongA, strongB := a.strong, b.strong; strongA != strongB {
		return strongA
	}
	scoreA, scoreB := RendezvousScore(a.member, "leader"), RendezvousScore(b.member, "leader")
	if scoreA != scoreB {
		return scoreA > scoreB
	}
	return a.member.Address < b.member.Address
}

// RendezvousScore returns the weighted rendezvous hashing score of a process
// for a key, which is above 0. The process with the highest score for a key is
// chosen; each is chosen for a share of the keys in proportion to its weight,
// and a change of the members moves only the keys of those that changed.
func RendezvousScore(member Member, key string) float64 {
	digest := xxhash.Sum64String(member.Address + "/" + key)
	unit := (float64(digest>>11) + 0.5) / (1 << 53)
	return -math.Max(member.Weight, 0.001) / math.Log(unit)
}
