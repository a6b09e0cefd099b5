package cell

import "time"

// hasAnswered reports whether the upstream's clock is known. Before the first answer it is
// not, and the upstream has no runs of this Cell.
func (upstream *upstreamState) hasAnswered() bool { return !upstream.clockAt.IsZero() }

// minClock returns a time in ms that the clock of an upstream that has answered has
// reached.
func (cell *Cell) minClock(upstream *upstreamState) int64 {
	elapsed := float64(cell.now.Sub(upstream.clockAt)) * (1 - cell.config.Limits.ClockSlack)
	return upstream.clock + int64(max(elapsed, 0))/int64(time.Millisecond)
}

// newOrder returns the common part of an order that renews the upstream's
// lease, or leaves it as it is.
func (cell *Cell) newOrder(upstream *upstreamState, renew bool) Order {
	order := Order{
		Upstream: upstream.listing.ID,
		Address:  upstream.listing.Address,
		Token:    max(cell.token, upstream.fenceToken),
	}
	if renew && upstream.clock > 0 && upstream.orphanCount == 0 && !cell.stopOverdue(upstream) {
		order.LeaseEnd = cell.minClock(upstream) + cell.config.Limits.Lease.Milliseconds()
		upstream.leaseEnd = max(upstream.leaseEnd, order.LeaseEnd)
		upstream.renewedAt = cell.now
	}
	upstream.lastToken = order.Token
	return order
}

// stopOverdue reports whether an upstream has not confirmed a stop for long, while it answers
// other orders or after another process had it. A caller that has left sends its job again, and
// the next scheduler relies on the end of the lease, so it is not renewed for the other runs there.
func (cell *Cell) stopOverdue(upstream *upstreamState) bool {
	for _, run := range upstream.runs {
		if run.stopReason != "" && run.stopConfirmedAt.IsZero() && cell.now.Sub(run.stopOrderedAt) >= cell.config.Limits.RenewAfter {
			return true
		}
	}
	return false
}

// renewalDue reports whether the lease of an upstream with runs has not been renewed
// for long. The pending long poll of an upstream that was idle when it was sent may
// return too late for that, and one that is lost does not return at all.
func (cell *Cell) renewalDue(upstream *upstreamState) bool {
	return len(upstream.runs) > 0 && cell.now.Sub(upstream.renewedAt) >= cell.config.Limits.RenewAfter
}

// expireRuns removes the runs of an upstream whose lease is certain to have
// expired, and whose start orders can't take effect any more.
func (cell *Cell) expireRuns(upstream *upstreamState) {
	if len(upstream.runs) == 0 || cell.now.Before(cell.leaseExpiry(upstream, upstream.leaseEnd)) || cell.mayBeRenewed(upstream) {
		return
	}
	expired := upstream.runsWhere(func(run *runState) bool { return !cell.now.Before(run.mayStartUntil) })
	if len(expired) == 0 {
		return
	}
	for _, run := range expired {
		run.markMayHaveRun()
		cell.removeRun(run, "lapsed")
	}
	cell.decide(LeaseExpired{
		Upstream:    upstream.listing.ID,
		Incarnation: upstream.incarnation,
		Clock:       upstream.clock,
		ClockAge:    cell.now.Sub(upstream.clockAt),
		LeaseEnd:    upstream.leaseEnd,
		Runs:        len(expired),
	})
}

// mayBeRenewed reports whether another process may renew the lease of an upstream that this one
// can't reach. A process that has taken over one upstream may have taken over others, and it runs
// the jobs of entry VMs that this one still counts as its own for a while.
func (cell *Cell) mayBeRenewed(upstream *upstreamState) bool {
	return upstream.clockAt.Before(cell.fencedAt) && cell.now.Before(cell.fencedAt.Add(cell.config.Limits.YieldGrace))
}

// leaseExpiry returns when the upstream's clock is certain to have passed a
// lease end.
func (cell *Cell) leaseExpiry(upstream *upstreamState, leaseEnd int64) time.Time {
	remaining := float64(leaseEnd-upstream.clock) / (1 - cell.config.Limits.ClockSlack)
	return upstream.clockAt.Add(time.Duration(remaining*float64(time.Millisecond)) + cell.config.Limits.ExpiryMargin)
}
