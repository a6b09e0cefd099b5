package cell

import (
	"time"
)

// upstreamStatus is the status of an upstream from the Cell's point of view.
type upstreamStatus uint8

const (
	// upstreamOwnedElsewhere means that another process schedules the upstream.
	upstreamOwnedElsewhere upstreamStatus = iota
	// upstreamUnverified means that the Cell waits for the answer to its first
	// poll.
	upstreamUnverified
	// upstreamOpen means that the Cell schedules the upstream.
	upstreamOpen
	// upstreamSilent means that the upstream does not answer, and its lease is
	// not renewed.
	upstreamSilent
)

// String returns the name of the status for logs.
func (status upstreamStatus) String() string {
	return [...]string{"foreign", "looking", "open", "silent"}[status]
}

// upstreamState is the Cell's state of one upstream.
type upstreamState struct {
	// listing is the upstream's latest entry in the platform's list.
	listing Upstream
	status  upstreamStatus
	// present is false if the upstream is no longer on the platform's list.
	present bool
	// evacuated is set while the failure domain is evacuated.
	evacuated bool
	// incarnation is the incarnation that answered last; 0 if none has.
	incarnation int64
	// clock is the upstream's clock in ms when an answer arrived at clockAt.
	clock   int64
	clockAt time.Time
	// leaseEnd is the highest lease end of any order, on the upstream's clock in
	// ms.
	leaseEnd int64
	// lastSequence is the sequence number of the last end that was processed.
	lastSequence int64
	// longPollPending and immediatePollPending are set while such a poll is in
	// flight.
	longPollPending      bool
	immediatePollPending bool
	// longPollWait is the wait of the last long poll.
	longPollWait time.Duration
	// renewedAt is when the last order was sent that renewed the lease.
	renewedAt time.Time
	// lastRunAt is when the upstream last had a run.
	lastRunAt time.Time
	// missedPolls counts consecutive polls without an answer.
	missedPolls int
	// nextPollAt is when the next immediate poll is due; zero if none is
	// scheduled.
	nextPollAt time.Time
	// reclaimAt is when an upstream that another process took over may be
	// reclaimed.
	reclaimAt time.Time
	// lastToken is the token of the last order.
	lastToken int64
	// fenceToken is the lowest token of further orders to this upstream; 0 for that of the
	// Cell. It is raised when the upstream is reclaimed or has restarted. A higher token of
	// the whole Cell would pass the fences of other processes at the other upstreams.
	// Answers to polls with a lower token are ignored.
	fenceToken int64
	// openedAt is when the upstream first accepted an order of this Cell after
	// another process may have had it.
	openedAt time.Time
	// verifiedAt is when the last order was sent that the upstream accepted and
	// answered with its runs.
	verifiedAt time.Time
	// askUntil is until when the upstream is polled although it left the list, because a job
	// may have runs there that an earlier scheduler started.
	askUntil time.Time

	runs map[RunName]*runState
	// orphanCount counts the runs of jobs that the Cell does not have. Another
	// process may rely on the expiry of their lease, so the lease is not renewed
	// until they are adopted or over.
	orphanCount int
	// free is the capacity that the runs leave, and usedSlots the number of runs.
	free      Resources
	usedSlots int
	// fullUntil is set after a refusal for lack of capacity.
	fullUntil time.Time

	// consecutiveFailures counts failed runs, and ejections the ejections with
	// backoff, since the last run that was done.
	consecutiveFailures int
	ejections           int
	// slowdown is the recent ratio of actual to expected run times.
	slowdown float64
	// speed is the current speed as of the last tick.
	speed        float64
	ejectedUntil time.Time
	// index is that of the service, indexPosition the position in it, and counted what
	// Cell.openCores holds of the upstream.
	index         *speedIndex
	indexPosition int
	counted       openCores
	// probing is set from an ejection with backoff until a run is done. The
	// upstream gets one task at a time meanwhile.
	probing bool
	// nextColdStartAt is the earliest time of the next start while the upstream is cold.
	nextColdStartAt time.Time
}

func (cell *Cell) applyListing(listings []Upstream) {
	for _, upstream := range cell.upstreamOrder {
		upstream.present = false
		upstream.listing.Removed = false
	}
	for _, listing := range listings {
		upstream, ok := cell.upstreams[listing.ID]
		if !ok {
			upstream = cell.addUpstream(listing)
		}
		cell.replaceEntry(upstream, listing)
	}
	remaining := cell.upstreamOrder[:0]
	for _, upstream := range cell.upstreamOrder {
		if !upstream.present && !upstream.listing.Removed && len(upstream.runs) == 0 {
			delete(cell.upstreams, upstream.listing.ID)
			continue
		}
		remaining = append(remaining, upstream)
	}
	cell.upstreamOrder = remaining
	if cell.now.Before(cell.quarantinedUntil) {
		for _, id := range cell.jobIDs() {
			if job := cell.jobs[id]; !job.startsAllowed && cell.now.Before(job.quarantineEnd) {
				cell.askRemoved(job)
			}
		}
	}
	cell.measureSpeeds()
	for _, upstream := range cell.upstreamOrder {
		cell.tickUpstream(upstream)
	}
	cell.placementPending = true
}

func (cell *Cell) addUpstream(listing Upstream) *upstreamState {
	upstream := &upstreamState{
		listing:   listing,
		lastRunAt: cell.now,
		runs:      make(map[RunName]*runState),
		free:      listing.Capacity,
		slowdown:  1,
		speed:     cell.config.Estimator.Speed(listing.ID),
	}
	cell.upstreams[listing.ID] = upstream
	cell.upstreamOrder = append(cell.upstreamOrder, upstream)
	return upstream
}

// recomputeUsage computes the free capacity and the used slots from the runs.
func (upstream *upstreamState) recomputeUsage() {
	upstream.free = upstream.listing.Capacity
	upstream.usedSlots = len(upstream.runs)
	for _, run := range upstream.runs {
		upstream.free = upstream.free.minus(run.need)
	}
}

// failsEveryRun reports whether runs on the upstream fail whatever their task
// is.
func (upstream *upstreamState) failsEveryRun() bool { return upstream.consecutiveFailures >= 2 }

// tickUpstream claims, polls or yields an upstream as its status requires.
func (cell *Cell) tickUpstream(upstream *upstreamState) {
	switch upstream.status {
	case upstreamOwnedElsewhere:
		cell.claim(upstream)
		cell.expireRuns(upstream)
	case upstreamUnverified, upstreamSilent:
		cell.expireRuns(upstream)
		if cell.leaveRemoved(upstream) || cell.yieldIfIsolated(upstream) {
			return
		}
		cell.pollIfDue(upstream)
	case upstreamOpen:
		if !upstream.longPollPending {
			cell.longPoll(upstream)
		}
		if !upstream.nextPollAt.IsZero() && !upstream.nextPollAt.After(cell.now) || cell.hasOverdueRun(upstream) || cell.renewalDue(upstream) {
			cell.immediatePoll(upstream)
		}
	}
	for _, run := range upstream.runsWhere(cell.runDue) {
		cell.tickRun(run)
	}
}

// hasOverdueRun reports whether a run should have ended and the upstream has
// not answered for a while, so that the long poll in flight may be lost.
func (cell *Cell) hasOverdueRun(upstream *upstreamState) bool {
	tolerance := cell.config.Limits.OverdueAfter
	if cell.now.Sub(upstream.clockAt) < tolerance {
		return false
	}
	for _, run := range upstream.runs {
		if run.status == runRunning && cell.now.Sub(run.dueAt) > tolerance {
			return true
		}
	}
	return false
}

func (cell *Cell) setStatus(upstream *upstreamState, status upstreamStatus, reason string) {
	if upstream.status == status {
		return
	}
	upstream.status = status
	cell.reindex(upstream)
	cell.decide(UpstreamChanged{
		Upstream: upstream.listing.ID,
		State:    status.String(),
		Reason:   reason,
	})
}

func (cell *Cell) longPoll(upstream *upstreamState) {
	upstream.longPollPending = true
	upstream.longPollWait = cell.config.Limits.PollWait
	if len(upstream.runs) == 0 && cell.now.Sub(upstream.lastRunAt) >= cell.config.Limits.IdleAfter {
		upstream.longPollWait = cell.config.Limits.IdlePollWait
	}
	cell.decide(Poll{
		Order:        cell.newOrder(upstream, true),
		Acknowledged: upstream.lastSequence,
		Wait:         upstream.longPollWait,
	})
}

// immediatePoll queries the runs without waiting. It renews the lease only if
// the Cell already schedules the upstream.
func (cell *Cell) immediatePoll(upstream *upstreamState) {
	if upstream.immediatePollPending {
		return
	}
	upstream.immediatePollPending = true
	upstream.nextPollAt = time.Time{}
	cell.decide(Poll{
		Order:        cell.newOrder(upstream, upstream.status == upstreamOpen),
		Acknowledged: upstream.lastSequence,
		Immediate:    true,
	})
}

// requestPoll sends an immediate poll now, or as soon as the one in flight is
// answered.
func (cell *Cell) requestPoll(upstream *upstreamState) {
	if upstream.immediatePollPending {
		upstream.schedulePoll(cell.now)
		return
	}
	cell.immediatePoll(upstream)
}

// schedulePoll makes an immediate poll due at the given time or earlier.
func (upstream *upstreamState) schedulePoll(due time.Time) {
	if upstream.nextPollAt.IsZero() || due.Before(upstream.nextPollAt) {
		upstream.nextPollAt = due
	}
}

func (cell *Cell) pollIfDue(upstream *upstreamState) {
	if !upstream.immediatePollPending && !cell.now.Before(upstream.nextPollAt) {
		cell.immediatePoll(upstream)
	}
}

// pollReplied applies the reply to a poll.
func (cell *Cell) pollReplied(event PollReplied) {
	upstream, ok := cell.upstreams[event.Reply.Order.Upstream]
	if !ok {
		return
	}
	if event.Immediate {
		upstream.immediatePollPending = false
	} else {
		upstream.longPollPending = false
	}
	if upstream.fenced(event.Reply) {
		if upstream.status != upstreamOwnedElsewhere {
			cell.yieldUpstream(upstream)
		}
		return
	}
	if upstream.status == upstreamOwnedElsewhere {
		return
	}
	switch event.Reply.Outcome {
	case OutcomeDone:
		cell.pollAnswered(upstream, event)
	case OutcomeFenced:
		// A later order of this Cell with a higher token overtook this one.
		cell.requestPoll(upstream)
	default:
		cell.pollUnanswered(upstream)
	}
}

// pollUnanswered counts a poll without an answer.
func (cell *Cell) pollUnanswered(upstream *upstreamState) {
	upstream.missedPolls++
	upstream.nextPollAt = cell.now
	switch upstream.status {
	case upstreamOpen:
		if upstream.missedPolls >= 2 {
			cell.setStatus(upstream, upstreamSilent, "polls not answered")
		}
		cell.immediatePoll(upstream)
	case upstreamUnverified, upstreamSilent:
		upstream.nextPollAt = cell.now.Add(cell.config.Limits.ImmediatePollInterval)
	case upstreamOwnedElsewhere:
	}
}

// pollAnswered reconciles the Cell's runs with the upstream's lists.
func (cell *Cell) pollAnswered(upstream *upstreamState, event PollReplied) {
	if event.Incarnation != 0 && event.Incarnation != upstream.incarnation {
		if event.Incarnation < upstream.incarnation {
			return
		}
		cell.upstreamRestarted(upstream, event.Incarnation)
	}
	if event.Reply.Order.Token < upstream.fenceToken {
		cell.requestPoll(upstream)
		return
	}
	upstream.missedPolls = 0
	if event.Reply.Clock < upstream.clock {
		// An answer that was overtaken by a later one says nothing about the
		// present.
		cell.applyEnds(upstream, event.Ended)
		return
	}
	upstream.clock = event.Reply.Clock
	upstream.clockAt = event.Reply.ReceivedAt
	upstream.verifiedAt = event.Reply.SentAt
	cell.applyEnds(upstream, event.Ended)
	cell.reconcileRuns(upstream, event)
	if upstream.status == upstreamUnverified {
		// Another process may have renewed the lease until this order fenced it.
		upstream.leaseEnd = max(upstream.leaseEnd, event.Reply.Clock+cell.config.Limits.Lease.Milliseconds())
		upstream.openedAt = event.Reply.ReceivedAt
		upstream.schedulePoll(cell.now.Add(cell.config.Limits.StopGrace))
	}
	if upstream.status != upstreamOpen {
		cell.setStatus(upstream, upstreamOpen, "answers")
		cell.placementPending = true
	}
	if !upstream.longPollPending {
		cell.longPoll(upstream)
	}
	if !upstream.nextPollAt.IsZero() && !upstream.nextPollAt.After(cell.now) {
		cell.immediatePoll(upstream)
	}
	// Jobs in quarantine wait for the answers of upstreams.
	cell.placementPending = cell.placementPending || cell.now.Before(cell.quarantinedUntil)
}

func (cell *Cell) applyEnds(upstream *upstreamState, ended []EndedRun) {
	for _, end := range ended {
		if end.Sequence <= upstream.lastSequence {
			continue
		}
		upstream.lastSequence = end.Sequence
		cell.endRun(upstream, end)
	}
}

// reconcileRuns matches the listed runs with the known ones.
func (cell *Cell) reconcileRuns(upstream *upstreamState, event PollReplied) {
	listedRuns := make(map[RunName]bool, len(event.Running))
	for _, listedRun := range event.Running {
		listedRuns[listedRun.Run] = true
		run, ok := upstream.runs[listedRun.Run]
		if !ok {
			run = cell.addUnknownRun(upstream, listedRun.Run)
		}
		cell.applyProgress(run, listedRun.Percent)
	}
	for _, run := range upstream.runsWhere(func(run *runState) bool { return !listedRuns[run.name] }) {
		cell.settleUnlistedRun(run, event.Reply)
	}
}

// upstreamRestarted removes the runs of an earlier incarnation of an upstream.
// incarnation is the new one, which has answered.
func (cell *Cell) upstreamRestarted(upstream *upstreamState, incarnation int64) {
	knewIncarnation := upstream.incarnation != 0
	upstream.incarnation = incarnation
	if !knewIncarnation && upstream.clock == 0 {
		return
	}
	// The new process has seen no token. Orders that were sent to the earlier one and reach
	// it late have a lease end on the earlier clock, so only a higher token stops them.
	upstream.fenceToken = cell.config.NextToken()
	upstream.lastToken = upstream.fenceToken
	upstream.lastSequence = 0
	// The new clock is not known. Orders under the old lease ends that reached
	// the new process may run for the length of one lease.
	upstream.clock = 0
	upstream.clockAt = cell.now
	upstream.leaseEnd = cell.config.Limits.Lease.Milliseconds()
	upstream.resetHealth()
	for _, run := range upstream.runsWhere(func(*runState) bool { return true }) {
		if run.listed {
			cell.removeRun(run, "upstream restarted")
			continue
		}
		// The order may have reached the new process, which may also execute it later:
		// the end of its lease is a time on the clock of the earlier one.
		if run.confirmedAt.IsZero() {
			run.mayStartUntil = cell.now.Add(cell.config.Limits.LateOrderTime)
		}
		run.markMayHaveRun()
		run.status = runUnconfirmed
		run.confirmedAt = time.Time{}
		run.unconfirmedSince = cell.now
		// The new process knows nothing of a stop that the earlier one confirmed.
		run.stopConfirmedAt = time.Time{}
		run.unlistedAt = time.Time{}
		if run.stopReason != "" {
			run.nextStopAt = cell.now
		}
		run.leaseEnd = 0
	}
	if upstream.status == upstreamOpen || upstream.status == upstreamSilent {
		cell.setStatus(upstream, upstreamUnverified, "restarted")
		upstream.nextPollAt = cell.now
	}
}
