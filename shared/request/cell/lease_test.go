package cell_test

import (
	"slices"
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

// Guards against a second run of a task on an upstream that this process can't reach, while the
// process that has fenced it elsewhere renews the lease there.
func TestLeaseMayBeRenewedByTheProcessThatFenced(t *testing.T) {
	for _, isFenced := range []bool{false, true} {
		harness := newHarness(t)
		harness.listUpstreams(nil, "u1", "u2", "u3")
		harness.passStopGrace(nil, "u1", "u2", "u3")
		job := testJob("j", 1)
		job.TimeLeft = 10 * time.Second
		job.Stretch = 100
		start := harness.submit(job)[0]
		harness.confirm(start)
		others := slices.DeleteFunc([]string{"u1", "u2", "u3"}, func(id string) bool { return id == start.Order.Upstream })
		lose := func(id string, outcome cell.Outcome) {
			harness.handle(cell.PollReplied{
				Reply: harness.reply(cell.Order{
					Upstream: id,
					Token:    harness.token,
				}, outcome),
			})
		}
		for range 2 {
			lose(start.Order.Upstream, cell.OutcomeUnknown)
		}
		if isFenced {
			lose(others[0], cell.OutcomeFenced)
		}
		startedAfter := time.Duration(0)
		for waited := time.Duration(0); startedAfter == 0 && waited < 5*time.Second; waited += 50 * time.Millisecond {
			decisions := harness.advance(50 * time.Millisecond)
			decisions = append(decisions, harness.answerPoll(others[1], nil)...)
			if len(decisionsOf[cell.StartRun](decisions)) > 0 {
				startedAfter = waited
			}
		}
		limits := cell.DefaultLimits()
		assert.Assert(t, startedAfter > 0, "fenced: %v", isFenced)
		assert.Equal(t, startedAfter >= limits.YieldGrace-100*time.Millisecond, isFenced, "started after %v", startedAfter)
		assert.Assert(t, startedAfter >= limits.Lease)
	}
}
