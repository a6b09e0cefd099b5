package cell

import "time"

// claim takes an upstream that this process is to schedule.
func (cell *Cell) claim(upstream *upstreamState) {
	claim := ClaimNone
	if upstream.present {
		claim = cell.config.Claims(upstream.listing)
	}
	switch claim {
	case ClaimNone:
		return
	case ClaimFirm:
	case ClaimWeak:
		if !upstream.reclaimAt.IsZero() {
			weakReclaimAt := upstream.reclaimAt.Add(cell.config.Limits.WeakReclaimDelay - cell.config.Limits.FirmReclaimDelay)
			if cell.now.Before(weakReclaimAt) {
				return
			}
		}
	}
	if cell.now.Before(upstream.reclaimAt) {
		return
	}
	if !upstream.reclaimAt.IsZero() {
		cell.token = cell.config.NextToken()
	}
	cell.counters.Claimed++
	cell.setStatus(upstream, upstreamUnverified, "claimed")
	upstream.lastSequence = 0
	upstream.missedPolls = 0
	cell.immediatePoll(upstream)
}

// yieldUpstream gives an upstream up to the process with the higher token. Its runs
// may go on there until that process has stopped them.
func (cell *Cell) yieldUpstream(upstream *upstreamState) {
	cell.counters.Fenced++
	cell.setStatus(upstream, upstreamOwnedElsewhere, "fenced")
	upstream.reclaimAt = cell.now.Add(cell.config.Limits.FirmReclaimDelay)
	upstream.leaseEnd = max(upstream.leaseEnd, cell.minClock(upstream)+cell.config.Limits.YieldGrace.Milliseconds())
}

// fenced reports whether a reply tells that another process took the
// upstream, as opposed to an order that this Cell's later ones overtook.
func (upstream *upstreamState) fenced(reply Reply) bool {
	return reply.Outcome == OutcomeFenced && reply.Order.Token >= upstream.lastToken
}

// yieldIfIsolated gives up an upstream that does not answer and whose home this
// process does not see either: both may be cut off together, and a process on
// their side schedules the upstream. Looking on would take it from that process
// as soon as the partition ends.
func (cell *Cell) yieldIfIsolated(upstream *upstreamState) bool {
	if upstream.missedPolls < 2 || len(upstream.runs) > 0 || cell.config.Claims(upstream.listing) == ClaimFirm {
		return false
	}
	cell.setStatus(upstream, upstreamOwnedElsewhere, "silent, and so is its home")
	upstream.reclaimAt = cell.now.Add(cell.config.Limits.FirmReclaimDelay)
	return true
}

// mayStartTasks reports whether the tasks of a job may start: no run that a previous
// Cell left of it is unknown, or can still exist.
func (cell *Cell) mayStartTasks(job *jobState) bool {
	job.startsAllowed = job.startsAllowed || !cell.now.Before(job.quarantineEnd) || cell.runsVerified(job)
	return job.startsAllowed
}

// runsVerified reports whether the Cell knows all runs that a previous one left of
// a job: those at the upstreams that it named, or at any upstream where it
// named none.
func (cell *Cell) runsVerified(job *jobState) bool {
	if !job.submitted.Released {
		return cell.serviceVerifiedSince(job.submitted.Service, job.submittedAt)
	}
	for _, id := range job.submitted.RunsAt {
		upstream, ok := cell.upstreams[id]
		if !ok || !cell.runsKnownSince(upstream, job.submittedAt) {
			return false
		}
	}
	return true
}

// runsKnownSince reports whether an upstream told its runs in answer to an order
// that was sent after a time. A run that a process before this one has stopped
// works on for the grace and is not listed, so the answer must be later than
// that as well.
func (cell *Cell) runsKnownSince(upstream *upstreamState, since time.Time) bool {
	graceEnd := upstream.openedAt.Add(cell.config.Limits.StopGrace)
	return upstream.status == upstreamOpen && !upstream.verifiedAt.Before(since) && !upstream.verifiedAt.Before(graceEnd)
}

// serviceVerifiedSince reports whether all upstreams of a service told their runs in
// answer to orders that were sent after a time, so that no other process can
// have runs there that this one does not know. An upstream that left the list
// without draining first may be cut off and run on.
func (cell *Cell) serviceVerifiedSince(service string, since time.Time) bool {
	anyListed := false
	for _, upstream := range cell.upstreamOrder {
		if upstream.listing.Service != service || (!upstream.present && (!upstream.listing.Removed || upstream.listing.Leaving)) {
			continue
		}
		anyListed = true
		if !cell.runsKnownSince(upstream, since) {
			return false
		}
	}
	return anyListed
}

// verifyService has all upstreams of a service tell their runs.
func (cell *Cell) verifyService(service string) {
	for _, upstream := range cell.upstreamOrder {
		if upstream.listing.Service != service || upstream.status != upstreamOpen {
			continue
		}
		cell.requestPoll(upstream)
	}
}
