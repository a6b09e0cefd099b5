package cell

import (
	"time"
)

// upstreamStatus is what the Cell believes of an upstream.
type upstreamStatus uint8

const (
	// upstreamForeign: another process schedules the upstream.
	upstreamOwnedElsewhere upstreamStatus = iota
	// upstreamLooking: the Cell waits for the first look.
	upstreamUnverified
	// upstreamOpen: the Cell schedules the upstream.
	upstreamOpen
	// upstreamSilent: the upstream does not answer, and nothing is renewed.
	upstreamSilent
)

// String returns the state's name for logs.
func (status upstreamStatus) String() string {
	return [...]string{"foreign", "looking", "open", "silent"}[status]
}

// upstreamState is what the Cell knows of one upstream.
type upstreamState struct {
	listing Upstream
	status  upstreamStatus
	// present is false once the upstream is no longer on the platform's list.
	present bool
	// incarnation is the one that answered last.
	incarnation int64
	// clock is the upstream's clock when an answer arrived at clockAt.
	clock   int64
	clockAt time.Time
	// leaseEnd is the highest lease end of any order, on the upstream's clock.
	leaseEnd int64
	// lastSequence is the sequence number of the last end that was processed.
	lastSequence int64
	// longPollPending and looking are set while such an order is under way.
	longPollPending      bool
	immediatePollPending bool
	missedPolls          int
	nextPollAt           time.Time
	// reclaimAt is when an upstream that another process took may be taken
	// back.
	reclaimAt time.Time
	// lastToken is that of the last order.
	lastToken int64
	// openedAt is when the upstream first accepted an order of this Cell after
	// another process may have had it.
	openedAt time.Time
	// verifiedAt is when the last order was sent that the upstream accepted
	// and answered with its runs.
	verifiedAt time.Time

	runs map[RunName]*runState
	// orphanCount counts the runs of jobs that the Cell does not have. Another
	// process may count on their lease to end, so nothing is renewed before
	// they are adopted or over.
	orphanCount int
	free        Resources
	usedSlots   int
	// fullUntil is set after a refusal for want of room.
	fullUntil time.Time

	consecutiveFailures int
	ejections           int
	// slowdown is the recent ratio of actual to expected run times.
	slowdown float64
	// speed is the present speed, as of the last tick.
	speed        float64
	ejectedUntil time.Time
	// probing is set after an upstream was set aside until a run ends well.
	probing bool
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
		if listing.Incarnation != 0 && listing.Incarnation > upstream.incarnation {
			cell.upstreamRestarted(upstream, listing.Incarnation)
		}
		upstream.present = !listing.Removed
		upstream.listing = listing
		upstream.recomputeUsage()
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
	cell.measureSpeeds()
	for _, upstream := range cell.upstreamOrder {
		cell.tickUpstream(upstream)
	}
	cell.placementPending = true
}

func (cell *Cell) addUpstream(listing Upstream) *upstreamState {
	upstream := &upstreamState{
		listing:     listing,
		incarnation: listing.Incarnation,
		runs:        make(map[RunName]*runState),
		free:        listing.Capacity,
		slowdown:    1,
		speed:       cell.config.Estimator.Speed(listing.ID),
	}
	cell.upstreams[listing.ID] = upstream
	cell.upstreamOrder = append(cell.upstreamOrder, upstream)
	return upstream
}

// recomputeUsage computes what the runs leave free.
func (upstream *upstreamState) recomputeUsage() {
	upstream.free = upstream.listing.Capacity
	upstream.usedSlots = len(upstream.runs)
	for _, run := range upstream.runs {
		upstream.free = upstream.free.minus(run.need)
	}
}

// failsEveryRun reports whether the runs on the upstream fail whatever they are.
func (upstream *upstreamState) failsEveryRun() bool { return upstream.consecutiveFailures >= 2 }

// tickUpstream takes, looks at, watches or gives up an upstream.
func (cell *Cell) tickUpstream(upstream *upstreamState) {
	switch upstream.status {
	case upstreamOwnedElsewhere:
		cell.claim(upstream)
		cell.expireRuns(upstream)
	case upstreamUnverified, upstreamSilent:
		cell.expireRuns(upstream)
		if cell.yieldIfIsolated(upstream) {
			return
		}
		cell.pollIfDue(upstream)
	case upstreamOpen:
		if !upstream.longPollPending {
			cell.longPoll(upstream)
		}
		if !upstream.nextPollAt.IsZero() && !upstream.nextPollAt.After(cell.now) || cell.hasOverdueRun(upstream) {
			cell.immediatePoll(upstream)
		}
	}
	for _, run := range upstream.runs {
		cell.tickRun(run)
	}
}

// hasOverdueRun reports whether a run should have ended and nothing was heard for a
// while: the watch under way may have got lost.
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
	cell.decide(UpstreamChanged{
		Upstream: upstream.listing.ID,
		State:    status.String(),
		Reason:   reason,
	})
}

func (cell *Cell) longPoll(upstream *upstreamState) {
	upstream.longPollPending = true
	cell.decide(Poll{
		Order:        cell.newOrder(upstream, true),
		Acknowledged: upstream.lastSequence,
		Wait:         cell.config.Limits.PollWait,
	})
}

// immediatePoll asks for the runs at once. It renews only where the Cell schedules the
// upstream already.
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

// requestPoll looks at an upstream, or as soon as the look under way is over.
func (cell *Cell) requestPoll(upstream *upstreamState) {
	if upstream.immediatePollPending {
		upstream.schedulePoll(cell.now)
		return
	}
	cell.immediatePoll(upstream)
}

// schedulePoll has a look made at a time, or earlier.
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

// pollReplied applies what an upstream tells of its runs.
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
	case OutcomeRestarted:
		cell.upstreamRestarted(upstream, event.Incarnation)
		upstream.nextPollAt = cell.now.Add(cell.config.Limits.ImmediatePollInterval)
	default:
		cell.pollUnanswered(upstream)
	}
}

// pollUnanswered counts a watch or look without an answer.
func (cell *Cell) pollUnanswered(upstream *upstreamState) {
	upstream.missedPolls++
	upstream.nextPollAt = cell.now
	switch upstream.status {
	case upstreamOpen:
		if upstream.missedPolls >= 2 {
			cell.setStatus(upstream, upstreamSilent, "no answer")
		}
		cell.immediatePoll(upstream)
	case upstreamUnverified, upstreamSilent:
		upstream.nextPollAt = cell.now.Add(cell.config.Limits.ImmediatePollInterval)
	case upstreamOwnedElsewhere:
	}
}

// pollAnswered reconciles the runs with the upstream's lists.
func (cell *Cell) pollAnswered(upstream *upstreamState, event PollReplied) {
	if event.Incarnation != 0 && event.Incarnation != upstream.incarnation {
		if event.Incarnation < upstream.incarnation {
			return
		}
		cell.upstreamRestarted(upstream, event.Incarnation)
	}
	upstream.missedPolls = 0
	if event.Reply.Clock < upstream.clock {
		// An answer that a later one overtook says nothing about now.
		cell.applyEnds(upstream, event.Ended)
		return
	}
	upstream.clock = event.Reply.Clock
	upstream.clockAt = event.Reply.ReceivedAt
	upstream.verifiedAt = event.Reply.SentAt
	cell.applyEnds(upstream, event.Ended)
	cell.reconcileRuns(upstream, event)
	if upstream.status == upstreamUnverified {
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
	// Jobs in quarantine wait for what upstreams tell.
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
	for name, run := range upstream.runs {
		if !listedRuns[name] {
			cell.settleUnlistedRun(run, event.Reply)
		}
	}
}

// upstreamRestarted forgets what ran on an earlier incarnation of an upstream.
func (cell *Cell) upstreamRestarted(upstream *upstreamState, incarnation int64) {
	knewIncarnation := upstream.incarnation != 0
	upstream.incarnation = incarnation
	if !knewIncarnation && upstream.clock == 0 {
		return
	}
	upstream.lastSequence = 0
	// The new clock is not known. What reached the new process under the old
	// lease ends may run for one lease.
	upstream.clock = 0
	upstream.clockAt = cell.now
	upstream.leaseEnd = cell.config.Limits.Lease.Milliseconds()
	upstream.consecutiveFailures = 0
	upstream.ejectedUntil = time.Time{}
	for _, run := range upstream.runs {
		if run.listed {
			cell.removeRun(run, "upstream restarted")
			continue
		}
		// The order may have reached the new process.
		run.markMayHaveRun()
		run.status = runUnconfirmed
		run.confirmedAt = time.Time{}
		run.unconfirmedSince = cell.now
		run.leaseEnd = 0
	}
	if upstream.status == upstreamOpen || upstream.status == upstreamSilent {
		cell.setStatus(upstream, upstreamUnverified, "restarted")
		upstream.nextPollAt = cell.now
	}
}
