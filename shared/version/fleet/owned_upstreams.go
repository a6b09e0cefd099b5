package fleet

import (
	"sort"
	"time"

	"tanagerfall/shared/connection/platform"
	"tanagerfall/shared/request/placement"
)

// ownsUpstreams reports whether this VM takes part in the division of the
// upstreams.
func (view *View) ownsUpstreams(now time.Time) bool {
	return !view.released && !now.Before(view.ownershipStartsAt)
}

// owners returns the entry VMs of the domain among which the upstreams are
// divided.
func (view *View) owners(now time.Time) []Owner {
	var owners []Owner
	if view.ownsUpstreams(now) {
		owners = append(owners, Owner{
			Address: view.self.Address,
			Weight:  view.self.Size,
		})
	}
	for _, member := range view.members {
		if view.isOwner(member) {
			owners = append(owners, Owner{
				Address: member.address,
				Weight:  member.size,
			})
		}
	}
	return owners
}

// updateOwnership divides the upstreams of the domain again if an input changed.
func (view *View) updateOwnership(now time.Time) []Decision {
	if !view.ownershipAnnounced && !now.Before(view.ownershipStartsAt) {
		view.ownershipDirty = true
	}
	if !view.ownershipDirty {
		return nil
	}
	view.ownershipDirty = false
	// After a pause ownershipStartsAt is in the future; the first call after
	// that time announces the ownership again.
	view.ownershipAnnounced = !now.Before(view.ownershipStartsAt)
	owners := view.owners(now)
	change := UpstreamsChanged{}
	ownerOf := AssignOwners(owners, view.openUpstreams())
	owned := make(map[string]bool)
	slots := make(map[string]int)
	for address, worker := range view.workers {
		if worker.vm.Domain != view.self.Domain {
			continue
		}
		if worker.leaving {
			change.Leaving = append(change.Leaving, address)
			continue
		}
		change.Domain = append(change.Domain, placementUpstream(worker.vm))
		owner := ownerOf[address]
		slots[owner] += worker.vm.Slots
		if owner != view.self.Address {
			continue
		}
		owned[address] = true
		change.Owned = append(change.Owned, placementUpstream(worker.vm))
		if !view.owned[address] {
			change.Gained = append(change.Gained, address)
		}
	}
	view.owned = owned
	view.slotsByOwner = view.slotsByOwner[:0:0]
	for _, owner := range owners {
		view.slotsByOwner = append(view.slotsByOwner, OwnerSlots{
			Address: owner.Address,
			Slots:   slots[owner.Address],
		})
	}
	sort.Slice(change.Owned, func(i, j int) bool { return change.Owned[i].ID < change.Owned[j].ID })
	sort.Slice(change.Domain, func(i, j int) bool { return change.Domain[i].ID < change.Domain[j].ID })
	sort.Strings(change.Gained)
	sort.Strings(change.Leaving)
	return []Decision{change}
}

// openUpstreams returns the upstreams of the domain that may get new tasks.
func (view *View) openUpstreams() []UpstreamSlots {
	var open []UpstreamSlots
	for address, worker := range view.workers {
		if worker.vm.Domain == view.self.Domain && !worker.leaving {
			open = append(open, UpstreamSlots{
				Upstream: address,
				Slots:    worker.vm.Slots,
			})
		}
	}
	return open
}

func placementUpstream(vm platform.VM) placement.Upstream {
	return placement.Upstream{
		ID:           vm.Address,
		Domain:       vm.Domain,
		Rack:         vm.Rack,
		Slots:        vm.Slots,
		Cores:        vm.Cores,
		MemoryMb:     vm.MemoryMb,
		Accelerators: vm.Accelerators,
		Speed:        vm.Speed,
	}
}

// SlotsByOwner returns the number of slots that each owner of the failure domain
// owns. The caller must not modify the result.
func (view *View) SlotsByOwner() []OwnerSlots { return view.slotsByOwner }

// FailureTimeout returns the time without a heartbeat after which a VM of the
// failure domain counts as dead.
func (view *View) FailureTimeout() time.Duration { return view.failureTimeout() }
