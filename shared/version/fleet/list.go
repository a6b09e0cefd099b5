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
