package cell

import "time"

// clockNow returns a time that the upstream's clock has reached.
func (cell *Cell) clockNow(at *upstream) int64 {
	elapsed := float64(cell.now.Sub(at.clockAt)) * (1 - cell.config.Limits.ClockSlack)
	return at.clock + int64(max(elapsed, 0))/int64(time.Millisecond)
}

// orderFor returns the common part of an order that renews the upstream's lease,
// or that renews nothing.
func (cell *Cell) orderFor(at *upstream, renew bool) Order {
	order := Order{
		Upstream: at.listed.ID,
		Address:  at.listed.Address,
		Token:    cell.token,
	}
	if renew && at.clock > 0 && at.orphans == 0 {
		order.LeaseEnd = cell.clockNow(at) + cell.config.Limits.Lease.Milliseconds()
		at.leaseEnd = max(at.leaseEnd, order.LeaseEnd)
	}
	at.token = cell.token
	return order
}

// lapse gives up the runs of an upstream whose lease is surely over.
func (cell *Cell) lapse(at *upstream) {
	if len(at.runs) == 0 || cell.now.Before(cell.lapsedAt(at, at.leaseEnd)) {
		return
	}
	for _, held := range at.runs {
		held.mayHaveRun()
		cell.gone(held, "lapsed")
	}
}

// lapsedAt returns when the upstream's clock has surely passed a lease end.
func (cell *Cell) lapsedAt(at *upstream, leaseEnd int64) time.Time {
	left := float64(leaseEnd-at.clock) / (1 - cell.config.Limits.ClockSlack)
	return at.clockAt.Add(time.Duration(left*float64(time.Millisecond)) + cell.config.Limits.LapseMargin)
}
