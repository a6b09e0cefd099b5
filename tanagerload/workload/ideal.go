package workload

import (
	"time"

	wire "tanagerfall/shared/connection/platform"
)

// Capacity is the speed of the workers that a job may use.
type Capacity struct {
	// Fastest is the speed of the fastest slot, Total that of all slots.
	Fastest float64
	Total   float64
	Slots   int
}

// CapacityOf returns the capacity of the workers among vms in a failure
// domain, or in all if domain is empty.
func CapacityOf(vms []wire.Vm, domain string) Capacity {
	var capacity Capacity
	for _, vm := range vms {
		if vm.Role != wire.RoleWorker || (domain != "" && vm.Domain != domain) {
			continue
		}
		capacity.Fastest = max(capacity.Fastest, vm.Speed)
		capacity.Total += vm.Speed * float64(vm.Slots)
		capacity.Slots += vm.Slots
	}
	return capacity
}

// Ideal returns the ideal response time of the job: the larger of its longest
// task on the fastest slot and its total work over the total speed, plus the
// round trip.
func (arrival *Arrival) Ideal(capacity Capacity, roundTripMs float64) time.Duration {
	longest, total := 0.0, 0.0
	for _, realMs := range arrival.RealMs {
		longest = max(longest, realMs)
		total += realMs
	}
	idealMs := max(longest/capacity.Fastest, total/capacity.Total) + roundTripMs
	return time.Duration(idealMs * float64(time.Millisecond))
}
