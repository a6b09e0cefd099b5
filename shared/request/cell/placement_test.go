package cell_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/cell"
)

// Guards against late jobs that are never tried, and refused in the end, while upstreams are
// free: so many jobs before them wait for a faster upstream.
func TestLateJobsAreNotHeldBackByJobsThatWait(t *testing.T) {
	harness := newHarness(t)
	harness.warmUp.Duration = time.Hour
	harness.cell = harness.newCell()
	slow := testUpstream("slow")
	slow.ColdUntil = harness.now.Add(time.Hour)
	for _, poll := range decisionsOf[cell.Poll](harness.handle(cell.UpstreamsListed{
		Upstreams: []cell.Upstream{testUpstream("fast"), slow},
	})) {
		harness.handle(harness.pollReply(poll, nil, nil))
	}
	submit := func(id string, age time.Duration) []cell.StartRun {
		job := testJob(id, 1)
		job.Steps[0].Need.MilliCores = 16_000
		job.Stretch = 1.2
		job.Age = age
		return harness.submit(job)
	}
	assert.Equal(t, len(submit("first", 0)), 1)
	for number := range 60 {
		assert.Equal(t, len(submit(fmt.Sprint("waits-", number), 0)), 0, "it waits for the fast upstream")
	}
	starts := submit("late", 100*time.Millisecond)
	starts = append(starts, decisionsOf[cell.StartRun](harness.advance(10*time.Millisecond))...)
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Order.Upstream, "slow")
	assert.Equal(t, starts[0].Run.Task.Job, "late")
}
