package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/cell"
)

// Guards against a run of a withdrawn job that goes on beside the next scheduler's run: the
// upstream was yielded when the job was withdrawn, and its lease is renewed after a reclaim.
func TestRunWithdrawnWhileYieldedIsStoppedAfterTheReclaim(t *testing.T) {
	harness := newHarness(t)
	harness.listUpstreams(nil, "u1")
	job := testJob("j", 1)
	job.Steps[0].Estimate = 5 * time.Second
	job.TimeLeft = time.Minute
	start := harness.submit(job)[0]
	harness.confirm(start)
	fenced := harness.pollReply(cell.Poll{
		Order: start.Order,
	}, nil, nil)
	fenced.Reply.Outcome = cell.OutcomeFenced
	harness.handle(fenced)
	harness.handle(cell.JobWithdrawn{
		EntryVM: entryVM,
		ID:      "j",
	})
	stops, renewals := 0, 0
	for range 12 {
		decisions := harness.advance(100 * time.Millisecond)
		decisions = append(decisions, harness.answerPoll("u1", runningRuns(start.Run, 10))...)
		stops += len(decisionsOf[cell.StopRun](decisions))
		for _, poll := range decisionsOf[cell.Poll](decisions) {
			if poll.Order.LeaseEnd > 0 {
				renewals++
			}
		}
	}
	assert.Assert(t, renewals > 0, "the upstream was reclaimed")
	assert.Assert(t, stops > 0)
}
