package platform

import (
	"context"
	"slices"
	"time"

	wire "tanagerfall/shared/connection/platform"
)

// vmList holds the VMs and the list that the platform shows of them. The
// platform's mutex guards it.
type vmList struct {
	// actual holds the current VMs, and visible the VMs that the list shows.
	actual  []wire.VM
	visible []wire.VM
	// version numbers the visible lists.
	version int64
	// sequence numbers the changes of actual, and visibleSequence is the
	// newest visible one. They keep an older change from replacing a newer
	// one.
	sequence        int64
	visibleSequence int64
	// changed is closed and replaced whenever version increases.
	changed chan struct{}
}

// SetVMs replaces all VMs. The list shows the change after Config.Lag, as for
// the other changes of VMs.
func (platform *Platform) SetVMs(vms []wire.VM) {
	platform.changeVMs(func([]wire.VM) []wire.VM {
		return slices.Clone(vms)
	})
}

// SetVM adds a VM or replaces the one with the same address.
func (platform *Platform) SetVM(vm wire.VM) {
	platform.changeVMs(func(vms []wire.VM) []wire.VM {
		i := indexOfAddress(vms, vm.Address)
		if i < 0 {
			return append(vms, vm)
		}
		vms[i] = vm
		return vms
	})
}

// SetState changes the state of the VM at address, if there is one.
func (platform *Platform) SetState(address string, state wire.VMState) {
	platform.changeVMs(func(vms []wire.VM) []wire.VM {
		if i := indexOfAddress(vms, address); i >= 0 {
			vms[i].State = state
		}
		return vms
	})
}

// RemoveVM removes the VM at address, if there is one.
func (platform *Platform) RemoveVM(address string) {
	platform.changeVMs(func(vms []wire.VM) []wire.VM {
		return slices.DeleteFunc(vms, func(vm wire.VM) bool {
			return vm.Address == address
		})
	})
}

// indexOfAddress returns the index of the VM at address, or -1.
func indexOfAddress(vms []wire.VM, address string) int {
	return slices.IndexFunc(vms, func(vm wire.VM) bool {
		return vm.Address == address
	})
}

// changeVMs applies update to a copy of the current VMs and makes the result
// visible after the lag.
func (platform *Platform) changeVMs(update func([]wire.VM) []wire.VM) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	list := &platform.vms
	list.actual = update(slices.Clone(list.actual))
	list.sequence++
	sequence, vms := list.sequence, list.actual
	if platform.config.Lag <= 0 {
		platform.makeVisible(sequence, vms)
		return
	}
	time.AfterFunc(platform.config.Lag, func() {
		platform.mutex.Lock()
		defer platform.mutex.Unlock()
		platform.makeVisible(sequence, vms)
	})
}

// makeVisible shows the VMs of a change unless a newer change is visible
// already or the list is frozen. The platform's mutex is held.
func (platform *Platform) makeVisible(sequence int64, vms []wire.VM) {
	list := &platform.vms
	if sequence <= list.visibleSequence || platform.vmsFrozenWindow.Active(time.Now()) {
		return
	}
	list.visibleSequence = sequence
	list.visible = vms
	list.version++
	close(list.changed)
	list.changed = make(chan struct{})
}

// makeActualVisible shows the current VMs after a freeze of the list.
func (platform *Platform) makeActualVisible() {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.makeVisible(platform.vms.sequence, platform.vms.actual)
}

// VMs returns the VM list. If its version equals after, VMs waits for the next
// version, at most for wait and until ctx ends.
func (platform *Platform) VMs(ctx context.Context, after int64, wait time.Duration) wire.VMsResponse {
	timer := time.NewTimer(min(wait, MaxWait))
	defer timer.Stop()
	for {
		platform.middleware.Gate.Wait()
		response, changed := platform.currentVMs()
		if response.Version != after || wait <= 0 {
			return response
		}
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-ctx.Done():
			return response
		}
	}
}

// currentVMs returns the visible list and a channel that is closed when it
// changes.
func (platform *Platform) currentVMs() (wire.VMsResponse, <-chan struct{}) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	response := wire.VMsResponse{
		Version: platform.vms.version,
		VMs:     platform.vms.visible,
	}
	if response.VMs == nil {
		response.VMs = []wire.VM{}
	}
	return response, platform.vms.changed
}
