package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/cell"
)

// Guards against a start that an upstream carries out late in a new process, beside the
// next run of its task: the lease end of the order is a time on the clock of the earlier
// process, so the new one has to see a higher token before the task starts again.
func TestLateStartIsFencedBeforeTheNextStartAfterARestart(t *testing.T) {
	harness := newHarness(t)
	harness.list(testUpstream("u1"))
	harness.answerFrom(1, nil)
	job := testJob("j", 1)
	job.Objective = 5 * time.Second
	job.TimeLeft = time.Minute
	start := harness.submit(job)[0]
	lost := func(order cell.Order) cell.Reply {
		return cell.Reply{
			Order:   order,
			Outcome: cell.OutcomeUnknown,
			SentAt:  harness.now,
		}
	}
	harness.handle(cell.StartReplied{
		Reply: lost(start.Order),
		Run:   start.Run,
	})
	harness.handle(cell.PollReplied{
		Reply: lost(start.Order),
	})
	harness.handle(cell.PollReplied{
		Reply:     lost(start.Order),
		Immediate: true,
	})
	lapsed := decisionsOf[cell.RunLost](harness.advance(2 * cell.DefaultLimits().Lease))
	assert.Equal(t, len(lapsed), 1)

	decisions := harness.answerFrom(2, nil)
	assert.Equal(t, len(decisionsOf[cell.StartRun](decisions)), 0, "the new process has not seen a higher token")
	polls := decisionsOf[cell.Poll](decisions)
	assert.Equal(t, len(polls), 1)
	assert.Assert(t, polls[0].Order.Token > start.Order.Token)
	harness.now = harness.now.Add(time.Millisecond)
	starts := decisionsOf[cell.StartRun](harness.answerFrom(2, nil))
	assert.Equal(t, len(starts), 1)
	assert.Assert(t, starts[0].Order.Token > start.Order.Token)
}

// Guards against a start at an upstream that another scheduler has fenced: a higher token
// that this one takes for an upstream which has restarted, or which it takes back, must not
// pass the fence at others.
func TestTokenIsRaisedForOneUpstream(t *testing.T) {
	harness := newHarness(t)
	harness.listUpstreams(nil, "u1", "u2")
	first := harness.token
	harness.answerFrom(2, nil)
	assert.Assert(t, harness.token > first, "u1 has restarted")
	start := harness.submit(testJob("j", 1))[0]
	assert.Equal(t, start.Order.Upstream, "u2")
	assert.Equal(t, start.Order.Token, first)

	fenced := harness.pollReply(cell.Poll{
		Order: cell.Order{
			Upstream: "u1",
			Token:    harness.token,
		},
	}, nil, nil)
	fenced.Reply.Outcome = cell.OutcomeFenced
	harness.handle(fenced)
	second := harness.token
	harness.advance(cell.DefaultLimits().FirmReclaimDelay)
	assert.Assert(t, harness.token > second, "u1 is taken back")
	harness.answerPoll("u2", nil, endedRun(1, start.Run, cell.EndDone))
	start = harness.submit(testJob("k", 1))[0]
	assert.Equal(t, start.Order.Upstream, "u2")
	assert.Equal(t, start.Order.Token, first)
}
