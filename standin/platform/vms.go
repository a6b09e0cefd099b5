package platform

import (
	"context"
	"slices"
	"time"

	wire "tanagerfall/shared/connection/platform"
)

// vmList is the list of VMs, guarded by the platform's mutex.
type vmList struct {
	// actual holds the VMs as they are, visible as the list shows them.
	actual  []wire.Vm
	visible []wire.Vm
	version int64
	// sequence numbers the changes of actual; shown is the newest that is
	// visible, so that changes become visible in their order.
	sequence        int64
	visibleSequence int64
	// changed is closed and replaced with every version.
	changed chan struct{}
}

// SetVms replaces all VMs. The list shows it after the lag.
func (platform *Platform) SetVms(vms []wire.Vm) {
	platform.changeVms(func([]wire.Vm) []wire.Vm {
		return slices.Clone(vms)
	})
}

// SetVm adds a VM or replaces the one with its address.
func (platform *Platform) SetVm(vm wire.Vm) {
	platform.changeVms(func(vms []wire.Vm) []wire.Vm {
		i := indexOfAddress(vms, vm.Address)
		if i < 0 {
			return append(vms, vm)
		}
		vms[i] = vm
		return vms
	})
}

// SetState changes the state of the VM with that address, if there is one.
func (platform *Platform) SetState(address string, state wire.VmState) {
	platform.changeVms(func(vms []wire.Vm) []wire.Vm {
		if i := indexOfAddress(vms, address); i >= 0 {
			vms[i].State = state
		}
		return vms
	})
}

// RemoveVm removes the VM with that address, if there is one.
func (platform *Platform) RemoveVm(address string) {
	platform.changeVms(func(vms []wire.Vm) []wire.Vm {
		return slices.DeleteFunc(vms, func(vm wire.Vm) bool {
			return vm.Address == address
		})
	})
}

func indexOfAddress(vms []wire.Vm, address string) int {
	return slices.IndexFunc(vms, func(vm wire.Vm) bool {
		return vm.Address == address
	})
}

// changeVms applies edit to a copy of the actual VMs and shows the result after
// the lag.
func (platform *Platform) changeVms(update func([]wire.Vm) []wire.Vm) {
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

// makeVisible makes a change visible unless a newer one is or the list is frozen.
func (platform *Platform) makeVisible(sequence int64, vms []wire.Vm) {
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

// makeActualVisible shows the VMs as they are, after a freeze of the list.
func (platform *Platform) makeActualVisible() {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.makeVisible(platform.vms.sequence, platform.vms.actual)
}

// Vms returns the list. If its version is after, Vms waits for the next one,
// at most for wait or until ctx ends.
func (platform *Platform) Vms(ctx context.Context, after int64, wait time.Duration) wire.VmsResponse {
	timer := time.NewTimer(min(wait, MaxWait))
	defer timer.Stop()
	for {
		platform.middleware.Gate.Wait()
		response, changed := platform.currentVms()
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

func (platform *Platform) currentVms() (wire.VmsResponse, <-chan struct{}) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	response := wire.VmsResponse{
		Version: platform.vms.version,
		Vms:     platform.vms.visible,
	}
	if response.Vms == nil {
		response.Vms = []wire.Vm{}
	}
	return response, platform.vms.changed
}
