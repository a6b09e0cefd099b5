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
	limits := cell.DefaultLimits()
	for isFenced, earliest := range map[bool]time.Duration{false: limits.Lease, true: limits.YieldGrace} {
		harness := newHarness(t)
		harness.listUpstreams(nil, "u1", "u2", "u3")
		harness.passStopGrace(nil, "u1", "u2", "u3")
		job := testJob("j", 1)
		job.TimeLeft = 10 * time.Second
		job.Stretch = 100
		lost := harness.submit(job)[0].Order.Upstream
		others := slices.DeleteFunc([]string{"u1", "u2", "u3"}, func(id string) bool { return id == lost })
		reply := func(id string, outcome cell.Outcome) {
			replied := cell.PollReplied{}
			replied.Reply.Order.Upstream = id
			replied.Reply.Order.Token = harness.token
			replied.Reply.Outcome = outcome
			harness.handle(replied)
		}
		reply(lost, cell.OutcomeUnknown)
		reply(lost, cell.OutcomeUnknown)
		if isFenced {
			reply(others[0], cell.OutcomeFenced)
		}
		starts, waited := 0, time.Duration(0)
		for ; starts == 0 && waited < 5*time.Second; waited += 50 * time.Millisecond {
			decisions := harness.advance(50 * time.Millisecond)
			starts = len(decisionsOf[cell.StartRun](append(decisions, harness.answerPoll(others[1], nil)...)))
		}
		assert.Assert(t, waited >= earliest && waited < earliest+500*time.Millisecond, "fenced: %v, started after %v", isFenced, waited)
	}
}
