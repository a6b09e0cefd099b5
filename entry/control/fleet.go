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

// FleetDump is the fleet's part of the state dump.
type FleetDump struct {
	Members            []fleet.MemberState `json:"members"`
	PeersWithOlderPlan []string            `json:"peers-behind-on-the-plan"`
}

func (loop *Loop) reportStatus(now time.Time) {
	version, digest, _ := loop.config.Plans.follower.Current()
	loop.handleFleetEvent(now, fleet.StatusChanged{
		Status: fleet.Status{
			PlanVersion: version,
			PlanDigest:  uint64(digest),
			Load:        loop.currentLoad(),
			Wants:       loop.lending.wantedQuotas,
			Spares:      loop.lending.spareQuotas,
		},
	})
}

func (loop *Loop) currentLoad() peer.Load {
	stats := loop.config.Scheduler.Stats()
	return peer.Load{
		Slots:   stats.Slots + loop.lending.lender.TotalLent(),
		Used:    stats.Slots - stats.IdleSlots,
		Lent:    loop.lending.lender.TotalLent(),
		Waiting: stats.WaitingTasks,
	}
}

// appendDueSnapshot appends the plan to the log again where it is this VM's turn,
// so that the plan outlives the retention of its publication.
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

// handleFleetEvent tells the View of an event and carries out what follows.
func (loop *Loop) handleFleetEvent(now time.Time, event fleet.Event) {
	loop.executeFleetDecisions(now, loop.config.View.Handle(now, event))
}

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

// domainHasOwner reports whether a live VM of the failure domain owns slots, so that
// this VM has its own or can borrow some.
func (loop *Loop) domainHasOwner() bool {
	for _, share := range loop.config.View.SlotsByOwner() {
		if share.Slots > 0 {
			return true
		}
	}
	return false
}

// ownerAddress returns the peer address of the VM that may hold a foreign ID, or ""
// where its incarnation is gone.
func (loop *Loop) ownerAddress(id submission.ID) string {
	if redirect, known := loop.config.View.ResolveRedirects(id.Key.Incarnation); known {
		return redirect.Address
	}
	if id.Address == loop.config.Identity.Address {
		return ""
	}
	return id.Address
}

func (loop *Loop) handleHeartbeat(now time.Time, message peer.HeartbeatMessage) peer.HeartbeatMessage {
	response, decisions := loop.config.View.HandleHeartbeat(now, message)
	loop.executeFleetDecisions(now, decisions)
	return response
}

// planSnapshotAbove returns the plan snapshot if it says more than the peer knows, or
// nil.
func (loop *Loop) planSnapshotAbove(after int64) *plan.Snapshot {
	follower := loop.config.Plans.follower
	version, _, _ := follower.Current()
	if version <= after {
		return nil
	}
	snapshot, known := follower.Snapshot(loop.config.Identity.Address)
	if !known {
		return nil
	}
	return snapshot
}

// handlePlanPullEnded takes in what a peer answered to a PullPlan; nil means that it gave
// no plan.
func (loop *Loop) handlePlanPullEnded(now time.Time, snapshot *plan.Snapshot) {
	if snapshot != nil {
		loop.config.Plans.AdoptPeerSnapshot(now, snapshot)
		loop.applyPlanInForce(now)
	}
	loop.handleFleetEvent(now, fleet.PlanPullEnded{})
}

func (loop *Loop) handleVMList(now time.Time, response platform.VmsResponse) {
	loop.handleFleetEvent(now, fleet.ListReceived{
		List: response,
	})
}
