package cell

import (
	"math"
	"time"
)

const (
	// slowdownGain is the weight of one run in an upstream's slowdown. At 0.3 the
	// slowdown follows an upstream that turns slow within a few runs.
	slowdownGain = 0.3
	// minSlowdown and maxSlowdown bound the ratio of one run.
	minSlowdown = 0.5
	maxSlowdown = 10
	// minObservedRunTime is the shortest run time from which a speed can be
	// derived.
	minObservedRunTime = 5 * time.Millisecond
	// extrapolateAfterShare is the share of the expected run time after which the
	// total run time is extrapolated from progress.
	extrapolateAfterShare = 0.5
)

// recordOutcome updates the health of an upstream after the end of a run.
func (cell *Cell) recordOutcome(run *runState, end End) {
	upstream := run.upstream
	switch end {
	case EndDone:
		upstream.consecutiveFailures = 0
		upstream.ejections = 0
		upstream.probing = false
		cell.observeRunTime(run, cell.now.Sub(run.latestStart()))
	case EndFailed:
		upstream.consecutiveFailures++
		if upstream.consecutiveFailures >= cell.config.Limits.EjectAfter {
			cell.ejectWithBackoff(upstream, "consecutive runs failed")
		}
	case EndStopped:
	}
}

// latestStart returns the latest time at which the run can have started.
func (run *runState) latestStart() time.Time {
	if run.confirmedAt.IsZero() {
		return run.sentAt
	}
	return run.confirmedAt
}

// observeRunTime updates the speed of an upstream from a completed run.
func (cell *Cell) observeRunTime(run *runState, runTime time.Duration) {
	if run.job == nil || run.expectedTime <= 0 || run.sentAt.IsZero() {
		return
	}
	runTime = max(runTime, minObservedRunTime)
	upstream := run.upstream
	ratio := float64(runTime) / float64(run.expectedTime)
	upstream.recordSlowdown(1 + (ratio-1)*cell.upstreamShare(run, ratio))
	cell.countMoveInVain(run, ratio)
	if run.cold {
		// The speed of a cold upstream says nothing about that after its warm-up.
		return
	}
	estimate := run.job.submitted.Steps[run.name.Task.Step].Estimate
	cell.config.Estimator.Observe(run.job.submitted.Kind, upstream.listing.ID, milliseconds(estimate), milliseconds(runTime))
}

func (upstream *upstreamState) recordSlowdown(ratio float64) {
	ratio = math.Min(math.Max(ratio, minSlowdown), maxSlowdown)
	upstream.slowdown += slowdownGain * (ratio - upstream.slowdown)
}

// slowdownTolerance is the slowdown that wrong estimates of a few jobs can
// explain.
const slowdownTolerance = 1.8

// eject stops the placement of tasks on an upstream for a time. It has no
// effect if more than MaxEjectedShare of the upstreams would be ejected, without those in
// evacuated domains.
func (cell *Cell) eject(upstream *upstreamState, duration time.Duration, reason string) {
	ejected, candidates := 0, 0
	for _, candidate := range cell.upstreamOrder {
		if candidate.evacuated {
			continue
		}
		candidates++
		if candidate.ejectedUntil.After(cell.now) {
			ejected++
		}
	}
	if float64(ejected+1) > cell.config.Limits.MaxEjectedShare*float64(candidates) {
		return
	}
	until := cell.now.Add(duration)
	if !until.After(upstream.ejectedUntil) {
		return
	}
	upstream.ejectedUntil = until
	cell.decide(UpstreamChanged{
		Upstream: upstream.listing.ID,
		State:    "set-aside",
		Reason:   reason,
	})
}

// ejectWithBackoff ejects an upstream for twice as long as the last time, after
// which one task at a time probes it.
func (cell *Cell) ejectWithBackoff(upstream *upstreamState, reason string) {
	limits := cell.config.Limits
	duration := min(limits.EjectFor<<min(upstream.ejections, 8), limits.MaxEjectFor)
	upstream.ejections++
	upstream.probing = true
	cell.eject(upstream, duration, reason)
}

// resetHealth discards what is known of an earlier incarnation of the upstream.
func (upstream *upstreamState) resetHealth() {
	upstream.consecutiveFailures = 0
	upstream.ejections = 0
	upstream.ejectedUntil = time.Time{}
	upstream.probing = false
	upstream.slowdown = 1
	upstream.nextColdStartAt = time.Time{}
}

// applyProgress records the progress of a run and moves the run if it is
// stalled or runs slowly.
func (cell *Cell) applyProgress(run *runState, percent int) {
	run.listed = true
	run.unlistedAt = time.Time{}
	if run.status == runStarting || run.status == runUnconfirmed {
		cell.confirmStart(run)
	}
	if elapsed := cell.now.Sub(run.latestStart()); percent > 0 && elapsed > minObservedRunTime {
		run.dueAt = cell.now.Add(elapsed * time.Duration(100-percent) / time.Duration(percent))
	}
	if percent > run.percent {
		run.percent = percent
		run.progressedAt = cell.now
	}
	if run.status != runRunning || run.task == nil || run.expectedTime <= 0 {
		return
	}
	elapsed := cell.now.Sub(run.latestStart())
	if cell.stalled(run) {
		cell.ejectWithBackoff(run.upstream, "run without progress")
		cell.moveRun(run, "no progress")
		return
	}
	if percent <= 0 || elapsed < time.Duration(extrapolateAfterShare*float64(run.expectedTime)) || elapsed < 2*minObservedRunTime {
		return
	}
	cell.handleSlowRun(run, elapsed, elapsed*100/time.Duration(percent))
}

// stalled reports whether the time since the last progress of a run exceeds both
// StallAfter and StallShare of its expected run time.
func (cell *Cell) stalled(run *runState) bool {
	sinceProgress := cell.now.Sub(run.progressedAt)
	limits := cell.config.Limits
	return sinceProgress > limits.StallAfter && float64(sinceProgress) > limits.StallShare*float64(run.expectedTime)
}

// moveRun stops a run whose task is expected to end earlier if it starts again
// elsewhere. The next run starts when the end of this one is known.
func (cell *Cell) moveRun(run *runState, reason string) {
	cell.counters.MovedRuns++
	cell.stopRun(run, reason)
}
