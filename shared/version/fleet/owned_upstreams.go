package fleet

import (
	"sort"
	"time"

	"tanagerfall/shared/connection/platform"
	"tanagerfall/shared/request/placement"
)

func (view *View) ownsUpstreams(now time.Time) bool {
	return !view.released && !now.Before(view.ownershipStartsAt)
}

// owners returns the VMs of the domain that own upstreams.
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

func (view *View) updateOwnership(now time.Time) []Decision {
	if !view.ownershipAnnounced && !now.Before(view.ownershipStartsAt) {
		view.ownershipDirty = true
	}
	if !view.ownershipDirty {
		return nil
	}
	view.ownershipDirty = false
	// A pause sets ownsFrom into the future; the next call after it announces
	// the ownership again.
	view.ownershipAnnounced = !now.Before(view.ownershipStartsAt)
	owners := view.owners(now)
	changed := UpstreamsChanged{}
	divided := AssignOwners(owners, view.openUpstreams())
	owned := make(map[string]bool)
	slots := make(map[string]int)
	for address, worker := range view.workers {
		if worker.row.Domain != view.self.Domain {
			continue
		}
		if worker.leaving {
			changed.Leaving = append(changed.Leaving, address)
			continue
		}
		changed.Domain = append(changed.Domain, placementUpstream(worker.row))
		owner := divided[address]
		slots[owner] += worker.row.Slots
		if owner != view.self.Address {
			continue
		}
		owned[address] = true
		changed.Owned = append(changed.Owned, placementUpstream(worker.row))
		if !view.owned[address] {
			changed.Gained = append(changed.Gained, address)
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
	sort.Slice(changed.Owned, func(i, j int) bool { return changed.Owned[i].ID < changed.Owned[j].ID })
	sort.Slice(changed.Domain, func(i, j int) bool { return changed.Domain[i].ID < changed.Domain[j].ID })
	sort.Strings(changed.Gained)
	sort.Strings(changed.Leaving)
	return []Decision{changed}
}

// openUpstreams returns the upstreams of the domain that may get new tasks.
func (view *View) openUpstreams() []UpstreamSlots {
	var open []UpstreamSlots
	for address, worker := range view.workers {
		if worker.row.Domain == view.self.Domain && !worker.leaving {
			open = append(open, UpstreamSlots{
				Upstream: address,
				Slots:    worker.row.Slots,
			})
		}
	}
	return open
}

func placementUpstream(row platform.Vm) placement.Upstream {
	return placement.Upstream{
		ID:           row.Address,
		Domain:       row.Domain,
		Rack:         row.Rack,
		Slots:        row.Slots,
		Cores:        row.Cores,
		MemoryMb:     row.MemoryMb,
		Accelerators: row.Accelerators,
		Speed:        row.Speed,
	}
}

// SlotsByOwner returns the number of slots that each owner of the domain owns.
// The caller must not change the result.
func (view *View) SlotsByOwner() []OwnerSlots { return view.slotsByOwner }

// FailureTimeout is the time after which a VM of the domain that is not heard
// counts as dead.
func (view *View) FailureTimeout() time.Duration { return view.failureTimeout() }
