package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/cell"
)

// Guards against a second run of a task beside one that is stopped: an upstream does not
// list a run that it is stopping, although the run goes on for up to the stop grace.
func TestMovedTaskWaitsForTheStopGrace(t *testing.T) {
	harness := newHarness(t)
	harness.listUpstreams(nil, "u1", "u2")
	job := testJob("j", 1)
	job.Objective = time.Second
	start := harness.submit(job)[0]
	harness.confirm(start)
	harness.now = harness.now.Add(cell.DefaultLimits().StallAfter + time.Millisecond)
	other := "u1"
	if start.Order.Upstream == other {
		other = "u2"
	}
	harness.answerPoll(other, nil)
	stops := decisionsOf[cell.StopRun](harness.answerPoll(start.Order.Upstream, runningRuns(start.Run, 0)))
	assert.Equal(t, len(stops), 1, "the run makes no progress")

	harness.now = harness.now.Add(10 * time.Millisecond)
	assert.Equal(t, len(decisionsOf[cell.StartRun](harness.answerPoll(start.Order.Upstream, nil))), 0)
	// The stop arrives only now.
	harness.now = harness.now.Add(cell.DefaultLimits().StopGrace)
	harness.answerPoll(start.Order.Upstream, runningRuns(start.Run, 0))
	harness.now = harness.now.Add(time.Millisecond)
	assert.Equal(t, len(decisionsOf[cell.StartRun](harness.answerPoll(start.Order.Upstream, nil))), 0)
	harness.now = harness.now.Add(cell.DefaultLimits().StopGrace)
	assert.Equal(t, len(decisionsOf[cell.StartRun](harness.answerPoll(start.Order.Upstream, nil))), 1)
}

// Guards against a second run of a task beside one that another scheduler has stopped: the
// run is in its stop grace when this one takes the upstream back.
func TestRunThatAnotherSchedulerStoppedWaitsForTheStopGrace(t *testing.T) {
	harness := newHarness(t)
	harness.listUpstreams(nil, "u1", "u2")
	job := testJob("j", 1)
	job.Objective = time.Second
	start := harness.submit(job)[0]
	harness.confirm(start)
	harness.handle(cell.PollReplied{
		Reply: harness.reply(start.Order, cell.OutcomeFenced),
	})
	harness.advance(cell.DefaultLimits().FirmReclaimDelay)
	assert.Equal(t, len(decisionsOf[cell.StartRun](harness.answerPoll(start.Order.Upstream, nil))), 0)
	harness.now = harness.now.Add(cell.DefaultLimits().StopGrace)
	assert.Equal(t, len(decisionsOf[cell.StartRun](harness.answerPoll(start.Order.Upstream, nil))), 1)
}
