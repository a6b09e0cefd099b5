package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/cell"
)

// Guards against a second run of a task on an upstream that has drained and lost its path to
// the store, so that its entry is removed while it goes on: the next scheduler took it for gone.
// One that has exited costs neither a wait nor further polls.
func TestDrainedUpstreamThatLeftTheListIsPolled(t *testing.T) {
	run := cell.RunName{
		Task: cell.TaskName{
			Job: "j",
		},
		Number: 1,
	}
	for _, test := range []struct {
		name    string
		outcome cell.Outcome
		running []cell.RunningRun
		// starts and adopts say what the answer of the upstream allows.
		starts, adopts int
	}{
		{"lists the run", cell.OutcomeDone, runningRuns(run, 50), 0, 1},
		{"does not answer", cell.OutcomeUnknown, nil, 0, 0},
		{"refuses connections", cell.OutcomeRefused, nil, 1, 0},
	} {
		for _, isLeaving := range []bool{true, false} {
			t.Run(test.name, func(t *testing.T) {
				harness := newHarness(t)
				removed := testUpstream("u2")
				removed.Removed = true
				removed.Leaving = isLeaving
				polls := make(map[string]cell.Poll)
				for _, poll := range decisionsOf[cell.Poll](harness.handle(cell.UpstreamsListed{
					Upstreams: []cell.Upstream{testUpstream("u1"), removed},
				})) {
					polls[poll.Order.Upstream] = poll
				}
				harness.handle(harness.pollReply(polls["u1"], nil, nil))
				harness.passStopGrace(nil, "u1")
				job := testJob("j", 1)
				job.Generation = 1
				job.Quarantine = time.Second
				job.Stretch = 20
				harness.submit(job)
				harness.now = harness.now.Add(time.Millisecond)
				assert.Equal(t, len(decisionsOf[cell.StartRun](harness.answerPoll("u1", nil))), 0, "u2 may run the task")
				answer := harness.pollReply(polls["u2"], test.running, nil)
				answer.Reply.Outcome = test.outcome
				decisions := harness.handle(answer)
				assert.Equal(t, len(decisionsOf[cell.StartRun](decisions)), test.starts)
				assert.Equal(t, harness.cell.Counters().AdoptedRuns, int64(test.adopts))
				decisions = harness.advance(time.Second)
				assert.Equal(t, len(decisionsOf[cell.StartRun](decisions)), 1-test.starts-test.adopts, "the quarantine is over")
				for _, poll := range decisionsOf[cell.Poll](decisions) {
					assert.Assert(t, test.outcome == cell.OutcomeDone || poll.Order.Upstream != "u2", "no answer is needed")
				}
			})
		}
	}
}
