package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/cell"
)

// Guards against a second run of an adopted task: the lease that an earlier scheduler
// gave its upstream goes on when the upstream is lost before this one renews it.
func TestAdoptedRunOutlivesTheLeaseOfTheEarlierScheduler(t *testing.T) {
	harness := newHarness(t)
	adopted := cell.RunName{
		Task: cell.TaskName{
			Job: "j",
		},
		Number: 1,
	}
	unknown := cell.RunName{
		Task: cell.TaskName{
			Job: "unknown",
		},
		Number: 1,
	}
	job := testJob("j", 2)
	job.Generation = 1
	job.Quarantine = 1200 * time.Millisecond
	job.Objective = time.Second
	// The unknown run keeps this scheduler from renewing the lease.
	runs := map[string][]cell.RunningRun{
		"u1": append(runningRuns(adopted, 10), runningRuns(unknown, 10)...),
	}
	harness.listUpstreams(runs, "u1", "u2")
	assert.Equal(t, len(harness.submit(job)), 0)
	harness.passStopGrace(runs, "u1", "u2")
	assert.Equal(t, len(decisionsOf[cell.StartRun](harness.decisions)), 1, "the other task starts when all upstreams are verified")
	for range 2 {
		harness.handle(cell.PollReplied{
			Reply: cell.Reply{
				Order: cell.Order{
					Upstream: "u1",
					Token:    harness.token,
				},
				Outcome: cell.OutcomeUnknown,
			},
		})
	}
	harness.now = harness.now.Add(150 * time.Millisecond)
	harness.answerPoll("u2", nil)
	assert.Equal(t, len(decisionsOf[cell.StartRun](harness.advance(cell.DefaultLimits().StopGrace))), 0,
		"the earlier scheduler may have renewed the lease just before the takeover")
	harness.now = harness.now.Add(cell.DefaultLimits().Lease)
	harness.answerPoll("u2", nil)
	assert.Equal(t, len(decisionsOf[cell.StartRun](harness.advance(cell.DefaultLimits().ExpiryMargin))), 1)
}
