package experiment

import (
	wire "tanagerfall/shared/connection/platform"
	"tanagerfall/standin/fleet"
)

// Workers returns the addresses of the workers that the fault goes to.
func (planned *Fault) Workers(config *fleet.Config) []string {
	var addresses []string
	for _, vm := range config.Vms() {
		if vm.Role == wire.RoleWorker && planned.matches(vm) {
			addresses = append(addresses, vm.Address)
		}
	}
	if planned.Target == TargetWorkers && len(addresses) > planned.Count {
		addresses = addresses[:planned.Count]
	}
	return addresses
}

func (planned *Fault) matches(vm wire.Vm) bool {
	switch planned.Target {
	case TargetWorker:
		return vm.Address == planned.Address
	case TargetWorkers:
		return planned.Domain == "" || vm.Domain == planned.Domain
	case TargetRack:
		return vm.Rack == planned.Rack
	case TargetPlatform, TargetNote:
	}
	return false
}
