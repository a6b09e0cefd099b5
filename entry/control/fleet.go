package control

import (
	"time"

	"tanagerfall/shared/connection/platform"
	"tanagerfall/shared/request/dispatch"
	"tanagerfall/shared/request/placement"
	"tanagerfall/shared/request/submission"
)

// Fleet is what this VM knows of the other VMs.
type Fleet struct {
	self    submission.Identity
	version int64
	owned   int
	leaving int
}

// FleetDump is the Fleet's part of the state dump.
type FleetDump struct {
	ListVersion int64 `json:"list-version"`
	Owned       int   `json:"owned-upstreams"`
	Leaving     int   `json:"leaving-upstreams"`
}

// NewFleet returns a Fleet that knows no VM.
func NewFleet(self submission.Identity) *Fleet {
	return &Fleet{
		self: self,
	}
}

// Read takes a VM list in and returns the upstreams that this VM may use. It
// reports false for a list that is not newer than the one known.
func (fleet *Fleet) Read(_ time.Time, response platform.VmsResponse) (bool, dispatch.FleetChanged) {
	if response.Version <= fleet.version {
		return false, dispatch.FleetChanged{}
	}
	fleet.version = response.Version
	var event dispatch.FleetChanged
	for _, vm := range response.Vms {
		if vm.Role != platform.RoleWorker || vm.Domain != fleet.self.Domain {
			continue
		}
		if vm.State == platform.VmLeaving {
			event.Leaving = append(event.Leaving, vm.Address)
			continue
		}
		event.Upstreams = append(event.Upstreams, upstreamOf(vm))
	}
	fleet.owned = len(event.Upstreams)
	fleet.leaving = len(event.Leaving)
	return true, event
}

// Dump returns the Fleet's counts.
func (fleet *Fleet) Dump() FleetDump {
	return FleetDump{
		ListVersion: fleet.version,
		Owned:       fleet.owned,
		Leaving:     fleet.leaving,
	}
}

func upstreamOf(vm platform.Vm) placement.Upstream {
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

// Owner returns the peer address of the VM that may hold a foreign ID, or ""
// where its incarnation is gone.
func (fleet *Fleet) Owner(id submission.ID) string {
	if id.Address == fleet.self.Address {
		return ""
	}
	return id.Address
}
