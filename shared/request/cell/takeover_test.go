package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/cell"
)

// Guards against a second run of a task that an earlier scheduler has started on an
// upstream that left this one's list: polls of all listed upstreams don't show it.
func TestReassignedJobWaitsForUnknownUpstreams(t *testing.T) {
	harness := newHarness(t)
	harness.unknownUpstreams = true
	harness.listUpstreams(nil, "u1")
	harness.passStopGrace(nil, "u1")
	job := testJob("j", 1)
	job.Generation = 2
	job.Quarantine = 1200 * time.Millisecond
	job.EarlierSets = []uint64{17}
	job.Stretch = 20
	assert.Equal(t, len(harness.submit(job)), 0)
	harness.now = harness.now.Add(100 * time.Millisecond)
	assert.Equal(t, len(decisionsOf[cell.StartRun](harness.answerPoll("u1", nil))), 0)

	// The earlier scheduler has named the only upstreams with runs of this job.
	released := testJob("released", 1)
	released.Generation = 1
	released.Quarantine = time.Second
	released.Released = true
	released.RunsAt = []string{"u1"}
	harness.now = harness.now.Add(time.Millisecond)
	assert.Equal(t, len(harness.submit(released)), 0)
	harness.now = harness.now.Add(time.Millisecond)
	starts := decisionsOf[cell.StartRun](harness.answerPoll("u1", nil))
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Run.Task.Job, "released")
	assert.Equal(t, len(decisionsOf[cell.StartRun](harness.advance(1100*time.Millisecond))), 1, "the quarantine is over")
}

// Guards against a task on an upstream that is not yet in the set of upstreams which the
// entry VMs name to the next scheduler.
func TestUpstreamGetsNoTaskBeforeItIsUsable(t *testing.T) {
	harness := newHarness(t)
	upstream := testUpstream("u1")
	upstream.UsableAt = harness.now.Add(time.Second)
	for _, poll := range decisionsOf[cell.Poll](harness.handle(cell.UpstreamsListed{
		Upstreams: []cell.Upstream{upstream},
	})) {
		harness.handle(harness.pollReply(poll, nil, nil))
	}
	job := testJob("j", 1)
	job.Objective = 2 * time.Second
	assert.Equal(t, len(harness.submit(job)), 0)
	harness.now = harness.now.Add(999 * time.Millisecond)
	assert.Equal(t, len(decisionsOf[cell.StartRun](harness.answerPoll("u1", nil))), 0)
	assert.Equal(t, len(decisionsOf[cell.StartRun](harness.advance(time.Millisecond))), 1)
}
