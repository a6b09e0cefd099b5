package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/cell"
)

// Guards against a run of a withdrawn job that goes on beside the next scheduler's run: the
// upstream was yielded when the job was withdrawn, and its lease is renewed after a reclaim
// although the stop is not carried out.
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
	var stop cell.StopRun
	reclaims, renewals := 0, 0
	for range 12 {
		decisions := harness.advance(100 * time.Millisecond)
		decisions = append(decisions, harness.answerPoll("u1", runningRuns(start.Run, 10))...)
		for _, ordered := range decisionsOf[cell.StopRun](decisions) {
			stop = ordered
		}
		for _, poll := range decisionsOf[cell.Poll](decisions) {
			if poll.Order.Token > start.Order.Token {
				reclaims++
			}
			if poll.Order.LeaseEnd > 0 {
				renewals++
			}
		}
	}
	assert.Assert(t, reclaims > 0, "the upstream was reclaimed")
	assert.Equal(t, stop.Run, start.Run)
	assert.Equal(t, renewals, 0, "the stop has not been carried out")

	harness.handle(cell.StopReplied{
		Reply: harness.reply(stop.Order, cell.OutcomeDone),
		Run:   stop.Run,
	})
	decisions := harness.advance(100 * time.Millisecond)
	decisions = append(decisions, harness.answerPoll("u1", nil)...)
	decisions = append(decisions, harness.answerPoll("u1", nil)...)
	for _, poll := range decisionsOf[cell.Poll](decisions) {
		if poll.Order.LeaseEnd > 0 {
			renewals++
		}
	}
	assert.Assert(t, renewals > 0, "the upstream serves again")
}
