package cell

import (
	"time"
)

// upstreamState is what the Cell believes of an upstream.
type upstreamState uint8

const (
	// upstreamForeign: another process schedules the upstream.
	upstreamForeign upstreamState = iota
	// upstreamLooking: the Cell waits for the first look.
	upstreamLooking
	// upstreamOpen: the Cell schedules the upstream.
	upstreamOpen
	// upstreamSilent: the upstream does not answer, and nothing is renewed.
	upstreamSilent
)

// String returns the state's name for logs.
func (state upstreamState) String() string {
	return [...]string{"foreign", "looking", "open", "silent"}[state]
}

// upstream is what the Cell knows of one upstream.
type upstream struct {
	listed Upstream
	state  upstreamState
	// present is false once the upstream is no longer on the platform's list.
	present bool
	// incarnation is the one that answered last.
	incarnation int64
	// clock is the upstream's clock when an answer arrived at clockAt.
	clock   int64
	clockAt time.Time
	// leaseEnd is the highest lease end of any order, on the upstream's clock.
	leaseEnd int64
	// seen is the sequence number of the last end that was processed.
	seen int64
	// watching and looking are set while such an order is under way.
	watching bool
	looking  bool
	missed   int
	lookAt   time.Time
	// reclaimAt is when an upstream that another process took may be taken
	// back.
	reclaimAt time.Time
	// token is that of the last order.
	token int64
	// openedAt is when the upstream first accepted an order of this Cell after
	// another process may have had it.
	openedAt time.Time
	// verifiedAt is when the last order was sent that the upstream accepted
	// and answered with its runs.
	verifiedAt time.Time

	runs map[RunName]*run
	// orphans counts the runs of jobs that the Cell does not have. Another
	// process may count on their lease to end, so nothing is renewed before
	// they are adopted or over.
	orphans int
	free    Resources
	used    int
	// fullUntil is set after a refusal for want of room.
	fullUntil time.Time

	failures int
	asides   int
	// drag is the recent ratio of actual to expected run times.
	drag float64
	// speed is the present speed, as of the last tick.
	speed      float64
	asideUntil time.Time
	// probing is set after an upstream was set aside until a run ends well.
	probing bool
}

func (cell *Cell) list(listed []Upstream) {
	for _, at := range cell.order {
		at.present = false
		at.listed.Gone = false
	}
	for _, row := range listed {
		at, known := cell.upstreams[row.ID]
		if !known {
			at = cell.addUpstream(row)
		}
		if row.Incarnation != 0 && row.Incarnation > at.incarnation {
			cell.restarted(at, row.Incarnation)
		}
		at.present = !row.Gone
		at.listed = row
		at.recount()
	}
	kept := cell.order[:0]
	for _, at := range cell.order {
		if !at.present && !at.listed.Gone && len(at.runs) == 0 {
			delete(cell.upstreams, at.listed.ID)
			continue
		}
		kept = append(kept, at)
	}
	cell.order = kept
	cell.measureSpeeds()
	for _, at := range cell.order {
		cell.tickUpstream(at)
	}
	cell.placeable = true
}

func (cell *Cell) addUpstream(row Upstream) *upstream {
	at := &upstream{
		listed:      row,
		incarnation: row.Incarnation,
		runs:        make(map[RunName]*run),
		free:        row.Capacity,
		drag:        1,
		speed:       cell.config.Estimator.Speed(row.ID),
	}
	cell.upstreams[row.ID] = at
	cell.order = append(cell.order, at)
	return at
}

// recount computes what the runs leave free.
func (at *upstream) recount() {
	at.free = at.listed.Capacity
	at.used = len(at.runs)
	for _, held := range at.runs {
		at.free = at.free.minus(held.need)
	}
}

// failsAll reports whether the runs on the upstream fail whatever they are.
func (at *upstream) failsAll() bool { return at.failures >= 2 }

// tickUpstream takes, looks at, watches or gives up an upstream.
func (cell *Cell) tickUpstream(at *upstream) {
	switch at.state {
	case upstreamForeign:
		cell.claim(at)
		cell.lapse(at)
	case upstreamLooking, upstreamSilent:
		cell.lapse(at)
		if cell.leftToOthers(at) {
			return
		}
		cell.lookAgain(at)
	case upstreamOpen:
		if !at.watching {
			cell.watch(at)
		}
		if !at.lookAt.IsZero() && !at.lookAt.After(cell.now) || cell.overdue(at) {
			cell.look(at)
		}
	}
	for _, held := range at.runs {
		cell.tickRun(held)
	}
}

// overdue reports whether a run should have ended and nothing was heard for a
// while: the watch under way may have got lost.
func (cell *Cell) overdue(at *upstream) bool {
	quiet := cell.config.Limits.OverdueAfter
	if cell.now.Sub(at.clockAt) < quiet {
		return false
	}
	for _, held := range at.runs {
		if held.state == runRunning && cell.now.Sub(held.dueAt) > quiet {
			return true
		}
	}
	return false
}

func (cell *Cell) setState(at *upstream, state upstreamState, reason string) {
	if at.state == state {
		return
	}
	at.state = state
	cell.decide(UpstreamChanged{
		Upstream: at.listed.ID,
		State:    state.String(),
		Reason:   reason,
	})
}

func (cell *Cell) watch(at *upstream) {
	at.watching = true
	cell.decide(Watch{
		Order: cell.orderFor(at, true),
		Seen:  at.seen,
		Wait:  cell.config.Limits.WatchWait,
	})
}

// look asks for the runs at once. It renews only where the Cell schedules the
// upstream already.
func (cell *Cell) look(at *upstream) {
	if at.looking {
		return
	}
	at.looking = true
	at.lookAt = time.Time{}
	cell.decide(Watch{
		Order: cell.orderFor(at, at.state == upstreamOpen),
		Seen:  at.seen,
		Look:  true,
	})
}

// lookNow looks at an upstream, or as soon as the look under way is over.
func (cell *Cell) lookNow(at *upstream) {
	if at.looking {
		at.lookBy(cell.now)
		return
	}
	cell.look(at)
}

// lookBy has a look made at a time, or earlier.
func (at *upstream) lookBy(due time.Time) {
	if at.lookAt.IsZero() || due.Before(at.lookAt) {
		at.lookAt = due
	}
}

func (cell *Cell) lookAgain(at *upstream) {
	if !at.looking && !cell.now.Before(at.lookAt) {
		cell.look(at)
	}
}

// watched applies what an upstream tells of its runs.
func (cell *Cell) watched(event Watched) {
	at, known := cell.upstreams[event.Reply.Order.Upstream]
	if !known {
		return
	}
	if event.Look {
		at.looking = false
	} else {
		at.watching = false
	}
	if at.fenced(event.Reply) {
		if at.state != upstreamForeign {
			cell.concede(at)
		}
		return
	}
	if at.state == upstreamForeign {
		return
	}
	switch event.Reply.Outcome {
	case OutcomeDone:
		cell.heard(at, event)
	case OutcomeRestarted:
		cell.restarted(at, event.Incarnation)
		at.lookAt = cell.now.Add(cell.config.Limits.LookEvery)
	default:
		cell.unheard(at)
	}
}

// unheard counts a watch or look without an answer.
func (cell *Cell) unheard(at *upstream) {
	at.missed++
	at.lookAt = cell.now
	switch at.state {
	case upstreamOpen:
		if at.missed >= 2 {
			cell.setState(at, upstreamSilent, "no answer")
		}
		cell.look(at)
	case upstreamLooking, upstreamSilent:
		at.lookAt = cell.now.Add(cell.config.Limits.LookEvery)
	case upstreamForeign:
	}
}

// heard reconciles the runs with the upstream's lists.
func (cell *Cell) heard(at *upstream, event Watched) {
	if event.Incarnation != 0 && event.Incarnation != at.incarnation {
		if event.Incarnation < at.incarnation {
			return
		}
		cell.restarted(at, event.Incarnation)
	}
	at.missed = 0
	if event.Reply.Clock < at.clock {
		// An answer that a later one overtook says nothing about now.
		cell.countEnds(at, event.Ended)
		return
	}
	at.clock = event.Reply.Clock
	at.clockAt = event.Reply.ReceivedAt
	at.verifiedAt = event.Reply.SentAt
	cell.countEnds(at, event.Ended)
	cell.compare(at, event)
	if at.state == upstreamLooking {
		at.openedAt = event.Reply.ReceivedAt
		at.lookBy(cell.now.Add(cell.config.Limits.StopGrace))
	}
	if at.state != upstreamOpen {
		cell.setState(at, upstreamOpen, "answers")
		cell.placeable = true
	}
	if !at.watching {
		cell.watch(at)
	}
	if !at.lookAt.IsZero() && !at.lookAt.After(cell.now) {
		cell.look(at)
	}
	// Jobs in quarantine wait for what upstreams tell.
	cell.placeable = cell.placeable || cell.now.Before(cell.quarantinedUntil)
}

func (cell *Cell) countEnds(at *upstream, ended []EndedRun) {
	for _, row := range ended {
		if row.Sequence <= at.seen {
			continue
		}
		at.seen = row.Sequence
		cell.endRun(at, row)
	}
}

// compare matches the listed runs with the known ones.
func (cell *Cell) compare(at *upstream, event Watched) {
	listed := make(map[RunName]bool, len(event.Running))
	for _, row := range event.Running {
		listed[row.Run] = true
		held, known := at.runs[row.Run]
		if !known {
			held = cell.discover(at, row.Run)
		}
		cell.progress(held, row.Percent)
	}
	for name, held := range at.runs {
		if !listed[name] {
			cell.unlisted(held, event.Reply)
		}
	}
}

// restarted forgets what ran on an earlier incarnation of an upstream.
func (cell *Cell) restarted(at *upstream, incarnation int64) {
	had := at.incarnation != 0
	at.incarnation = incarnation
	if !had && at.clock == 0 {
		return
	}
	at.seen = 0
	// The new clock is not known. What reached the new process under the old
	// lease ends may run for one lease.
	at.clock = 0
	at.clockAt = cell.now
	at.leaseEnd = cell.config.Limits.Lease.Milliseconds()
	at.failures = 0
	at.asideUntil = time.Time{}
	for _, held := range at.runs {
		if held.listed {
			cell.gone(held, "upstream restarted")
			continue
		}
		// The order may have reached the new process.
		held.mayHaveRun()
		held.state = runUnsure
		held.confirmedAt = time.Time{}
		held.doubtedAt = cell.now
		held.leaseEnd = 0
	}
	if at.state == upstreamOpen || at.state == upstreamSilent {
		cell.setState(at, upstreamLooking, "restarted")
		at.lookAt = cell.now
	}
}
