package fleet

import (
	"sort"
	"time"

	"tanagerfall/shared/connection/peer"
	"tanagerfall/shared/connection/platform"
	"tanagerfall/shared/request/placement"
)

const (
	// TickInterval is the longest time between two Ticks.
	TickInterval = 250 * time.Millisecond
	// minPeriod is the shortest time between two exchanges of a pair of VMs of
	// one domain. With two peers in the domain and at most two links to other
	// domains it gives at most 9 messages/s, sent and received together.
	minPeriod = 700 * time.Millisecond
	// periodPerPeer lengthens the period in large domains, so that a VM's
	// message rate is bounded. 20 VMs in a domain give a period of 950 ms.
	periodPerPeer = 50 * time.Millisecond
	// linkPeriod is the time between two exchanges of VMs of two domains.
	linkPeriod = 1250 * time.Millisecond
	// linksPerPair is the number of links between each two domains.
	linksPerPair = 2
	// failPeriods is the number of periods without a heartbeat after which a
	// VM is regarded as dead: 2.1 s in a domain of three.
	failPeriods = 3
	// lapsePeriods is the pause after which this VM assumes that its peers
	// regard it as dead. Its last heartbeat may be one period older than the
	// pause, so it is one less than failPeriods.
	lapsePeriods = failPeriods - 1
	// refusalsUntilDead is the number of undelivered exchanges in a row after
	// which a VM that was silent for one period counts as dead, without
	// waiting for failPeriods. A killed process refuses connections at once.
	refusalsUntilDead = 2
	refusalRetry      = 200 * time.Millisecond
	// earlyGap is the shortest time between two early rounds of heartbeats.
	earlyGap = 500 * time.Millisecond
	// avoidLink is the time for which a failed contact of another domain is
	// replaced by the next in rank.
	avoidLink = 30 * time.Second
	// strayDrainMemory is how long a drain signal of an upstream that is not
	// in the list is kept: the list may lag behind the upstream's start.
	strayDrainMemory = 10 * time.Minute
	maxDrainsTold    = 64
	maxRedirectsTold = 64
	// maxQuotasTold bounds the quota counts in a heartbeat, wants and spares
	// together. 16 of them would take 19 KB/s at 20 VMs in a domain, headers
	// included.
	maxQuotasTold = 8
	pullRetry     = time.Second
)

// Self is what this VM is.
type Self struct {
	Address     string
	Domain      string
	Size        float64
	Incarnation uint64
	// Started is the start of the process.
	Started time.Time
}

// View is an entry VM's view of the other VMs. It is not safe for concurrent
// use.
type View struct {
	self        Self
	status      Status
	leaving     bool
	released    bool
	sequence    uint64
	listVersion int64
	members     map[string]*member
	// order has the members by address; nil after a change of members.
	order []*member
	// interval is the period of the exchanges within the domain.
	interval time.Duration
	// links are the contacts as of linksAt; the zero time has them chosen
	// anew.
	links   map[string]bool
	linksAt time.Time
	workers map[string]*worker
	// strayDrains holds the drain signals of upstreams that are not listed.
	strayDrains map[string]time.Time
	redirects   map[uint64]peer.Redirect
	// handledAt is the time of the last call, earlyAt that of the last early
	// round.
	handledAt time.Time
	earlyAt   time.Time
	earlyDue  bool
	// ownsFrom is the time before which this VM owns nothing: its peers are
	// to know of it first.
	ownsFrom time.Time
	pulling  bool
	pullAt   time.Time
	owned    map[string]bool
	// shares counts the slots that each owner of the domain owns.
	shares []SlotShare
	// lostAt is when a VM of the domain was last lost.
	lostAt    time.Time
	announced bool
	dirty     bool
	selfRow   platform.VmState
}

// member is another entry VM.
type member struct {
	address string
	domain  string
	size    float64
	// listed and row are what the list says.
	listed bool
	row    platform.VmState
	// leaving is sticky: a new incarnation or the end of the row ends it.
	leaving bool
	// seenAt is when the VM became known, heardAt the last heartbeat.
	seenAt   time.Time
	heardAt  time.Time
	last     peer.HeartbeatMessage
	live     bool
	refusals int
	// nextAt is when the next exchange is due; inFlight is set while one runs.
	nextAt     time.Time
	inFlight   bool
	sentAt     time.Time
	avoidUntil time.Time
}

// worker is an upstream of any domain.
type worker struct {
	row platform.Vm
	// since is the list version in which the row appeared.
	since int64
	// leaving is sticky: only the end of the row ends it.
	leaving bool
	// signalled is set if this VM got the upstream's own drain signal.
	signalled bool
	// signalVersion is the list version known when the signal came.
	signalVersion int64
}

// New returns a View that knows only this VM.
func New(now time.Time, self Self) *View {
	return &View{
		self:        self,
		members:     make(map[string]*member),
		workers:     make(map[string]*worker),
		strayDrains: make(map[string]time.Time),
		redirects:   make(map[uint64]peer.Redirect),
		owned:       make(map[string]bool),
		handledAt:   now,
		interval:    minPeriod,
		ownsFrom:    now.Add(minPeriod),
	}
}

// Handle takes one event and returns what is to be done.
func (view *View) Handle(now time.Time, event Event) []Decision {
	decisions := view.noticePause(now)
	switch event := event.(type) {
	case ListReceived:
		decisions = append(decisions, view.applyList(now, event.List)...)
	case HeartbeatReceived:
		if held, known := view.members[event.Message.Address]; known {
			held.inFlight = false
		}
		view.hear(now, event.Message)
	case HeartbeatFailed:
		view.failed(now, event)
	case UpstreamDraining:
		view.drainSignal(now, event.Upstream)
	case StatusChanged:
		view.status = event.Status
	case RedirectsReceived:
		view.learnRedirects(now, event.Redirects)
	case PlanPullEnded:
		view.pulling = false
		view.pullAt = now.Add(pullRetry)
	case LeavingStarted:
		view.leaving = true
		view.earlyDue = true
	case SlotsReleased:
		view.released = true
		view.dirty = true
		view.earlyDue = true
	case Tick:
	}
	return append(decisions, view.settle(now)...)
}

// Answer takes a peer's heartbeat and returns this VM's own as the response.
func (view *View) Answer(now time.Time, message peer.HeartbeatMessage) (peer.HeartbeatMessage, []Decision) {
	decisions := view.noticePause(now)
	view.hear(now, message)
	decisions = append(decisions, view.settle(now)...)
	return view.message(now, view.members[message.Address]), decisions
}

// noticePause finds out that this process did not run for long. All members
// then count as live for another failPeriods, because it is this VM that did
// not listen, and this VM owns nothing until its peers know of it again.
func (view *View) noticePause(now time.Time) []Decision {
	// The monotonic clock may stand still while the whole VM is paused.
	paused := max(now.Sub(view.handledAt), now.Round(0).Sub(view.handledAt.Round(0)))
	view.handledAt = now
	if paused <= lapsePeriods*view.period() {
		return nil
	}
	for _, member := range view.members {
		if member.live {
			member.heardAt = now
		}
		member.inFlight = false
		member.nextAt = now
	}
	view.ownsFrom = now.Add(view.period())
	view.dirty = true
	return []Decision{MembershipLapsed{Paused: paused}}
}

// settle brings everything that follows from the state up to date.
func (view *View) settle(now time.Time) []Decision {
	view.expire(now)
	decisions := view.updateLive(now)
	decisions = append(decisions, view.updateOwned(now)...)
	decisions = append(decisions, view.pullPlan(now)...)
	return append(decisions, view.sendDue(now)...)
}

func (view *View) expire(now time.Time) {
	for incarnation, redirect := range view.redirects {
		if now.Unix() >= redirect.ExpiryUnix {
			delete(view.redirects, incarnation)
		}
	}
	for upstream, until := range view.strayDrains {
		if !now.Before(until) {
			delete(view.strayDrains, upstream)
		}
	}
	for address, member := range view.members {
		if !member.listed && !member.live && now.Sub(member.heardAt) > view.failAfter() {
			delete(view.members, address)
			view.membersChanged()
		}
	}
}

// Members.

func (view *View) peersOfDomain() int {
	count := 0
	for _, member := range view.members {
		if member.domain == view.self.Domain && (member.live || member.listed) {
			count++
		}
	}
	return count
}

func (view *View) period() time.Duration { return view.interval }

func (view *View) updatePeriod() {
	view.interval = max(minPeriod, time.Duration(view.peersOfDomain())*periodPerPeer)
}

func (view *View) failAfter() time.Duration {
	return failPeriods * view.period()
}

// isLive says whether a member counts as live. A member that was never heard
// counts for a while if the list names it, so that a VM that starts does not
// take everything before its peers had the time to tell of themselves.
func (view *View) isLive(now time.Time, member *member) bool {
	if member.refusals >= refusalsUntilDead && now.Sub(member.heardAt) > view.period() {
		return false
	}
	if member.domain != view.self.Domain {
		return member.listed || now.Sub(member.heardAt) <= view.failAfter()
	}
	if member.heardAt.IsZero() {
		return member.listed && !member.leaving && now.Sub(member.seenAt) <= view.failAfter()
	}
	return now.Sub(member.heardAt) <= view.failAfter()
}

func (view *View) updateLive(now time.Time) []Decision {
	view.updatePeriod()
	var decisions []Decision
	for _, member := range view.sortedMembers() {
		live := view.isLive(now, member)
		if live == member.live {
			continue
		}
		member.live = live
		view.linksAt = time.Time{}
		if member.domain != view.self.Domain {
			continue
		}
		view.dirty = true
		if live {
			decisions = append(decisions, MemberJoined{
				Address:     member.address,
				Incarnation: member.last.Incarnation,
			})
			continue
		}
		view.lostAt = now
		decisions = append(decisions, MemberLost{
			Address:     member.address,
			Incarnation: member.last.Incarnation,
		})
	}
	return decisions
}

// sortedMembers returns the members by address. The result is valid until the
// next change of members.
func (view *View) sortedMembers() []*member {
	if view.order == nil {
		view.order = make([]*member, 0, len(view.members))
		for _, member := range view.members {
			view.order = append(view.order, member)
		}
		sort.Slice(view.order, func(i, j int) bool { return view.order[i].address < view.order[j].address })
	}
	return view.order
}

func (view *View) membersChanged() {
	view.order = nil
	view.linksAt = time.Time{}
}

func (view *View) member(now time.Time, address, domain string) *member {
	held, known := view.members[address]
	if !known {
		held = &member{
			address: address,
			domain:  domain,
			seenAt:  now,
			nextAt:  now,
		}
		view.members[address] = held
		view.membersChanged()
	}
	return held
}

// hear takes a heartbeat of a peer. A message that is older than one already
// taken, of the same or of an earlier incarnation, is ignored.
func (view *View) hear(now time.Time, message peer.HeartbeatMessage) {
	if message.Address == "" || message.Address == view.self.Address {
		return
	}
	member := view.member(now, message.Address, message.Domain)
	if member.last.Incarnation == message.Incarnation && !member.heardAt.IsZero() {
		if message.Sequence <= member.last.Sequence {
			return
		}
	} else if !view.succeeds(now, member, message) {
		return
	} else {
		member.leaving = false
		view.dirty = true
	}
	if member.last.Released != message.Released || member.last.Size != message.Size {
		view.dirty = true
	}
	member.domain = message.Domain
	member.size = message.Size
	member.leaving = member.leaving || message.Leaving
	member.heardAt = now
	member.refusals = 0
	member.last = message
	for _, drain := range message.Drains {
		view.drainTold(now, drain)
	}
	view.learnRedirects(now, message.Redirects)
}

// succeeds says whether a message of another incarnation replaces what is
// known of its address. A VM's clock may have been set back, so any
// incarnation replaces one that went silent.
func (view *View) succeeds(now time.Time, member *member, message peer.HeartbeatMessage) bool {
	return member.heardAt.IsZero() ||
		message.StartedMs > member.last.StartedMs ||
		now.Sub(member.heardAt) > view.failAfter()
}

func (view *View) failed(now time.Time, event HeartbeatFailed) {
	member, known := view.members[event.Address]
	if !known {
		return
	}
	member.inFlight = false
	if member.domain != view.self.Domain {
		member.avoidUntil = now.Add(avoidLink)
		view.linksAt = time.Time{}
		return
	}
	if event.Refused && member.live {
		member.refusals++
		member.nextAt = now.Add(refusalRetry)
	}
}

// The list.

func (view *View) applyList(now time.Time, list platform.VmsResponse) []Decision {
	if list.Version <= view.listVersion {
		return nil
	}
	view.listVersion = list.Version
	view.dirty = true
	var decisions []Decision
	present := make(map[string]bool, len(list.Vms))
	for _, row := range list.Vms {
		present[row.Address] = true
		switch {
		case row.Role == platform.RoleWorker:
			view.applyWorker(row)
		case row.Address == view.self.Address:
			if row.State == platform.VmLeaving && view.selfRow == platform.VmLive {
				decisions = append(decisions, StopRequested{})
			}
			view.selfRow = row.State
		default:
			view.applyEntry(now, row)
		}
	}
	for address := range view.workers {
		if !present[address] {
			delete(view.workers, address)
		}
	}
	for address, member := range view.members {
		if !present[address] && member.listed {
			member.listed = false
			member.leaving = member.last.Leaving
			member.row = ""
		}
	}
	return decisions
}

func (view *View) applyWorker(row platform.Vm) {
	held, known := view.workers[row.Address]
	if !known {
		held = &worker{
			since: view.listVersion,
		}
		if _, stray := view.strayDrains[row.Address]; stray {
			held.leaving = true
			delete(view.strayDrains, row.Address)
		}
		view.workers[row.Address] = held
	}
	held.row = row
	if row.State == platform.VmLeaving {
		held.leaving = true
	}
}

func (view *View) applyEntry(now time.Time, row platform.Vm) {
	member := view.member(now, row.Address, row.Domain)
	if !member.listed {
		member.seenAt = now
	}
	member.listed = true
	if member.heardAt.IsZero() {
		member.size = row.Size
	}
	// Only a change of the row counts: a row that stays after a restart of
	// the process does not make the new incarnation leave.
	if row.State == platform.VmLeaving && member.row != platform.VmLeaving {
		member.leaving = true
	}
	member.row = row.State
}

// Drain signals.

func (view *View) drainSignal(now time.Time, upstream string) {
	held, known := view.workers[upstream]
	if !known {
		view.strayDrains[upstream] = now.Add(strayDrainMemory)
		return
	}
	if held.signalled {
		return
	}
	held.signalled = true
	held.signalVersion = view.listVersion
	view.earlyDue = true
	if !held.leaving {
		held.leaving = true
		view.dirty = true
	}
}

func (view *View) drainTold(now time.Time, drain peer.Drain) {
	held, known := view.workers[drain.Upstream]
	if !known {
		if drain.ListVersion >= view.listVersion {
			view.strayDrains[drain.Upstream] = now.Add(strayDrainMemory)
		}
		return
	}
	if held.leaving || drain.ListVersion < held.since {
		return
	}
	held.leaving = true
	view.dirty = true
}

// drainsToTell lists the signals that this VM got itself, until the list
// names the upstream as leaving.
func (view *View) drainsToTell() []peer.Drain {
	var drains []peer.Drain
	for address, worker := range view.workers {
		if worker.signalled && worker.row.State != platform.VmLeaving {
			drains = append(drains, peer.Drain{
				Upstream:    address,
				ListVersion: worker.signalVersion,
			})
		}
	}
	sort.Slice(drains, func(i, j int) bool { return drains[i].Upstream < drains[j].Upstream })
	return drains[:min(len(drains), maxDrainsTold)]
}

// Ownership.

func (view *View) owns(now time.Time) bool {
	return !view.released && !now.Before(view.ownsFrom)
}

func (view *View) isOwner(member *member) bool {
	return member.domain == view.self.Domain && member.live && !member.last.Released
}

// owners returns the VMs of the domain that own upstreams.
func (view *View) owners(now time.Time) []Owner {
	var owners []Owner
	if view.owns(now) {
		owners = append(owners, Owner{
			Address: view.self.Address,
			Weight:  view.self.Size,
		})
	}
	for _, member := range view.members {
		if view.isOwner(member) {
			owners = append(owners, Owner{
				Address: member.address,
				Weight:  member.size,
			})
		}
	}
	return owners
}

func (view *View) updateOwned(now time.Time) []Decision {
	if !view.announced && !now.Before(view.ownsFrom) {
		view.dirty = true
	}
	if !view.dirty {
		return nil
	}
	view.dirty = false
	// A pause sets ownsFrom into the future; the next call after it announces
	// the ownership again.
	view.announced = !now.Before(view.ownsFrom)
	owners := view.owners(now)
	changed := UpstreamsChanged{}
	divided := Divide(owners, view.openUpstreams())
	owned := make(map[string]bool)
	slots := make(map[string]int)
	for address, worker := range view.workers {
		if worker.row.Domain != view.self.Domain {
			continue
		}
		if worker.leaving {
			changed.Leaving = append(changed.Leaving, address)
			continue
		}
		changed.Domain = append(changed.Domain, upstreamOf(worker.row))
		owner := divided[address]
		slots[owner] += worker.row.Slots
		if owner != view.self.Address {
			continue
		}
		owned[address] = true
		changed.Owned = append(changed.Owned, upstreamOf(worker.row))
		if !view.owned[address] {
			changed.Gained = append(changed.Gained, address)
		}
	}
	view.owned = owned
	view.shares = view.shares[:0:0]
	for _, owner := range owners {
		view.shares = append(view.shares, SlotShare{
			Address: owner.Address,
			Slots:   slots[owner.Address],
		})
	}
	sort.Slice(changed.Owned, func(i, j int) bool { return changed.Owned[i].ID < changed.Owned[j].ID })
	sort.Slice(changed.Domain, func(i, j int) bool { return changed.Domain[i].ID < changed.Domain[j].ID })
	sort.Strings(changed.Gained)
	sort.Strings(changed.Leaving)
	return []Decision{changed}
}

// openUpstreams returns the upstreams of the domain that may get new tasks.
func (view *View) openUpstreams() []Sized {
	var open []Sized
	for address, worker := range view.workers {
		if worker.row.Domain == view.self.Domain && !worker.leaving {
			open = append(open, Sized{
				Upstream: address,
				Slots:    worker.row.Slots,
			})
		}
	}
	return open
}

func upstreamOf(row platform.Vm) placement.Upstream {
	return placement.Upstream{
		ID:           row.Address,
		Domain:       row.Domain,
		Rack:         row.Rack,
		Slots:        row.Slots,
		Cores:        row.Cores,
		MemoryMb:     row.MemoryMb,
		Accelerators: row.Accelerators,
		Speed:        row.Speed,
	}
}

// SlotShares returns the number of slots that each owner of the domain owns.
// The caller must not change the result.
func (view *View) SlotShares() []SlotShare { return view.shares }

// SettlingTime is the time after which a VM of the domain that is not heard
// counts as dead.
func (view *View) SettlingTime() time.Duration { return view.failAfter() }

// Lendings lists the VMs of the domain from which slots can be borrowed, with
// what their heartbeats told.
func (view *View) Lendings() []Lending {
	var lendings []Lending
	for _, member := range view.sortedMembers() {
		if !view.isOwner(member) || member.leaving || member.heardAt.IsZero() {
			continue
		}
		lendings = append(lendings, Lending{
			Address: member.address,
			Load:    member.last.Load,
			Spares:  member.last.Spares,
		})
	}
	return lendings
}

// Successors lists the VMs of the domain that can take this VM's submissions
// over, best first. The order is the same at each call while the VMs stay.
func (view *View) Successors() []string {
	var candidates []string
	for address, member := range view.members {
		if member.domain == view.self.Domain && member.live && !member.leaving && !member.heardAt.IsZero() {
			candidates = append(candidates, address)
		}
	}
	return rank(view.self.Address, candidates)
}

// MemberState is what the state dump tells of an entry VM.
type MemberState struct {
	Address     string `json:"address"`
	Domain      string `json:"failure-domain"`
	Incarnation uint64 `json:"incarnation"`
	Live        bool   `json:"live"`
	Leaving     bool   `json:"leaving"`
	Listed      bool   `json:"listed"`
	HeardAgoMs  int64  `json:"heard-ago-ms"`
	PlanVersion int64  `json:"plan-version"`
	// Agrees tells that the VM knows the same list and owners.
	Agrees bool      `json:"agrees"`
	Load   peer.Load `json:"load"`
}

// Members returns the state of all other entry VMs, by address.
func (view *View) Members(now time.Time) []MemberState {
	digest := view.fleetDigest(now)
	states := make([]MemberState, 0, len(view.members))
	for _, member := range view.sortedMembers() {
		heardAgo := int64(-1)
		if !member.heardAt.IsZero() {
			heardAgo = now.Sub(member.heardAt).Milliseconds()
		}
		states = append(states, MemberState{
			Address:     member.address,
			Domain:      member.domain,
			Incarnation: member.last.Incarnation,
			Live:        member.live,
			Leaving:     member.leaving,
			Listed:      member.listed,
			HeardAgoMs:  heardAgo,
			PlanVersion: member.last.PlanVersion,
			Agrees:      member.last.FleetDigest == digest,
			Load:        member.last.Load,
		})
	}
	return states
}
