package cell

import (
	"math"
	"time"
)

const (
	// dragGain is the weight of one run in an upstream's drag. A third follows
	// an upstream that turns slow within a few runs.
	dragGain = 0.3
	// minDrag and maxDrag bound what one run says.
	minDrag = 0.5
	maxDrag = 10
	// minObserved is the shortest run time that says something of a speed.
	minObserved = 5 * time.Millisecond
	// moveFactor is how many times longer the rest of a run must be than a new
	// run elsewhere before the run is moved.
	moveFactor = 2
	// moveMargin is added for the stop and the new start.
	moveMargin = 100 * time.Millisecond
	// slowAfter is the share of the expected run time from which progress
	// tells how long a run takes.
	slowAfter = 0.5
)

// judge learns from the end of a run.
func (cell *Cell) judge(held *run, end End) {
	at := held.at
	switch end {
	case EndDone:
		at.failures = 0
		at.asides = 0
		at.probing = false
		cell.observe(held, cell.now.Sub(held.startedAt()))
	case EndFailed:
		at.failures++
		if at.failures >= cell.config.Limits.SetAsideAfter {
			cell.setAsideLonger(at, "runs fail")
		}
	case EndStopped:
	}
}

// startedAt returns the latest time at which a run can have started.
func (held *run) startedAt() time.Time {
	if held.confirmedAt.IsZero() {
		return held.sentAt
	}
	return held.confirmedAt
}

// observe learns the speed of an upstream from a whole run.
func (cell *Cell) observe(held *run, took time.Duration) {
	if held.owner == nil || held.expected <= 0 || held.sentAt.IsZero() {
		return
	}
	took = max(took, minObserved)
	at := held.at
	ratio := float64(took) / float64(held.expected)
	at.addDrag(ratio)
	estimate := held.owner.job.Steps[held.name.Task.Step].Estimate
	cell.config.Estimator.Observe(held.owner.job.Kind, at.listed.ID, ms(estimate), ms(took))
}

func (at *upstream) addDrag(ratio float64) {
	ratio = math.Min(math.Max(ratio, minDrag), maxDrag)
	at.drag += dragGain * (ratio - at.drag)
}

// dragTolerance is the drag that wrong estimates of a few jobs explain.
const dragTolerance = 1.8

// setAside gives an upstream no new tasks for a time. Upstreams beyond the cap
// stay in use.
func (cell *Cell) setAside(at *upstream, length time.Duration, reason string) {
	aside := 0
	for _, other := range cell.order {
		if other.asideUntil.After(cell.now) {
			aside++
		}
	}
	if float64(aside+1) > cell.config.Limits.SetAsideShare*float64(len(cell.order)) {
		return
	}
	until := cell.now.Add(length)
	if !until.After(at.asideUntil) {
		return
	}
	at.asideUntil = until
	cell.decide(UpstreamChanged{
		Upstream: at.listed.ID,
		State:    "set-aside",
		Reason:   reason,
	})
}

// setAsideLonger sets an upstream aside for twice as long as the last time, and
// has it tried with one task afterwards.
func (cell *Cell) setAsideLonger(at *upstream, reason string) {
	limits := cell.config.Limits
	length := min(limits.SetAsideFor<<min(at.asides, 8), limits.SetAsideMax)
	at.asides++
	at.probing = true
	cell.setAside(at, length, reason)
}

// progress notes how far a run is, and moves it where it stands still or
// crawls.
func (cell *Cell) progress(held *run, percent int) {
	held.listed = true
	if held.state == runStarting || held.state == runUnsure {
		cell.confirm(held)
	}
	if ran := cell.now.Sub(held.startedAt()); percent > 0 && ran > minObserved {
		held.dueAt = cell.now.Add(ran * time.Duration(100-percent) / time.Duration(percent))
	}
	if percent > held.percent {
		held.percent = percent
		held.percentAt = cell.now
	}
	if held.state != runRunning || held.task == nil || held.expected <= 0 {
		return
	}
	ran := cell.now.Sub(held.startedAt())
	if cell.standsStill(held) {
		cell.setAsideLonger(held.at, "a run stands still")
		cell.move(held, "stands still")
		return
	}
	if percent <= 0 || ran < time.Duration(slowAfter*float64(held.expected)) || ran < 2*minObserved {
		return
	}
	whole := ran * 100 / time.Duration(percent)
	if float64(whole) > dragTolerance*float64(held.expected) {
		held.at.addDrag(float64(whole) / float64(held.expected))
	}
	left := whole - ran
	anew := held.owner.expected(held.owner.job.Steps[held.name.Task.Step].Estimate, 1)
	if left > moveFactor*anew+moveMargin && whole > moveFactor*held.expected {
		cell.move(held, "crawls")
	}
}

// standsStill reports whether a run should have moved on since its progress
// changed last.
func (cell *Cell) standsStill(held *run) bool {
	still := cell.now.Sub(held.percentAt)
	limits := cell.config.Limits
	return still > limits.StillAfter && float64(still) > limits.StallShare*float64(held.expected)
}

// move stops a run that is better started anew elsewhere. The next run starts
// when the end of this one is known.
func (cell *Cell) move(held *run, reason string) {
	cell.counters.Moved++
	cell.stop(held, reason)
}
