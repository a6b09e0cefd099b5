package cell_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/cell"
)

// startPair starts a job of two tasks on one of two upstreams and returns both starts.
func startPair(t *testing.T) (*harness, []cell.StartRun) {
	t.Helper()
	harness := newHarness(t)
	harness.listUpstreams(nil, "u1")
	job := testJob("j", 2)
	job.Objective = 3 * time.Second
	job.TimeLeft = 10 * time.Second
	starts := harness.submit(job)
	assert.Equal(t, len(starts), 2)
	for _, start := range starts {
		harness.confirm(start)
	}
	harness.listUpstreams(nil, "u1", "u2")
	return harness, starts
}

// progress reports the progress of both runs at their upstream and returns the stops.
func (harness *harness) progress(starts []cell.StartRun, first, second int) []cell.StopRun {
	return decisionsOf[cell.StopRun](harness.answerPoll("u1",
		slices.Concat(runningRuns(starts[0].Run, first), runningRuns(starts[1].Run, second))))
}

// Guards against a long task that is stopped and starts anew elsewhere, again and again,
// while the other run on its upstream shows that the upstream is not slow.
func TestLongTaskIsNotMoved(t *testing.T) {
	harness, starts := startPair(t)
	for step := 1; step <= 6; step++ {
		harness.now = harness.now.Add(20 * time.Millisecond)
		assert.Equal(t, len(harness.progress(starts, 14*step, 3*step)), 0)
	}
	assert.Equal(t, harness.cell.Counters().MovedRuns, int64(0))
	for _, upstream := range harness.cell.Dump().Upstreams {
		assert.Assert(t, upstream.Slowdown < 1.3, "%s has a slowdown of %.1f", upstream.ID, upstream.Slowdown)
	}
}

// Guards against runs that stay on a slow upstream, whose runs are all slow.
func TestRunsOnASlowUpstreamAreMoved(t *testing.T) {
	harness, starts := startPair(t)
	stops := 0
	for step := 1; step <= 6; step++ {
		harness.now = harness.now.Add(20 * time.Millisecond)
		stops += len(harness.progress(starts, 2*step, 2*step))
	}
	assert.Equal(t, stops, 2)
	assert.Equal(t, harness.cell.Counters().MovedRuns, int64(2))
}

// Guards against a task that is moved each time that its run is slow, although it was
// slow on another upstream as well, so that it never ends.
func TestTaskIsMovedAsSlowOnce(t *testing.T) {
	harness := newHarness(t)
	harness.listUpstreams(nil, "u1", "u2")
	job := testJob("j", 1)
	job.Objective = 30 * time.Second
	job.TimeLeft = 40 * time.Second
	start := harness.submit(job)[0]
	harness.confirm(start)
	moves := int64(0)
	for percent := 1; percent < 100; percent++ {
		harness.now = harness.now.Add(20 * time.Millisecond)
		decisions := harness.answerPoll(start.Order.Upstream, runningRuns(start.Run, percent))
		if len(decisionsOf[cell.StopRun](decisions)) == 0 {
			continue
		}
		moves++
		assert.Equal(t, moves, int64(1))
		decisions = harness.answerPoll(start.Order.Upstream, nil, endedRun(1, start.Run, cell.EndStopped))
		restarts := decisionsOf[cell.StartRun](decisions)
		assert.Equal(t, len(restarts), 1)
		start, percent = restarts[0], 0
		harness.confirm(start)
	}
	assert.Equal(t, moves, int64(1))
	assert.Equal(t, harness.cell.Counters().MovedInVain, int64(1))
	assert.Equal(t, len(decisionsOf[cell.AnswerJob](harness.answerPoll(start.Order.Upstream, nil, endedRun(2, start.Run, cell.EndDone)))), 1)
}

// Guards against a slowdown that is no number, because probabilities are too small for a
// float64: it would stay so, and the state could not be dumped.
func TestSlowRunsOnAnUpstreamWithManySlots(t *testing.T) {
	harness := newHarness(t)
	large := testUpstream("u1")
	large.Slots = 600
	harness.list(large)
	harness.answerFrom(1, nil)
	job := testJob("j", 600)
	job.Steps[0].Need = cell.Resources{
		MilliCores: 1,
	}
	job.Objective = 3 * time.Second
	job.TimeLeft = 10 * time.Second
	starts := harness.submit(job)
	assert.Equal(t, len(starts), 600)
	for _, start := range starts {
		harness.confirm(start)
	}
	harness.now = harness.now.Add(100 * time.Millisecond)
	var running []cell.RunningRun
	for number, start := range starts[1:] {
		running = append(running, runningRuns(start.Run, 10+80*(number%2))...)
	}
	harness.answerPoll("u1", append(running, runningRuns(starts[0].Run, 10)...))
	harness.now = harness.now.Add(200 * time.Millisecond)
	harness.answerPoll("u1", running, endedRun(1, starts[0].Run, cell.EndDone))
	slowdown := harness.cell.Dump().Upstreams[0].Slowdown
	assert.Assert(t, slowdown >= 1, "%v", slowdown)
}

// Guards against an upstream that was slow for a while and gets no runs any more, because
// only a run could show that it has recovered.
func TestSlowUpstreamIsTriedAgainAfterAPause(t *testing.T) {
	harness, starts := startPair(t)
	for step := 1; step <= 6; step++ {
		harness.now = harness.now.Add(20 * time.Millisecond)
		harness.progress(starts, 2*step, 2*step)
	}
	slowdown := func() float64 { return harness.cell.Dump().Upstreams[0].Slowdown }
	assert.Assert(t, slowdown() > 2, "%.1f", slowdown())
	harness.handle(cell.JobWithdrawn{
		EntryVM: entryVM,
		ID:      "j",
	})
	harness.answerPoll("u1", nil, endedRun(1, starts[0].Run, cell.EndStopped), endedRun(2, starts[1].Run, cell.EndStopped))
	harness.advance(time.Second)
	assert.Assert(t, slowdown() > 2, "%.1f after a second", slowdown())
	harness.advance(1100 * time.Millisecond)
	assert.Assert(t, slowdown() < 2, "%.1f after a pause", slowdown())
}
