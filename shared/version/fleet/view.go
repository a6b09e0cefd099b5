package fleet

import (
	"time"

	"tanagerfall/shared/connection/peer"
	"tanagerfall/shared/connection/platform"
)

const (
	// TickInterval is the longest time between two Ticks.
	TickInterval = 250 * time.Millisecond
	// minHeartbeatPeriod is the shortest time between two exchanges of a pair of VMs of
	// one domain. With two peers in the domain and at most two links to other
	// domains it gives at most 9 messages/s, sent and received together.
	minHeartbeatPeriod = 700 * time.Millisecond
	// heartbeatPeriodPerPeer lengthens the period in large domains, so that a VM's
	// message rate is bounded. 20 VMs in a domain give a period of 950 ms.
	heartbeatPeriodPerPeer = 50 * time.Millisecond
	// linkPeriod is the time between two exchanges of VMs of two domains.
	linkPeriod = 1250 * time.Millisecond
	// linksPerPair is the number of links between each two domains.
	linksPerPair = 2
	// failureTimeoutPeriods is the number of periods without a heartbeat after which a
	// VM is regarded as dead: 2.1 s in a domain of three.
	failureTimeoutPeriods = 3
	// expiryPausePeriods is the pause after which this VM assumes that its peers
	// regard it as dead. Its last heartbeat may be one period older than the
	// pause, so it is one less than failPeriods.
	expiryPausePeriods = failureTimeoutPeriods - 1
	// undeliveredUntilDead is the number of undelivered exchanges in a row after
	// which a VM that was silent for one period counts as dead, without
	// waiting for failPeriods. A killed process refuses connections at once.
	undeliveredUntilDead = 2
	undeliveredRetryDelay      = 200 * time.Millisecond
	// minEarlyInterval is the shortest time between two early rounds of heartbeats.
	minEarlyInterval = 500 * time.Millisecond
	// linkAvoidance is the time for which a failed contact of another domain is
	// replaced by the next in rank.
	linkAvoidance = 30 * time.Second
	// unlistedDrainRetention is how long a drain signal of an upstream that is not
	// in the list is kept: the list may lag behind the upstream's start.
	unlistedDrainRetention = 10 * time.Minute
	maxReportedDrains    = 64
	maxReportedRedirects = 64
	// maxReportedQuotas bounds the quota counts in a heartbeat, wants and spares
	// together. 16 of them would take 19 KB/s at 20 VMs in a domain, headers
	// included.
	maxReportedQuotas = 8
	minPullInterval     = time.Second
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
	// membersByAddress has the members by address; nil after a change of members.
	membersByAddress []*member
	// domainPeriod is the period of the exchanges within the domain.
	domainPeriod time.Duration
	// linkPeers are the contacts as of linksAt; the zero time has them chosen
	// anew.
	linkPeers   map[string]bool
	linksChosenAt time.Time
	workers map[string]*worker
	// unlistedDrains holds the drain signals of upstreams that are not listed.
	unlistedDrains map[string]time.Time
	redirects   map[uint64]peer.Redirect
	// lastCallAt is the time of the last call, earlyAt that of the last early
	// round.
	lastCallAt time.Time
	lastEarlyRoundAt   time.Time
	earlyRoundDue  bool
	// ownershipStartsAt is the time before which this VM owns nothing: its peers are
	// to know of it first.
	ownershipStartsAt time.Time
	pullInFlight  bool
	nextPullAt   time.Time
	owned    map[string]bool
	// slotsByOwner counts the slots that each owner of the domain owns.
	slotsByOwner []OwnerSlots
	// memberLostAt is when a VM of the domain was last lost.
	memberLostAt    time.Time
	ownershipAnnounced bool
	ownershipDirty     bool
	selfState   platform.VmState
}

// member is another entry VM.
type member struct {
	address string
	domain  string
	size    float64
	// listed and row are what the list says.
	listed bool
	listState    platform.VmState
	// leaving is sticky: a new incarnation or the end of the row ends it.
	leaving bool
	// knownSince is when the VM became known, heardAt the last heartbeat.
	knownSince   time.Time
	lastHeartbeatAt  time.Time
	lastHeartbeat     peer.HeartbeatMessage
	live     bool
	undelivered int
	// nextExchangeAt is when the next exchange is due; inFlight is set while one runs.
	nextExchangeAt     time.Time
	inFlight   bool
	sentAt     time.Time
	avoidUntil time.Time
}

// worker is an upstream of any domain.
type worker struct {
	row platform.Vm
	// firstListVersion is the list version in which the row appeared.
	firstListVersion int64
	// leaving is sticky: only the end of the row ends it.
	leaving bool
	// drainSignalled is set if this VM got the upstream's own drain signal.
	drainSignalled bool
	// signalListVersion is the list version known when the signal came.
	signalListVersion int64
}

// New returns a View that knows only this VM.
func New(now time.Time, self Self) *View {
	return &View{
		self:        self,
		members:     make(map[string]*member),
		workers:     make(map[string]*worker),
		unlistedDrains: make(map[string]time.Time),
		redirects:   make(map[uint64]peer.Redirect),
		owned:       make(map[string]bool),
		lastCallAt:   now,
		domainPeriod:    minHeartbeatPeriod,
		ownershipStartsAt:    now.Add(minHeartbeatPeriod),
	}
}

// Handle takes one event and returns what is to be done.
func (view *View) Handle(now time.Time, event Event) []Decision {
	decisions := view.detectPause(now)
	switch event := event.(type) {
	case ListReceived:
		decisions = append(decisions, view.applyList(now, event.List)...)
	case HeartbeatReceived:
		if held, known := view.members[event.Message.Address]; known {
			held.inFlight = false
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

// HandleHeartbeat takes a peer's heartbeat and returns this VM's own as the response.
func (view *View) HandleHeartbeat(now time.Time, message peer.HeartbeatMessage) (peer.HeartbeatMessage, []Decision) {
	decisions := view.detectPause(now)
	view.recordHeartbeat(now, message)
	decisions = append(decisions, view.update(now)...)
	return view.heartbeatTo(now, view.members[message.Address]), decisions
}

// detectPause finds out that this process did not run for long. All members
// then count as live for another failPeriods, because it is this VM that did
// not listen, and this VM owns nothing until its peers know of it again.
func (view *View) detectPause(now time.Time) []Decision {
	// The monotonic clock may stand still while the whole VM is paused.
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

// update brings everything that follows from the state up to date.
func (view *View) update(now time.Time) []Decision {
	view.removeExpired(now)
	decisions := view.updateLiveness(now)
	decisions = append(decisions, view.updateOwnership(now)...)
	decisions = append(decisions, view.pullPlan(now)...)
	return append(decisions, view.dueHeartbeats(now)...)
}

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
