package fleet

import (
	"time"

	"tanagerfall/shared/connection/peer"
	"tanagerfall/shared/connection/platform"
	"tanagerfall/shared/request/placement"
)

// Event is an input of the View, see View.Handle.
type Event interface{ event() }

// The events that View.Handle accepts.
type (
	// ListReceived carries the platform's VM list. A list whose version is not
	// higher than that of an earlier one is ignored.
	ListReceived struct {
		List platform.VMsResponse
	}
	// HeartbeatReceived carries the response to a SendHeartbeat. Heartbeat
	// requests of peers go to View.HandleHeartbeat.
	HeartbeatReceived struct {
		Message peer.HeartbeatMessage
	}
	// HeartbeatFailed reports that a SendHeartbeat got no response. Undelivered
	// is true if the request certainly did not reach the peer.
	HeartbeatFailed struct {
		Address     string
		Undelivered bool
	}
	// UpstreamDraining reports that an upstream sent its drain signal to this
	// VM: it is leaving and accepts no new tasks. Upstream is its address.
	UpstreamDraining struct {
		Upstream string
	}
	// StatusChanged replaces the status that this VM's heartbeats carry.
	StatusChanged struct {
		Status Status
	}
	// RedirectsReceived carries the redirects announced after a hand-over,
	// including this VM's own hand-over.
	RedirectsReceived struct {
		Redirects []peer.Redirect
	}
	// PlanPullEnded reports that a PullPlan got its response or failed.
	PlanPullEnded struct{}
	// LeavingStarted reports that this VM starts a graceful shutdown. It accepts
	// no new jobs and keeps its slots until SlotsReleased.
	LeavingStarted struct{}
	// SlotsReleased reports that this VM's jobs have ended and that it needs no
	// slots.
	SlotsReleased struct{}
	// Tick makes the View act on the passage of time. It must be sent at least
	// every TickInterval.
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

// Status is the plan version, load and quota demand that a VM reports in its
// heartbeats.
type Status struct {
	PlanVersion int64
	PlanDigest  uint64
	Load        peer.Load
	// WantedQuotas holds the quotas that this VM is short of, and SpareQuotas the
	// unused shares that it could lend, both most urgent first. A heartbeat
	// carries at most eight entries of both together, the wanted ones first.
	WantedQuotas []peer.QuotaCount
	SpareQuotas  []peer.QuotaCount
}

// Decision is an action that the caller of the View must carry out.
type Decision interface{ decision() }

// The decisions that the View returns.
type (
	// SendHeartbeat requests one heartbeat exchange with a peer within Timeout.
	// Exactly one HeartbeatReceived or HeartbeatFailed must follow.
	SendHeartbeat struct {
		Address string
		Message peer.HeartbeatMessage
		Timeout time.Duration
	}
	// UpstreamsChanged carries the upstreams of the failure domain after a change
	// of their set or their owners.
	UpstreamsChanged struct {
		// Owned lists all upstreams that this VM now owns.
		Owned []placement.Upstream
		// Gained lists the addresses of those that it did not own before. Their
		// occupancy must be queried before a task starts there.
		Gained []string
		// Leaving lists the addresses of all upstreams of the domain that must
		// get no new tasks, whoever owns them.
		Leaving []string
		// Domain lists all upstreams of the domain that may get new tasks.
		Domain []placement.Upstream
	}
	// PullPlan requests a newer plan from a peer, whose last heartbeat reported
	// Version. PlanPullEnded must follow.
	PullPlan struct {
		Address string
		Version int64
	}
	// MembershipExpired reports that this process was paused for so long that
	// its peers may count it as dead. It precedes the other decisions of the call.
	MembershipExpired struct {
		Paused time.Duration
	}
	// MemberJoined reports that an entry VM of the failure domain is now live.
	// Incarnation is 0 if it has not sent a heartbeat yet.
	MemberJoined struct {
		Address     string
		Incarnation uint64
	}
	// MemberLost reports that an entry VM of the failure domain is no longer
	// live.
	MemberLost struct {
		Address     string
		Incarnation uint64
	}
	// StopRequested reports that the platform's list now marks this VM as
	// leaving.
	StopRequested struct{}
)

func (SendHeartbeat) decision()     {}
func (UpstreamsChanged) decision()  {}
func (PullPlan) decision()          {}
func (MembershipExpired) decision() {}
func (MemberJoined) decision()      {}
func (MemberLost) decision()        {}
func (StopRequested) decision()     {}
