package fleet

import (
	"net/http"
	"sync"
	"time"

	wire "tanagerfall/shared/connection/platform"
	"tanagerfall/standin/fault"
	"tanagerfall/standin/network"
	"tanagerfall/standin/platform"
	"tanagerfall/standin/worker"
)

// Fleet is a running deployment of stand-ins.
type Fleet struct {
	Platform *platform.Platform
	// Workers holds the workers by address.
	Workers map[string]*worker.Worker
	control *network.Server
}

// PlatformPrefix is the path on the control address below which the platform
// serves its control handler, for example /v1/faults.
const PlatformPrefix = "/platform"

// WorkerPrefix returns the path on the control address below which the worker
// at address serves its control handler.
func WorkerPrefix(address string) string {
	return "/workers/" + address
}

// Start starts all stand-ins of a validated config and sets the VM list. If
// one of them cannot listen, Start closes the others and returns the error.
func Start(config Config) (*Fleet, error) {
	fleet := &Fleet{
		Workers: map[string]*worker.Worker{},
	}
	fleet.Platform = platform.New(platform.Config{
		Address:    config.Platform.Address,
		Retention:  time.Duration(config.Platform.RetentionMs) * time.Millisecond,
		AppendTime: time.Duration(config.Platform.AppendMs) * time.Millisecond,
		Lag:        time.Duration(config.Platform.LagMs) * time.Millisecond,
	})
	vms := config.VMs()
	if err := fleet.listen(config.ControlAddress, vms); err != nil {
		fleet.Close()
		return nil, err
	}
	fleet.Platform.SetVMs(vms)
	return fleet, nil
}

// listen starts the listeners of the platform, of the workers among vms and of
// the control address.
func (fleet *Fleet) listen(controlAddress string, vms []wire.VM) error {
	mux := http.NewServeMux()
	if _, err := fleet.Platform.Listen(); err != nil {
		return err
	}
	mux.Handle(PlatformPrefix+"/", http.StripPrefix(PlatformPrefix, fleet.Platform.ControlHandler()))
	for _, vm := range vms {
		if vm.Role != wire.RoleWorker {
			continue
		}
		standIn := worker.New(worker.Config{
			Address:      vm.Address,
			Slots:        vm.Slots,
			Cores:        vm.Cores,
			MemoryMb:     vm.MemoryMb,
			Accelerators: vm.Accelerators,
			Speed:        vm.Speed,
		})
		if _, err := standIn.Listen(); err != nil {
			return err
		}
		fleet.Workers[vm.Address] = standIn
		prefix := WorkerPrefix(vm.Address)
		mux.Handle(prefix+"/", http.StripPrefix(prefix, standIn.ControlHandler()))
	}
	fleet.control = network.New(mux, &fault.Gate{})
	_, err := fleet.control.Listen(controlAddress)
	return err
}

// Close stops all stand-ins concurrently and waits until they are closed.
func (fleet *Fleet) Close() {
	var waitGroup sync.WaitGroup
	for _, standIn := range fleet.Workers {
		waitGroup.Go(standIn.Close)
	}
	fleet.Platform.Close()
	if fleet.control != nil {
		fleet.control.Close()
	}
	waitGroup.Wait()
}
