package cell

import (
	"slices"
	"time"
)

// claim takes over an upstream if this process's claim allows it.
func (cell *Cell) claim(upstream *upstreamState) {
	claim := ClaimNone
	if upstream.present || (upstream.listing.Removed && cell.now.Before(upstream.askUntil)) {
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
		upstream.fenceToken = cell.config.NextToken()
	}
	cell.counters.Claimed++
	cell.setStatus(upstream, upstreamUnverified, "claimed")
	upstream.lastSequence = 0
	upstream.missedPolls = 0
	cell.immediatePoll(upstream)
}

// yieldUpstream yields an upstream to the process with the higher token. Its
// runs may go on there until that process has stopped them.
func (cell *Cell) yieldUpstream(upstream *upstreamState) {
	cell.counters.Fenced++
	cell.fencedAt = cell.now
	cell.setStatus(upstream, upstreamOwnedElsewhere, "fenced")
	upstream.reclaimAt = cell.now.Add(cell.config.Limits.FirmReclaimDelay)
	if upstream.hasAnswered() {
		upstream.leaseEnd = max(upstream.leaseEnd, cell.minClock(upstream)+cell.config.Limits.YieldGrace.Milliseconds())
	}
	for _, run := range upstream.runs {
		// The upstream has seen a higher token than that of the start.
		run.mayStartUntil = time.Time{}
	}
}

// fenced reports whether a reply shows that another process took over the
// upstream. A reply to an order that was overtaken by a later order of this
// Cell does not.
func (upstream *upstreamState) fenced(reply Reply) bool {
	return reply.Outcome == OutcomeFenced && reply.Order.Token >= upstream.lastToken
}

// yieldIfIsolated yields an upstream that does not answer and on which this
// process has no firm claim. If the upstream and the process with the firm
// claim are cut off together, a process on their side schedules the upstream,
// and further polls would take it from that process as soon as the partition
// ends.
func (cell *Cell) yieldIfIsolated(upstream *upstreamState) bool {
	if upstream.missedPolls < 2 || len(upstream.runs) > 0 || cell.config.Claims(upstream.listing) == ClaimFirm {
		return false
	}
	cell.setStatus(upstream, upstreamOwnedElsewhere, "no answer, and no firm claim")
	upstream.reclaimAt = cell.now.Add(cell.config.Limits.FirmReclaimDelay)
	return true
}

// mayStartTasks reports whether the tasks of a job may start: all runs of the job
// that a previous Cell started are known, or can no longer exist.
func (cell *Cell) mayStartTasks(job *jobState) bool {
	if job.startsAllowed {
		return true
	}
	because := ServiceVerified
	if job.submitted.Released {
		because = ReleaseVerified
	}
	if !cell.now.Before(job.quarantineEnd) {
		because = QuarantineOver
	} else if !cell.runsVerified(job) {
		return false
	}
	job.startsAllowed = true
	if job.submitted.Quarantine > 0 {
		cell.decide(StartsAllowed{
			Job:            job.submitted.ID,
			Generation:     job.submitted.Generation,
			Because:        because,
			Waited:         cell.now.Sub(job.submittedAt),
			QuarantineLeft: job.quarantineEnd.Sub(cell.now),
		})
	}
	return true
}

// runsVerified reports whether the Cell knows all runs of a job that a previous Cell
// started: those on the upstreams in its Release, or on any upstream of the service if
// it did not send one. The Cell's list shows the upstreams of the service only if it
// has all that the previous Cell had: entries expire in a partition between their
// workers and the platform, while a process on the workers' side uses them.
func (cell *Cell) runsVerified(job *jobState) bool {
	if job.submitted.RunsElsewhere {
		return false
	}
	if !job.submitted.Released {
		return cell.config.KnowsUpstreams(job.submitted.EarlierSets) && cell.serviceVerified(job, cell.mayHoldRuns)
	}
	for _, id := range job.submitted.RunsAt {
		upstream, ok := cell.upstreams[id]
		if !ok || !cell.runsKnownSince(upstream, job.submittedAt) {
			return false
		}
	}
	return true
}

// earliestStart returns the earliest time at which a waiting task of a job can start. If
// another cell may have runs of the job, no poll shortens the quarantine once the upstreams of
// this one have shown that they have none. Those that left the list and do not answer are not
// waited for, because most of them have ended.
func (cell *Cell) earliestStart(job *jobState) time.Time {
	mayAnswer := func(upstream *upstreamState, job *jobState) bool {
		return upstream.present || (upstream.missedPolls == 0 && cell.mayHoldRuns(upstream, job))
	}
	if job.startsAllowed || !slices.Contains(job.submitted.EarlierSets, AnyUpstreams) || !cell.serviceVerified(job, mayAnswer) {
		return cell.now
	}
	return laterOf(cell.now, job.quarantineEnd)
}

// runsKnownSince reports whether an upstream listed its runs in answer to an
// order that was sent after a time. A run that a previous process has stopped
// goes on for the grace period without being listed, so the order must have
// been sent after that as well.
func (cell *Cell) runsKnownSince(upstream *upstreamState, since time.Time) bool {
	graceEnd := upstream.openedAt.Add(cell.config.Limits.StopGrace)
	return upstream.status == upstreamOpen && !upstream.verifiedAt.Before(since) && !upstream.verifiedAt.Before(graceEnd)
}

// serviceVerified reports whether all upstreams of a job's service that isNeeded selects
// listed their runs in answer to orders that were sent after the job was submitted, so that
// no other process can have runs there that this one does not know.
func (cell *Cell) serviceVerified(job *jobState, isNeeded func(*upstreamState, *jobState) bool) bool {
	anyNeeded := false
	for _, upstream := range cell.upstreamOrder {
		if upstream.listing.Service != job.submitted.Service || !isNeeded(upstream, job) {
			continue
		}
		anyNeeded = true
		if !cell.runsKnownSince(upstream, job.submittedAt) {
			return false
		}
	}
	return anyNeeded
}

// mayHoldRuns reports whether an earlier scheduler of a job may have runs on an upstream. One
// that left the list may be cut off from the store only and still execute runs, and it may
// refuse the connections of this process alone, so only what that scheduler has reported shows
// that it has none there.
func (cell *Cell) mayHoldRuns(upstream *upstreamState, job *jobState) bool {
	return upstream.present ||
		(upstream.listing.Removed && cell.config.MayHoldRuns(upstream.listing.ID, job.submitted.EarlierSets))
}

// RunsOutside returns the IDs of the upstreams that left the list and may have runs.
func (cell *Cell) RunsOutside() []string {
	var ids []string
	for _, upstream := range cell.upstreamOrder {
		if !upstream.present && len(upstream.runs) > 0 {
			ids = append(ids, upstream.listing.ID)
		}
	}
	return ids
}

// askRemoved polls the upstreams that left the list and may have runs of a job, until its
// quarantine ends.
func (cell *Cell) askRemoved(job *jobState) {
	for _, upstream := range cell.upstreamOrder {
		if !upstream.listing.Removed || upstream.listing.Service != job.submitted.Service {
			continue
		}
		isNeeded := cell.mayHoldRuns(upstream, job)
		if job.submitted.Released {
			isNeeded = slices.Contains(job.submitted.RunsAt, upstream.listing.ID)
		}
		if !isNeeded {
			continue
		}
		upstream.askUntil = laterOf(upstream.askUntil, job.quarantineEnd)
		if upstream.status == upstreamOwnedElsewhere {
			cell.claim(upstream)
		}
	}
}

// leaveRemoved stops polling an upstream that left the list and has no known runs, once no
// answer from it is needed.
func (cell *Cell) leaveRemoved(upstream *upstreamState) bool {
	if !upstream.listing.Removed || len(upstream.runs) > 0 || cell.now.Before(upstream.askUntil) {
		return false
	}
	cell.setStatus(upstream, upstreamOwnedElsewhere, "left the list")
	return true
}

// verifyService polls all open upstreams of a service for their runs.
func (cell *Cell) verifyService(service string) {
	for _, upstream := range cell.upstreamOrder {
		if upstream.listing.Service != service || upstream.status != upstreamOpen {
			continue
		}
		cell.requestPoll(upstream)
	}
}
