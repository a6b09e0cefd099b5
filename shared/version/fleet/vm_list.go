package fleet

import (
	"sort"
	"time"

	"tanagerfall/shared/connection/peer"
	"tanagerfall/shared/connection/platform"
)

// applyList applies a VM list that is newer than the last one.
func (view *View) applyList(now time.Time, list platform.VMsResponse) []Decision {
	if list.Version <= view.listVersion {
		return nil
	}
	view.listVersion = list.Version
	view.ownershipDirty = true
	var decisions []Decision
	present := make(map[string]bool, len(list.VMs))
	for _, vm := range list.VMs {
		present[vm.Address] = true
		switch {
		case vm.Role == platform.RoleWorker:
			view.applyWorker(vm)
		case vm.Address == view.self.Address:
			if vm.State == platform.VMLeaving && view.selfState == platform.VMLive {
				decisions = append(decisions, StopRequested{})
			}
			view.selfState = vm.State
		default:
			view.applyEntryVM(now, vm)
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

func (view *View) applyWorker(vm platform.VM) {
	upstream, exists := view.workers[vm.Address]
	if !exists {
		upstream = &worker{
			firstListVersion: view.listVersion,
		}
		if _, drained := view.unlistedDrains[vm.Address]; drained {
			upstream.leaving = true
			delete(view.unlistedDrains, vm.Address)
		}
		view.workers[vm.Address] = upstream
	}
	upstream.vm = vm
	if vm.State == platform.VMLeaving {
		upstream.leaving = true
	}
}

func (view *View) applyEntryVM(now time.Time, vm platform.VM) {
	member := view.ensureMember(now, vm.Address, vm.Domain)
	if !member.listed {
		member.knownSince = now
	}
	member.listed = true
	if member.lastHeartbeatAt.IsZero() {
		member.size = vm.Size
	}
	// Only a change of the listed state counts: a state that remains on the list
	// after the process restarted does not make the new incarnation leave.
	if vm.State == platform.VMLeaving && member.listState != platform.VMLeaving {
		member.leaving = true
	}
	member.listState = vm.State
}

// recordDrainSignal applies a drain signal that an upstream sent to this VM.
func (view *View) recordDrainSignal(now time.Time, upstream string) {
	worker, exists := view.workers[upstream]
	if !exists {
		view.unlistedDrains[upstream] = now.Add(unlistedDrainRetention)
		return
	}
	if worker.drainSignalled {
		return
	}
	worker.drainSignalled = true
	worker.signalListVersion = view.listVersion
	view.earlyRoundDue = true
	if !worker.leaving {
		worker.leaving = true
		view.ownershipDirty = true
	}
}

// recordReportedDrain applies a drain signal reported by a peer. A signal that
// is older than the upstream's list entry belongs to an earlier upstream at the
// same address and is ignored.
func (view *View) recordReportedDrain(now time.Time, drain peer.Drain) {
	worker, exists := view.workers[drain.Upstream]
	if !exists {
		if drain.ListVersion >= view.listVersion {
			view.unlistedDrains[drain.Upstream] = now.Add(unlistedDrainRetention)
		}
		return
	}
	if worker.leaving || drain.ListVersion < worker.firstListVersion {
		return
	}
	worker.leaving = true
	view.ownershipDirty = true
}

// drainsToReport returns the drain signals that upstreams sent to this VM and
// that the VM list does not show yet.
func (view *View) drainsToReport() []peer.Drain {
	var drains []peer.Drain
	for address, worker := range view.workers {
		if worker.drainSignalled && worker.vm.State != platform.VMLeaving {
			drains = append(drains, peer.Drain{
				Upstream:    address,
				ListVersion: worker.signalListVersion,
			})
		}
	}
	sort.Slice(drains, func(i, j int) bool { return drains[i].Upstream < drains[j].Upstream })
	return drains[:min(len(drains), maxReportedDrains)]
}
