package control

import (
	"time"

	"tanagerfall/shared/connection/peer"
	"tanagerfall/shared/connection/platform"
	"tanagerfall/shared/process/logevent"
	"tanagerfall/shared/request/submission"
	"tanagerfall/shared/version/fleet"
	"tanagerfall/shared/version/plan"
)

// FleetDump is the part of the state dump about the fleet.
type FleetDump struct {
	// Members holds all known entry VMs.
	Members []fleet.MemberState `json:"members"`
	// PeersWithOlderPlan holds the peer addresses of the VMs whose plan is older
	// than this VM's.
	PeersWithOlderPlan []string `json:"peers-behind-on-the-plan"`
}

// reportStatus passes the current plan version, load and quota counts of this VM
// to the view of the fleet, which sends them in heartbeats.
func (loop *Loop) reportStatus(now time.Time) {
	version, digest, _ := loop.config.Plans.follower.Current()
	loop.handleFleetEvent(now, fleet.StatusChanged{
		Status: fleet.Status{
			PlanVersion:  version,
			PlanDigest:   uint64(digest),
			Load:         loop.currentLoad(),
			WantedQuotas: loop.lending.wantedQuotas,
			SpareQuotas:  loop.lending.spareQuotas,
		},
	})
}

// currentLoad returns the load of this VM. Slots includes the slots lent to peers.
func (loop *Loop) currentLoad() peer.Load {
	stats := loop.config.Scheduler.Stats()
	return peer.Load{
		Slots:   stats.Slots + loop.lending.lender.TotalLent(),
		Used:    stats.Slots - stats.IdleSlots,
		Lent:    loop.lending.lender.TotalLent(),
		Waiting: stats.WaitingTasks,
	}
}

// appendDueSnapshot appends a snapshot of the plan to the plan stream if it is this
// VM's turn, so that the plan outlives the retention of its publication.
func (loop *Loop) appendDueSnapshot(now time.Time) {
	live := []string{loop.config.Identity.Address}
	for _, member := range loop.config.View.Members(now) {
		if member.Live {
			live = append(live, member.Address)
		}
	}
	if snapshot, due := loop.config.Plans.DueSnapshot(now, live); due {
		loop.config.AppendSnapshot(snapshot)
	}
}

// handleFleetEvent passes an event to the view of the fleet and executes the
// resulting decisions.
func (loop *Loop) handleFleetEvent(now time.Time, event fleet.Event) {
	loop.executeFleetDecisions(now, loop.config.View.Handle(now, event))
}

// executeFleetDecisions executes decisions of the view of the fleet. The
// PeerSender executes those that send a message.
func (loop *Loop) executeFleetDecisions(now time.Time, decisions []fleet.Decision) {
	for _, decision := range decisions {
		switch decision := decision.(type) {
		case fleet.SendHeartbeat, fleet.PullPlan:
			loop.peerSender.Send(decision)
		case fleet.UpstreamsChanged:
			loop.applyUpstreams(now, decision)
		case fleet.MembershipExpired:
			loop.config.Logger.Log(logevent.ProcessPaused, "paused-ms", decision.Paused.Milliseconds())
		case fleet.MemberJoined:
			loop.config.Logger.Log(logevent.MemberJoined, "peer", decision.Address, "incarnation", decision.Incarnation)
		case fleet.MemberLost:
			loop.config.Logger.Log(logevent.MemberLost, "peer", decision.Address, "incarnation", decision.Incarnation)
		case fleet.StopRequested:
			loop.config.Stop()
		}
	}
}

// applyUpstreams applies a change of the upstreams or of their owners to the
// loans and the dispatch core.
func (loop *Loop) applyUpstreams(now time.Time, changed fleet.UpstreamsChanged) {
	loop.config.Logger.Log(logevent.FleetChanged, "owned", len(changed.Owned), "gained", len(changed.Gained),
		"leaving", len(changed.Leaving))
	loop.recallRemovedUpstreams(changed.Owned)
	loop.lending.owned = changed.Owned
	loop.lending.leaving = changed.Leaving
	loop.lending.domainUpstreams = changed.Domain
	loop.updateDispatchUpstreams(now)
	loop.domainHasSlots.Store(loop.domainHasOwner())
}

// domainHasOwner reports whether a live VM of the failure domain owns slots. This
// VM then has slots of its own or can borrow some.
func (loop *Loop) domainHasOwner() bool {
	for _, owner := range loop.config.View.SlotsByOwner() {
		if owner.Slots > 0 {
			return true
		}
	}
	return false
}

// ownerAddress returns the peer address of the VM that may hold an ID that is
// owned elsewhere, or "" if an earlier process of this VM issued it and no successor
// is known.
func (loop *Loop) ownerAddress(id submission.ID) string {
	if redirect, ok := loop.config.View.ResolveRedirects(id.Key.Incarnation); ok {
		return redirect.Address
	}
	if id.Address == loop.config.Identity.Address {
		return ""
	}
	return id.Address
}

// handleHeartbeat processes a peer's heartbeat and returns this VM's.
func (loop *Loop) handleHeartbeat(now time.Time, message peer.HeartbeatMessage) peer.HeartbeatMessage {
	response, decisions := loop.config.View.HandleHeartbeat(now, message)
	loop.executeFleetDecisions(now, decisions)
	return response
}

// planSnapshotAbove returns a snapshot of the plan if its version is above
// aboveVersion, otherwise nil.
func (loop *Loop) planSnapshotAbove(aboveVersion int64) *plan.Snapshot {
	follower := loop.config.Plans.follower
	version, _, _ := follower.Current()
	if version <= aboveVersion {
		return nil
	}
	snapshot, ok := follower.Snapshot(loop.config.Identity.Address)
	if !ok {
		return nil
	}
	return snapshot
}

// handlePlanPullEnded adopts the snapshot that a peer sent in response to a
// PullPlan. The snapshot is nil if the peer sent none.
func (loop *Loop) handlePlanPullEnded(now time.Time, snapshot *plan.Snapshot) {
	if snapshot != nil {
		loop.config.Plans.AdoptPeerSnapshot(now, snapshot)
		loop.applyPlanInForce(now)
	}
	loop.handleFleetEvent(now, fleet.PlanPullEnded{})
}

// handleVMList passes the platform's list of VMs to the view of the fleet.
func (loop *Loop) handleVMList(now time.Time, response platform.VMsResponse) {
	loop.handleFleetEvent(now, fleet.ListReceived{
		List: response,
	})
}
