package region

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerfall/shared/request/cell"
)

// Division says how the upstreams of a region are divided among schedulers.
type Division uint8

// Values of Division.
const (
	// DivisionUnknown means that the process does not know yet how many processes
	// and upstreams the region has.
	DivisionUnknown Division = iota
	// Undivided means that one scheduler has all upstreams of the region.
	Undivided
	// DividedByDomain means that each failure domain is a cell with a scheduler of
	// its own.
	DividedByDomain
)

// String returns the name of the division for logs and the state dump.
func (division Division) String() string {
	switch division {
	case Undivided:
		return "undivided"
	case DividedByDomain:
		return "divided by failure domain"
	default:
		return "unknown"
	}
}

const (
	// upstreamsPerCore is the number of upstreams that one core of a scheduler can
	// keep busy with sub-second tasks. On bankhane-grown a scheduler with 0.8 of a
	// core keeps 350 upstreams in time; on bankhane-large one with 1,100 did not.
	upstreamsPerCore = 700
	// upstreamsPerMbit is the number of upstreams for which one Mbit/s of a
	// scheduler's link suffices: an upstream with four starts a second costs about
	// 30 kbit/s of orders, replies and polls, and half of the link is kept free.
	upstreamsPerMbit = 15
	// undividedProcesses is the number of processes up to which heartbeats of each
	// process to every other one cost little.
	undividedProcesses = 64
	// minUpstreamsToDivide is the number of upstreams up to which a region stays
	// undivided however weak its processes are: a cell of a few upstreams wastes
	// capacity, because tasks of several cores don't fit into what is left.
	minUpstreamsToDivide = 64
	// rosterSettleTime is how long the roster must not have changed before it
	// decides the division. The processes of a region start within 300 ms and learn
	// of each other within some round trips; at 1 s a region had no scheduler for
	// 1.2 s after all its processes had restarted.
	rosterSettleTime = 400 * time.Millisecond
	// divisionTimeout is the time after its start after which a process decides
	// with what it knows, so that one that is cut off serves what it can.
	divisionTimeout = 4 * time.Second
)

// ChooseDivision returns the division for a region with the given processes and
// number of upstreams. It answers two patterns of load: one scheduler whose
// processor or link can't carry the orders to all upstreams, and heartbeats whose
// number grows with the square of the processes.
func ChooseDivision(members []Member, upstreams int) Division {
	if upstreams <= minUpstreamsToDivide && len(members) <= undividedProcesses {
		return Undivided
	}
	domains := make(map[string]bool)
	budget := 0.0
	for _, member := range members {
		domains[member.Domain] = true
		budget = max(budget, upstreamBudget(member))
	}
	if len(domains) > 1 && (float64(upstreams) > budget || len(members) > undividedProcesses) {
		return DividedByDomain
	}
	return Undivided
}

// upstreamBudget returns the number of upstreams that a process can schedule with
// its processor time and its link.
func upstreamBudget(member Member) float64 {
	budget := upstreamsPerCore * member.Weight
	if member.LinkMbps > 0 {
		budget = min(budget, upstreamsPerMbit*member.LinkMbps)
	}
	return budget
}

// Division returns how this process takes the region to be divided.
func (view *View) Division() Division { return view.division }

// UpdateDivision decides the division if it is not decided yet and enough is known:
// upstreams is the number of upstreams on the platform's list, which is 0 until
// the list has been read and the first upstreams have registered. An undivided region becomes divided when it has outgrown one
// scheduler by a quarter; a divided region stays divided, so that processes don't
// change back and forth. It returns the addresses of the peers that are no longer
// in the cell of this process, sorted, and whether the division changed.
func (view *View) UpdateDivision(upstreams int) (removed []string, changed bool) {
	switch view.division {
	case DivisionUnknown:
		if !view.divisionDue(upstreams) {
			return nil, false
		}
		return view.adoptDivision(ChooseDivision(view.presentRoster(), upstreams)), true
	case Undivided:
		// Absent processes count as well: a strong one may be back soon.
		upstreams = upstreams * 4 / 5
		if !view.rosterSettled() || ChooseDivision(view.presentRoster(), upstreams) != DividedByDomain ||
			ChooseDivision(view.rosterMembers(), upstreams) != DividedByDomain {
			return nil, false
		}
		return view.adoptDivision(DividedByDomain), true
	default:
		return nil, false
	}
}

// divisionDue reports whether enough is known to decide the division.
func (view *View) divisionDue(upstreams int) bool {
	if view.now.Sub(view.startedAt) >= divisionTimeout {
		return true
	}
	if upstreams <= 0 {
		return false
	}
	if view.rosterSettled() {
		return true
	}
	// Further members only raise the budget of the strongest, so that a region
	// that is not divided now needs no wait.
	return view.now.Sub(view.startedAt) >= startupListenTime &&
		ChooseDivision(view.presentRoster(), upstreams) == Undivided
}

// rosterSettled reports whether the roster has not changed for a while.
func (view *View) rosterSettled() bool {
	return view.now.Sub(view.rosterChangedAt) >= rosterSettleTime
}

// AdoptDivision takes over the division that a peer reports. A process that has
// not decided adopts any, and an undivided one follows a peer that divides: it may
// have read the list of upstreams earlier. It returns as UpdateDivision does.
func (view *View) AdoptDivision(reported Division) (removed []string, changed bool) {
	if reported <= view.division || reported > DividedByDomain {
		return nil, false
	}
	return view.adoptDivision(reported), true
}

// adoptDivision sets the division and removes the peers that are not in the cell.
func (view *View) adoptDivision(division Division) []string {
	view.division = division
	view.dividedAt = view.now
	clear(view.homes)
	var removed []string
	for address, peer := range view.peers {
		if !view.inCell(peer.heartbeat.Member) {
			delete(view.peers, address)
			removed = append(removed, address)
		}
	}
	slices.Sort(removed)
	return removed
}

// CellMembers returns the members of the roster that belong to the cell of this
// process and are not peers yet, sorted by address.
func (view *View) CellMembers() []Member {
	var members []Member
	for _, member := range view.rosterMembers() {
		if _, known := view.peers[member.Address]; !known && member.Address != view.self.Address && view.inCell(member) {
			members = append(members, member)
		}
	}
	return members
}

// InCell reports whether the process at an address is this one or a known process
// of its cell.
func (view *View) InCell(address string) bool {
	if address == view.self.Address {
		return true
	}
	peer, known := view.peers[address]
	return known && view.inCell(peer.heartbeat.Member)
}

// inCell reports whether a process belongs to the cell of this process. A seed,
// whose domain is not known, counts as belonging to it. While the division is not
// known, a process of a large region connects to those of its own domain only, so
// that the start of all processes does not flood them with connections.
func (view *View) inCell(member Member) bool {
	if member.Domain == view.self.Domain || member.Domain == "" {
		return true
	}
	switch view.division {
	case DividedByDomain:
		return false
	case DivisionUnknown:
		return len(view.roster) <= undividedProcesses
	default:
		return true
	}
}

// SchedulesDomain reports whether the cell of this process has the upstreams of a
// failure domain. The upstreams of a domain without any member belong to one of
// the other domains, chosen by rendezvous hashing.
func (view *View) SchedulesDomain(domain string) bool {
	if view.division != DividedByDomain || domain == view.self.Domain {
		return true
	}
	best := view.self.Domain
	for _, member := range view.roster {
		if member.Domain == domain {
			return false
		}
		if member.Domain != "" && domainScore(member.Domain, domain) > domainScore(best, domain) {
			best = member.Domain
		}
	}
	return best == view.self.Domain
}

// domainScore returns the rendezvous score of a domain for another one.
func domainScore(domain, orphaned string) uint64 { return xxhash.Sum64String(domain + "/" + orphaned) }

// Upstreams returns the upstreams of a list that belong to the cell of this
// process. It returns the list itself if the region is not divided.
func (view *View) Upstreams(list []cell.Upstream) []cell.Upstream {
	if view.division != DividedByDomain {
		return list
	}
	scheduled := make(map[string]bool)
	var own []cell.Upstream
	for _, upstream := range list {
		mine, known := scheduled[upstream.Domain]
		if !known {
			mine = view.SchedulesDomain(upstream.Domain)
			scheduled[upstream.Domain] = mine
		}
		if mine {
			own = append(own, upstream)
		}
	}
	return own
}

// Roster returns all processes of the region that this process has heard of, this
// one included, sorted by address.
func (view *View) Roster() []Member { return view.rosterMembers() }

// rosterMembers returns the members of the roster and this process, sorted by
// address.
func (view *View) rosterMembers() []Member {
	members := make([]Member, 0, len(view.roster)+1)
	members = append(members, view.self)
	for _, member := range view.roster {
		members = append(members, member)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Address, b.Address) })
	return members
}

// recordInRoster adds a member to the roster or updates it. Seeds, whose names are
// not known yet, are left out.
func (view *View) recordInRoster(member Member) {
	if member.Domain == "" || member.Address == view.self.Address {
		return
	}
	current, known := view.roster[member.Address]
	if known && current.Domain == member.Domain && current.Weight == member.Weight {
		view.roster[member.Address] = member
		return
	}
	view.roster[member.Address] = member
	view.rosterChangedAt = view.now
}

// removeFromRoster removes a member that has been silent for long.
func (view *View) removeFromRoster(address string) {
	if _, known := view.roster[address]; known {
		delete(view.roster, address)
		view.rosterChangedAt = view.now
	}
}
