package cell

import (
	"math"
	"time"
)

const (
	// moveFactor is how many times longer the rest of a run must be than a new
	// run elsewhere before the run is moved.
	moveFactor = 2
	// moveMargin is added for the stop and the new start.
	moveMargin = 100 * time.Millisecond
	// slowUpstreamPrior is the share of slow upstreams that is assumed while fewer
	// are known to be slow.
	slowUpstreamPrior = 0.02
	// likelySlow is the probability above which a slow run counts against its
	// upstream while it goes on.
	likelySlow = 0.5
	// idleSlowdownTime is how long an upstream that counts as slow must be idle before it
	// is tried again. Only runs change its slowdown, and while others are idle it gets
	// none.
	idleSlowdownTime = 2 * time.Second
	// slowUpstreamSlowsRuns is the probability that a run on a slow upstream is slow
	// itself.
	slowUpstreamSlowsRuns = 0.95
	// maxTailShare bounds the share of long tasks of a kind, so that evidence on the
	// upstream always counts.
	maxTailShare = 0.5
)

// handleSlowRun records a run that will take much longer than expected against its
// upstream, and moves it if it is likely to end earlier elsewhere. total is the run time
// that its progress predicts.
//
// A run is slow because its upstream is, or because its task is long; in the latter case
// a move repeats the work.
func (cell *Cell) handleSlowRun(run *runState, elapsed, total time.Duration) {
	ratio := float64(total) / float64(run.expectedTime)
	if ratio <= slowdownTolerance {
		return
	}
	slowShare := cell.upstreamShare(run, ratio)
	if slowShare > likelySlow {
		run.upstream.recordSlowdown(ratio)
	}
	cell.countMoveInVain(run, ratio)
	if run.task.longerThanExpected || ratio <= moveFactor {
		return
	}
	newRunTime := run.job.predictRunTime(run.job.submitted.Steps[run.name.Task.Step].Estimate, 1)
	expectedElsewhere := time.Duration(float64(newRunTime) * (slowShare + (1-slowShare)*ratio))
	if remaining := total - elapsed; remaining > moveFactor*expectedElsewhere+moveMargin {
		run.task.movedAsSlow = true
		cell.moveRun(run, "crawls")
	}
}

// upstreamShare returns the probability that the upstream is the reason why a run takes
// ratio times as long as expected. The other reason is that the task is long.
func (cell *Cell) upstreamShare(run *runState, ratio float64) float64 {
	if ratio <= slowdownTolerance {
		return 1
	}
	if run.task != nil && run.task.longerThanExpected {
		return 0
	}
	longShare := min(cell.config.Estimator.ExceedShare(run.job.submitted.Kind, slowdownTolerance), maxTailShare)
	slowShare := cell.slowUpstreamShare(run.upstream)
	// The logarithms don't underflow, however many runs there are.
	logSlow := math.Log(slowShare * slowUpstreamSlowsRuns)
	logLong := math.Log((1 - slowShare) * longShare)
	for _, other := range run.upstream.runs {
		if other == run {
			continue
		}
		otherRatio, known := cell.progressRatio(other)
		switch {
		case !known:
		case otherRatio > slowdownTolerance:
			logSlow += math.Log(slowUpstreamSlowsRuns)
			logLong += math.Log(longShare)
		default:
			logSlow += math.Log(1 - slowUpstreamSlowsRuns)
			logLong += math.Log(1 - longShare)
		}
	}
	return 1 / (1 + math.Exp(logLong-logSlow))
}

// slowUpstreamShare returns the probability that an upstream is slow by what is known of
// it beside its present runs: the share of the upstreams that are slow, or a half if it
// was slow itself lately.
func (cell *Cell) slowUpstreamShare(upstream *upstreamState) float64 {
	if upstream.slowdown > slowdownTolerance {
		return likelySlow
	}
	return min(max(float64(cell.slowUpstreams)/float64(max(len(cell.upstreamOrder), 1)), slowUpstreamPrior), likelySlow)
}

// progressRatio returns the ratio of the run time that a run's progress predicts to the
// expected one, and false if the run is too young to tell.
func (cell *Cell) progressRatio(run *runState) (float64, bool) {
	elapsed := run.progressedAt.Sub(run.latestStart())
	if run.expectedTime <= 0 || run.percent <= 0 || elapsed < 2*minObservedRunTime ||
		elapsed < time.Duration(extrapolateAfterShare*float64(run.expectedTime)) && run.percent < 100*extrapolateAfterShare {
		return 0, false
	}
	return float64(elapsed) * 100 / float64(run.percent) / float64(run.expectedTime), true
}

// countMoveInVain counts the move of a task whose next run is slow as well, or takes as
// long: the task is long, and is not moved as slow again.
func (cell *Cell) countMoveInVain(run *runState, ratio float64) {
	if run.task == nil || !run.task.movedAsSlow || run.task.longerThanExpected || ratio <= slowdownTolerance {
		return
	}
	run.task.longerThanExpected = true
	cell.counters.MovedInVain++
}

// forgetSlowdown lets an upstream that counted as slow, and has been idle since, get a run
// that shows whether it still is.
func (upstream *upstreamState) forgetSlowdown(now time.Time) {
	if upstream.slowdown > slowdownTolerance && len(upstream.runs) == 0 && now.Sub(upstream.lastRunAt) > idleSlowdownTime {
		upstream.slowdown = slowdownTolerance
	}
}
