package fleet

import (
	"time"

	"tanagerfall/shared/connection/peer"
	"tanagerfall/shared/connection/platform"
	"tanagerfall/shared/request/placement"
)

// Event is something that the View is told.
type Event interface{ event() }

// The events.
type (
	// ListReceived carries the platform's VM list. Lists whose version is not
	// higher than a version already seen are ignored.
	ListReceived struct {
		List platform.VmsResponse
	}
	// HeartbeatReceived carries the response to a SendHeartbeat. Requests of
	// peers go to View.Answer.
	HeartbeatReceived struct {
		Message peer.HeartbeatMessage
	}
	// HeartbeatFailed tells that a SendHeartbeat got no response. Refused is
	// true if the request was certainly not delivered.
	HeartbeatFailed struct {
		Address string
		Undelivered bool
	}
	// UpstreamDraining tells that an upstream gave its own drain signal to
	// this VM.
	UpstreamDraining struct {
		Upstream string
	}
	// StatusChanged replaces what this VM tells its peers of itself.
	StatusChanged struct {
		Status Status
	}
	// RedirectsReceived carries announced redirects, of this VM's own
	// hand-over too.
	RedirectsReceived struct {
		Redirects []peer.Redirect
	}
	// PlanPullEnded tells that a PullPlan got its response or failed.
	PlanPullEnded struct{}
	// LeavingStarted tells that this VM stops as planned. It takes no new
	// jobs, and keeps its slots until SlotsReleased.
	LeavingStarted struct{}
	// SlotsReleased tells that this VM's jobs ended and it needs no slots.
	SlotsReleased struct{}
	// Tick lets the View act on the passage of time. It is due at least every
	// TickInterval.
	Tick struct{}
)

func (ListReceived) event()      {}
func (HeartbeatReceived) event() {}
func (HeartbeatFailed) event()   {}
func (UpstreamDraining) event()  {}
func (StatusChanged) event()     {}
func (RedirectsReceived) event() {}
func (PlanPullEnded) event()     {}
func (LeavingStarted) event()    {}
func (SlotsReleased) event()     {}
func (Tick) event()              {}

// Status is what a VM tells its peers of itself.
type Status struct {
	PlanVersion int64
	PlanDigest  uint64
	Load        peer.Load
	// Wants and Spares have the most urgent first: a heartbeat tells at most
	// eight of them.
	Wants  []peer.QuotaCount
	Spares []peer.QuotaCount
}

// Decision is something the View wants done.
type Decision interface{ decision() }

// The decisions.
type (
	// SendHeartbeat asks for one exchange with a peer, bounded by Timeout.
	// Exactly one of HeartbeatReceived and HeartbeatFailed must follow.
	SendHeartbeat struct {
		Address string
		Message peer.HeartbeatMessage
		Timeout time.Duration
	}
	// UpstreamsChanged carries all upstreams that this VM owns now. Gained
	// lists those that it did not own before: their occupancy is to be asked
	// for before a start. Leaving lists all upstreams of the domain that must
	// get nothing new, whoever owns them.
	UpstreamsChanged struct {
		Owned   []placement.Upstream
		Gained  []string
		Leaving []string
		// Domain lists all upstreams of the domain that may get new tasks.
		Domain []placement.Upstream
	}
	// PullPlan asks a peer for a newer plan. PlanPullEnded must follow.
	PullPlan struct {
		Address string
		Version int64
	}
	// MembershipExpired tells that this process was paused for so long that
	// its peers may regard it as dead. It precedes all other decisions.
	MembershipExpired struct {
		Paused time.Duration
	}
	// MemberJoined and MemberLost tell that an entry VM of the domain is now
	// live or not any more.
	MemberJoined struct {
		Address     string
		Incarnation uint64
	}
	MemberLost struct {
		Address     string
		Incarnation uint64
	}
	// StopRequested tells that the platform's list names this VM as leaving.
	StopRequested struct{}
)

func (SendHeartbeat) decision()    {}
func (UpstreamsChanged) decision() {}
func (PullPlan) decision()         {}
func (MembershipExpired) decision() {}
func (MemberJoined) decision()     {}
func (MemberLost) decision()       {}
func (StopRequested) decision()    {}
