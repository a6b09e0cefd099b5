package workload

import (
	"time"

	wire "tanagerfall/shared/connection/platform"
)

// Capacity summarizes the workers that a job may use.
type Capacity struct {
	// FastestSpeed is the speed of the fastest slot, TotalSpeed the sum of the
	// speeds of all slots.
	FastestSpeed float64
	TotalSpeed   float64
	Slots        int
}

// CapacityOf returns the capacity of the workers among vms that are in a failure
// domain, or of all workers if domain is empty.
func CapacityOf(vms []wire.VM, domain string) Capacity {
	var capacity Capacity
	for _, vm := range vms {
		if vm.Role != wire.RoleWorker || (domain != "" && vm.Domain != domain) {
			continue
		}
		capacity.FastestSpeed = max(capacity.FastestSpeed, vm.Speed)
		capacity.TotalSpeed += vm.Speed * float64(vm.Slots)
		capacity.Slots += vm.Slots
	}
	return capacity
}

// IdealResponse returns the ideal response time of the job: the longer of its
// longest task on the fastest slot and its total work at the total speed, plus
// the round trip.
func (arrival *Arrival) IdealResponse(capacity Capacity, roundTripMs float64) time.Duration {
	longestMs, totalMs := 0.0, 0.0
	for _, actualMs := range arrival.ActualMs {
		longestMs = max(longestMs, actualMs)
		totalMs += actualMs
	}
	idealMs := max(longestMs/capacity.FastestSpeed, totalMs/capacity.TotalSpeed) + roundTripMs
	return time.Duration(idealMs * float64(time.Millisecond))
}
