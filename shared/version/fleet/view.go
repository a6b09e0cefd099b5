package fleet

import (
	"time"

	"tanagerfall/shared/connection/peer"
	"tanagerfall/shared/connection/platform"
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

func (view *View) updatePeriod() {
	view.interval = max(minPeriod, time.Duration(view.peersOfDomain())*periodPerPeer)
}

func (view *View) membersChanged() {
	view.order = nil
	view.linksAt = time.Time{}
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
