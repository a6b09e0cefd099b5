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
	Members []fleet.MemberState `json:"members"`
	Behind  []string            `json:"peers-behind-on-the-plan"`
}

func (loop *Loop) fleetTick(now time.Time) {
	version, digest, _ := loop.config.Plans.follower.Current()
	loop.fleet(now, fleet.StatusChanged{
		Status: fleet.Status{
			PlanVersion: version,
			PlanDigest:  uint64(digest),
			Load:        loop.load(),
			Wants:       loop.lending.wants,
			Spares:      loop.lending.spares,
		},
	})
}

func (loop *Loop) load() peer.Load {
	stats := loop.config.Scheduler.Stats()
	return peer.Load{
		Slots:   stats.Slots + loop.lending.lender.TotalLent(),
		Used:    stats.Slots - stats.IdleSlots,
		Lent:    loop.lending.lender.TotalLent(),
		Waiting: stats.WaitingTasks,
	}
}

// writeSnapshot appends the plan to the log again where it is this VM's turn,
// so that the plan outlives the retention of its publication.
func (loop *Loop) writeSnapshot(now time.Time) {
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

// fleet tells the View of an event and carries out what follows.
func (loop *Loop) fleet(now time.Time, event fleet.Event) {
	loop.carryFleet(now, loop.config.View.Handle(now, event))
}

func (loop *Loop) carryFleet(now time.Time, decisions []fleet.Decision) {
	for _, decision := range decisions {
		switch decision := decision.(type) {
		case fleet.SendHeartbeat, fleet.PullPlan:
			loop.courier.Deliver(decision)
		case fleet.UpstreamsChanged:
			loop.changeUpstreams(now, decision)
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

func (loop *Loop) changeUpstreams(now time.Time, changed fleet.UpstreamsChanged) {
	loop.config.Logger.Log(logevent.FleetChanged, "owned", len(changed.Owned), "gained", len(changed.Gained),
		"leaving", len(changed.Leaving))
	loop.recallLost(changed.Owned)
	loop.lending.owned = changed.Owned
	loop.lending.leaving = changed.Leaving
	loop.lending.domain = changed.Domain
	loop.announceUpstreams(now)
	loop.owns.Store(loop.anyOwner())
}

// anyOwner reports whether a live VM of the failure domain owns slots, so that
// this VM has its own or can borrow some.
func (loop *Loop) anyOwner() bool {
	for _, share := range loop.config.View.SlotsByOwner() {
		if share.Slots > 0 {
			return true
		}
	}
	return false
}

// owner returns the peer address of the VM that may hold a foreign ID, or ""
// where its incarnation is gone.
func (loop *Loop) owner(id submission.ID) string {
	if redirect, known := loop.config.View.ResolveRedirects(id.Key.Incarnation); known {
		return redirect.Address
	}
	if id.Address == loop.config.Identity.Address {
		return ""
	}
	return id.Address
}

func (loop *Loop) answerHeartbeat(now time.Time, message peer.HeartbeatMessage) peer.HeartbeatMessage {
	response, decisions := loop.config.View.HandleHeartbeat(now, message)
	loop.carryFleet(now, decisions)
	return response
}

// answerPull returns the plan snapshot if it says more than the peer knows, or
// nil.
func (loop *Loop) answerPull(after int64) *plan.Snapshot {
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

// endPull takes in what a peer answered to a PullPlan; nil means that it gave
// no plan.
func (loop *Loop) endPull(now time.Time, snapshot *plan.Snapshot) {
	if snapshot != nil {
		loop.config.Plans.Adopt(now, snapshot)
		loop.refreshPlan(now)
	}
	loop.fleet(now, fleet.PlanPullEnded{})
}

func (loop *Loop) readVms(now time.Time, response platform.VmsResponse) {
	loop.fleet(now, fleet.ListReceived{
		List: response,
	})
}
