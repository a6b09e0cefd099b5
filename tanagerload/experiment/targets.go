package experiment

import (
	wire "tanagerfall/shared/connection/platform"
	"tanagerfall/standin/fleet"
)

// Workers returns the addresses of the workers that the fault applies to. It is
// empty for TargetPlatform and TargetNote.
func (fault *Fault) Workers(config *fleet.Config) []string {
	var addresses []string
	for _, vm := range config.VMs() {
		if vm.Role == wire.RoleWorker && fault.matches(vm) {
			addresses = append(addresses, vm.Address)
		}
	}
	if fault.Target == TargetWorkers && len(addresses) > fault.Count {
		addresses = addresses[:fault.Count]
	}
	return addresses
}

// matches reports whether a worker meets the fault's target, regardless of
// Count.
func (fault *Fault) matches(vm wire.VM) bool {
	switch fault.Target {
	case TargetWorker:
		return vm.Address == fault.Address
	case TargetWorkers:
		return fault.Domain == "" || vm.Domain == fault.Domain
	case TargetRack:
		return vm.Rack == fault.Rack
	case TargetPlatform, TargetNote:
	}
	return false
}
