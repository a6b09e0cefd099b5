package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/cell"
)

// Guards against a second run of a task on an upstream that has drained and lost its path to
// the store, so that its entry is removed while it goes on: the next scheduler took it for gone,
// or for ended once it refused a connection. One on which the earlier scheduler reported no runs
// costs neither a wait nor polls.
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
		// idle is set if the earlier scheduler reported no runs there.
		idle bool
		// starts and adopts say what the answer of the upstream allows.
		starts, adopts int
	}{
		{"lists the run", cell.OutcomeDone, runningRuns(run, 50), false, 0, 1},
		{"does not answer", cell.OutcomeUnknown, nil, false, 0, 0},
		{"refuses connections", cell.OutcomeRefused, nil, false, 0, 0},
		{"another worker at its address", cell.OutcomeRestarted, nil, false, 0, 0},
		{"reported without runs", cell.OutcomeRefused, nil, true, 1, 0},
	} {
		for _, isLeaving := range []bool{true, false} {
			t.Run(test.name, func(t *testing.T) {
				harness := newHarness(t)
				removed := testUpstream("u2")
				removed.Removed = true
				removed.Leaving = isLeaving
				harness.idleRemoved = test.idle
				polls := make(map[string]cell.Poll)
				collectPolls := func(decisions []cell.Decision) {
					for _, poll := range decisionsOf[cell.Poll](decisions) {
						polls[poll.Order.Upstream] = poll
					}
				}
				collectPolls(harness.handle(cell.UpstreamsListed{
					Upstreams: []cell.Upstream{testUpstream("u1"), removed},
				}))
				harness.handle(harness.pollReply(polls["u1"], nil, nil))
				harness.passStopGrace(nil, "u1")
				job := testJob("j", 1)
				job.Generation = 1
				job.Quarantine = time.Second
				job.Stretch = 20
				harness.submit(job)
				collectPolls(harness.decisions)
				harness.now = harness.now.Add(time.Millisecond)
				starts := decisionsOf[cell.StartRun](harness.answerPoll("u1", nil))
				if test.idle {
					assert.Equal(t, len(starts), test.starts)
					assert.Equal(t, polls["u2"].Order.Upstream, "", "no answer is needed")
					return
				}
				assert.Equal(t, len(starts), 0, "u2 may run the task")
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
