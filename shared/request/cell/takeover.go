package cell

import "time"

// claim takes an upstream that this process is to schedule.
func (cell *Cell) claim(at *upstream) {
	claim := ClaimNone
	if at.present {
		claim = cell.config.Claims(at.listed)
	}
	switch claim {
	case ClaimNone:
		return
	case ClaimFirm:
	case ClaimWeak:
		if !at.reclaimAt.IsZero() {
			weak := at.reclaimAt.Add(cell.config.Limits.ReclaimWeak - cell.config.Limits.ReclaimFirm)
			if cell.now.Before(weak) {
				return
			}
		}
	}
	if cell.now.Before(at.reclaimAt) {
		return
	}
	if !at.reclaimAt.IsZero() {
		cell.token = cell.config.NextToken()
	}
	cell.counters.Taken++
	cell.setState(at, upstreamLooking, "claimed")
	at.seen = 0
	at.missed = 0
	cell.look(at)
}

// concede gives an upstream up to the process with the higher token. Its runs
// may go on there until that process has stopped them.
func (cell *Cell) concede(at *upstream) {
	cell.counters.Fenced++
	cell.setState(at, upstreamForeign, "fenced")
	at.reclaimAt = cell.now.Add(cell.config.Limits.ReclaimFirm)
	at.leaseEnd = max(at.leaseEnd, cell.clockNow(at)+cell.config.Limits.ConcedeFor.Milliseconds())
}

// fenced reports whether a reply tells that another process took the
// upstream, as opposed to an order that this Cell's later ones overtook.
func (at *upstream) fenced(reply Reply) bool {
	return reply.Outcome == OutcomeFenced && reply.Order.Token >= at.token
}

// leftToOthers gives up an upstream that does not answer and whose home this
// process does not see either: both may be cut off together, and a process on
// their side schedules the upstream. Looking on would take it from that process
// as soon as the partition ends.
func (cell *Cell) leftToOthers(at *upstream) bool {
	if at.missed < 2 || len(at.runs) > 0 || cell.config.Claims(at.listed) == ClaimFirm {
		return false
	}
	cell.setState(at, upstreamForeign, "silent, and so is its home")
	at.reclaimAt = cell.now.Add(cell.config.Limits.ReclaimFirm)
	return true
}

// safe reports whether the tasks of a job may start: no run that a previous
// Cell left of it is unknown, or can still exist.
func (cell *Cell) safe(held *jobState) bool {
	held.safe = held.safe || !cell.now.Before(held.safeAt) || cell.verified(held)
	return held.safe
}

// verified reports whether the Cell knows all runs that a previous one left of
// a job: those at the upstreams that it named, or at any upstream where it
// named none.
func (cell *Cell) verified(held *jobState) bool {
	if !held.job.Released {
		return cell.verifiedSince(held.job.Service, held.submittedAt)
	}
	for _, id := range held.job.RunsAt {
		at, known := cell.upstreams[id]
		if !known || !cell.knowsRuns(at, held.submittedAt) {
			return false
		}
	}
	return true
}

// knowsRuns reports whether an upstream told its runs in answer to an order
// that was sent after a time. A run that a process before this one has stopped
// works on for the grace and is not listed, so the answer must be later than
// that as well.
func (cell *Cell) knowsRuns(at *upstream, since time.Time) bool {
	graceOver := at.openedAt.Add(cell.config.Limits.StopGrace)
	return at.state == upstreamOpen && !at.verifiedAt.Before(since) && !at.verifiedAt.Before(graceOver)
}

// verifiedSince reports whether all upstreams of a service told their runs in
// answer to orders that were sent after a time, so that no other process can
// have runs there that this one does not know. An upstream that left the list
// without draining first may be cut off and run on.
func (cell *Cell) verifiedSince(service string, since time.Time) bool {
	found := false
	for _, at := range cell.order {
		if at.listed.Service != service || (!at.present && (!at.listed.Gone || at.listed.Leaving)) {
			continue
		}
		found = true
		if !cell.knowsRuns(at, since) {
			return false
		}
	}
	return found
}

// verify has all upstreams of a service tell their runs.
func (cell *Cell) verify(service string) {
	for _, at := range cell.order {
		if at.listed.Service != service || at.state != upstreamOpen {
			continue
		}
		cell.lookNow(at)
	}
}
