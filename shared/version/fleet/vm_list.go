package fleet

import (
	"sort"
	"time"

	"tanagerfall/shared/connection/peer"
	"tanagerfall/shared/connection/platform"
)

func (view *View) applyList(now time.Time, list platform.VmsResponse) []Decision {
	if list.Version <= view.listVersion {
		return nil
	}
	view.listVersion = list.Version
	view.ownershipDirty = true
	var decisions []Decision
	present := make(map[string]bool, len(list.Vms))
	for _, row := range list.Vms {
		present[row.Address] = true
		switch {
		case row.Role == platform.RoleWorker:
			view.applyWorker(row)
		case row.Address == view.self.Address:
			if row.State == platform.VmLeaving && view.selfState == platform.VmLive {
				decisions = append(decisions, StopRequested{})
			}
			view.selfState = row.State
		default:
			view.applyEntryVM(now, row)
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
			member.leaving = member.lastHeartbeat.Leaving
			member.listState = ""
		}
	}
	return decisions
}

func (view *View) applyWorker(row platform.Vm) {
	held, known := view.workers[row.Address]
	if !known {
		held = &worker{
			firstListVersion: view.listVersion,
		}
		if _, stray := view.unlistedDrains[row.Address]; stray {
			held.leaving = true
			delete(view.unlistedDrains, row.Address)
		}
		view.workers[row.Address] = held
	}
	held.row = row
	if row.State == platform.VmLeaving {
		held.leaving = true
	}
}

func (view *View) applyEntryVM(now time.Time, row platform.Vm) {
	member := view.ensureMember(now, row.Address, row.Domain)
	if !member.listed {
		member.knownSince = now
	}
	member.listed = true
	if member.lastHeartbeatAt.IsZero() {
		member.size = row.Size
	}
	// Only a change of the row counts: a row that stays after a restart of
	// the process does not make the new incarnation leave.
	if row.State == platform.VmLeaving && member.listState != platform.VmLeaving {
		member.leaving = true
	}
	member.listState = row.State
}

func (view *View) recordDrainSignal(now time.Time, upstream string) {
	held, known := view.workers[upstream]
	if !known {
		view.unlistedDrains[upstream] = now.Add(unlistedDrainRetention)
		return
	}
	if held.drainSignalled {
		return
	}
	held.drainSignalled = true
	held.signalListVersion = view.listVersion
	view.earlyRoundDue = true
	if !held.leaving {
		held.leaving = true
		view.ownershipDirty = true
	}
}

func (view *View) recordReportedDrain(now time.Time, drain peer.Drain) {
	held, known := view.workers[drain.Upstream]
	if !known {
		if drain.ListVersion >= view.listVersion {
			view.unlistedDrains[drain.Upstream] = now.Add(unlistedDrainRetention)
		}
		return
	}
	if held.leaving || drain.ListVersion < held.firstListVersion {
		return
	}
	held.leaving = true
	view.ownershipDirty = true
}

// drainsToReport lists the signals that this VM got itself, until the list
// names the upstream as leaving.
func (view *View) drainsToReport() []peer.Drain {
	var drains []peer.Drain
	for address, worker := range view.workers {
		if worker.drainSignalled && worker.row.State != platform.VmLeaving {
			drains = append(drains, peer.Drain{
				Upstream:    address,
				ListVersion: worker.signalListVersion,
			})
		}
	}
	sort.Slice(drains, func(i, j int) bool { return drains[i].Upstream < drains[j].Upstream })
	return drains[:min(len(drains), maxReportedDrains)]
}
