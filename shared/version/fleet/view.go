package fleet

import (
	"time"

	"tanagerfall/shared/connection/peer"
	"tanagerfall/shared/connection/platform"
)

const (
	// TickInterval is the maximum time between two Tick events.
	TickInterval = 250 * time.Millisecond
	// minHeartbeatPeriod is the minimum time between two heartbeat exchanges of
	// a pair of VMs of one domain. With two peers in the domain and at most two
	// links to other domains, a VM sends and receives at most 9 messages/s.
	minHeartbeatPeriod = 700 * time.Millisecond
	// heartbeatPeriodPerPeer scales the period with the size of the domain to
	// bound a VM's message rate: 20 VMs in a domain give a period of 950 ms.
	heartbeatPeriodPerPeer = 50 * time.Millisecond
	// linkPeriod is the time between two heartbeat exchanges over a link between
	// two domains.
	linkPeriod = 1250 * time.Millisecond
	// linksPerPair is the number of links between each pair of domains.
	linksPerPair = 2
	// failureTimeoutPeriods is the number of periods without a heartbeat after
	// which a VM counts as dead: 2.1 s in a domain of three VMs.
	failureTimeoutPeriods = 3
	// expiryPausePeriods is the pause, in periods, after which this VM assumes
	// that its peers count it as dead. It is one less than failureTimeoutPeriods
	// because the last heartbeat may precede the pause by one period.
	expiryPausePeriods = failureTimeoutPeriods - 1
	// undeliveredUntilDead is the number of consecutive undelivered exchanges
	// after which a VM that was silent for one period counts as dead, without
	// waiting for failureTimeoutPeriods. Connections to a killed process are
	// refused at once.
	undeliveredUntilDead  = 2
	undeliveredRetryDelay = 200 * time.Millisecond
	// minEarlyInterval is the minimum time between two early rounds of
	// heartbeats.
	minEarlyInterval = 500 * time.Millisecond
	// linkAvoidance is the time for which the next-ranked VM of another domain
	// replaces a link peer that failed.
	linkAvoidance = 30 * time.Second
	// unlistedDrainRetention is how long the drain signal of an upstream that is
	// not on the VM list is kept. The list may lag behind the upstream's start.
	unlistedDrainRetention = 10 * time.Minute
	maxReportedDrains      = 64
	maxReportedRedirects   = 64
	// maxReportedQuotas bounds the quota counts in a heartbeat, wanted and spare
	// ones together. 16 of them would take 19 KB/s with 20 VMs in a domain, headers
	// included.
	maxReportedQuotas = 8
	// minPullInterval is the minimum time from the end of a plan pull to the
	// next one.
	minPullInterval = time.Second
)

// Self identifies this entry VM and its process.
type Self struct {
	// Address is the peer address.
	Address string
	// Domain is the failure domain.
	Domain string
	// Size is the weight of this VM in the division of the upstreams.
	Size float64
	// Incarnation distinguishes the process from earlier ones at the same address.
	Incarnation uint64
	// Started is the start time of the process.
	Started time.Time
}

// View is an entry VM's view of the membership: the other entry VMs, the
// upstreams and their owners. It is not safe for concurrent use.
type View struct {
	self        Self
	status      Status
	leaving     bool
	released    bool
	sequence    uint64
	listVersion int64
	members     map[string]*member
	// membersByAddress caches the members sorted by address; nil after a change
	// of the set.
	membersByAddress []*member
	// domainPeriod is the heartbeat period within the domain.
	domainPeriod time.Duration
	// linkPeers holds the addresses in other domains to which this VM starts
	// exchanges, chosen at linksChosenAt. A zero time forces a new choice.
	linkPeers     map[string]bool
	linksChosenAt time.Time
	workers       map[string]*worker
	// unlistedDrains maps upstreams that are not listed but sent a drain signal
	// to the time until which the signal is kept.
	unlistedDrains map[string]time.Time
	redirects      map[uint64]peer.Redirect
	// lastCallAt is the time of the last Handle or HandleHeartbeat.
	lastCallAt       time.Time
	lastEarlyRoundAt time.Time
	// earlyRoundDue requests heartbeats to the domain ahead of their period, so
	// that a change spreads sooner.
	earlyRoundDue bool
	// ownershipStartsAt is the time before which this VM owns nothing, so that
	// its peers learn of it first.
	ownershipStartsAt time.Time
	pullInFlight      bool
	nextPullAt        time.Time
	owned             map[string]bool
	// slotsByOwner holds the number of slots of each owner of the domain.
	slotsByOwner []OwnerSlots
	// memberLostAt is the time of the last MemberLost.
	memberLostAt time.Time
	// ownershipAnnounced is set once UpstreamsChanged was returned after
	// ownershipStartsAt.
	ownershipAnnounced bool
	// ownershipDirty is set if the owners must be computed again.
	ownershipDirty bool
	// selfState is this VM's own state on the VM list.
	selfState platform.VMState
}

// member is the state of another entry VM, of any domain.
type member struct {
	address string
	domain  string
	size    float64
	// listed and listState are the VM's presence and state on the VM list.
	listed    bool
	listState platform.VMState
	// leaving stays set until a new incarnation starts or the VM disappears from
	// the list.
	leaving bool
	// knownSince is when this VM first learned of the other, or when the other
	// last appeared on the list.
	knownSince time.Time
	// lastHeartbeatAt is zero if no heartbeat was received.
	lastHeartbeatAt time.Time
	lastHeartbeat   peer.HeartbeatMessage
	live            bool
	// undelivered counts the undelivered exchanges since the last heartbeat.
	undelivered int
	// nextExchangeAt is when the next exchange is due; inFlight is set while one
	// runs, which was sent at sentAt.
	nextExchangeAt time.Time
	inFlight       bool
	sentAt         time.Time
	// avoidUntil excludes a VM of another domain as a link peer until this time.
	avoidUntil time.Time
}

// worker is the state of an upstream of any domain, which the VM list gives the
// role of a worker.
type worker struct {
	vm platform.VM
	// firstListVersion is the list version in which the upstream appeared.
	firstListVersion int64
	// leaving stays set until the upstream disappears from the list.
	leaving bool
	// drainSignalled is set if the upstream sent its drain signal to this VM.
	drainSignalled bool
	// signalListVersion is the list version known when the signal arrived.
	signalListVersion int64
}

// New returns a View that knows only this VM. The VM owns no upstreams for the
// first heartbeat period.
func New(now time.Time, self Self) *View {
	return &View{
		self:              self,
		members:           make(map[string]*member),
		workers:           make(map[string]*worker),
		unlistedDrains:    make(map[string]time.Time),
		redirects:         make(map[uint64]peer.Redirect),
		owned:             make(map[string]bool),
		lastCallAt:        now,
		domainPeriod:      minHeartbeatPeriod,
		ownershipStartsAt: now.Add(minHeartbeatPeriod),
	}
}

// Handle applies one event and returns the decisions to carry out.
func (view *View) Handle(now time.Time, event Event) []Decision {
	decisions := view.detectPause(now)
	switch event := event.(type) {
	case ListReceived:
		decisions = append(decisions, view.applyList(now, event.List)...)
	case HeartbeatReceived:
		if member, exists := view.members[event.Message.Address]; exists {
			member.inFlight = false
		}
		view.recordHeartbeat(now, event.Message)
	case HeartbeatFailed:
		view.recordFailure(now, event)
	case UpstreamDraining:
		view.recordDrainSignal(now, event.Upstream)
	case StatusChanged:
		view.status = event.Status
	case RedirectsReceived:
		view.addRedirects(now, event.Redirects)
	case PlanPullEnded:
		view.pullInFlight = false
		view.nextPullAt = now.Add(minPullInterval)
	case LeavingStarted:
		view.leaving = true
		view.earlyRoundDue = true
	case SlotsReleased:
		view.released = true
		view.ownershipDirty = true
		view.earlyRoundDue = true
	case Tick:
	}
	return append(decisions, view.update(now)...)
}

// HandleHeartbeat applies a heartbeat request of a peer. It returns this VM's
// own heartbeat as the response, and the decisions to carry out.
func (view *View) HandleHeartbeat(now time.Time, message peer.HeartbeatMessage) (peer.HeartbeatMessage, []Decision) {
	decisions := view.detectPause(now)
	view.recordHeartbeat(now, message)
	decisions = append(decisions, view.update(now)...)
	return view.heartbeatTo(now, view.members[message.Address]), decisions
}

// detectPause detects that this process did not run for expiryPausePeriods. All
// live members then stay live for another failure timeout, because it was this
// VM that received nothing, and this VM owns nothing for one heartbeat period, in
// which its peers receive its heartbeats again.
func (view *View) detectPause(now time.Time) []Decision {
	// The monotonic clock may stop while the whole VM is paused, so the wall
	// clock counts too.
	paused := max(now.Sub(view.lastCallAt), now.Round(0).Sub(view.lastCallAt.Round(0)))
	view.lastCallAt = now
	if paused <= expiryPausePeriods*view.heartbeatPeriod() {
		return nil
	}
	for _, member := range view.members {
		if member.live {
			member.lastHeartbeatAt = now
		}
		member.inFlight = false
		member.nextExchangeAt = now
	}
	view.ownershipStartsAt = now.Add(view.heartbeatPeriod())
	view.ownershipDirty = true
	return []Decision{MembershipExpired{Paused: paused}}
}

// update recomputes the liveness, the ownership and the due exchanges, and
// returns the decisions that follow.
func (view *View) update(now time.Time) []Decision {
	view.removeExpired(now)
	decisions := view.updateLiveness(now)
	decisions = append(decisions, view.updateOwnership(now)...)
	decisions = append(decisions, view.pullPlan(now)...)
	return append(decisions, view.dueHeartbeats(now)...)
}

// removeExpired removes redirects and drain signals past their retention, and
// members that are neither listed nor live.
func (view *View) removeExpired(now time.Time) {
	for incarnation, redirect := range view.redirects {
		if now.Unix() >= redirect.ExpiryUnix {
			delete(view.redirects, incarnation)
		}
	}
	for upstream, until := range view.unlistedDrains {
		if !now.Before(until) {
			delete(view.unlistedDrains, upstream)
		}
	}
	for address, member := range view.members {
		if !member.listed && !member.live && now.Sub(member.lastHeartbeatAt) > view.failureTimeout() {
			delete(view.members, address)
			view.invalidateMemberOrder()
		}
	}
}

func (view *View) updatePeriod() {
	view.domainPeriod = max(minHeartbeatPeriod, time.Duration(view.countDomainPeers())*heartbeatPeriodPerPeer)
}

func (view *View) invalidateMemberOrder() {
	view.membersByAddress = nil
	view.linksChosenAt = time.Time{}
}

// MemberState is the state of another entry VM in the state dump.
type MemberState struct {
	Address     string `json:"address"`
	Domain      string `json:"failure-domain"`
	Incarnation uint64 `json:"incarnation"`
	Live        bool   `json:"live"`
	Leaving     bool   `json:"leaving"`
	// Listed is true if the VM is on the platform's VM list.
	Listed bool `json:"listed"`
	// LastHeartbeatAgoMs is the age of the last heartbeat in ms, or -1 without one.
	LastHeartbeatAgoMs int64 `json:"heard-ago-ms"`
	PlanVersion        int64 `json:"plan-version"`
	// Agrees is true if the VM reports the same list and owners as this VM.
	Agrees bool      `json:"agrees"`
	Load   peer.Load `json:"load"`
}
