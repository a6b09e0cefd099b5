package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/cell"
)

// Guards against a second run of a task whose unanswered start was stopped at an upstream that
// restarted then: the new process does not know of the stop and may carry the start out late.
func TestStopConfirmedBeforeARestartProvesNothing(t *testing.T) {
	harness := newHarness(t)
	harness.list(labelledUpstream(1, "b"))
	harness.answerFrom(1, nil)
	harness.handle(cell.UpstreamsListed{
		Upstreams: []cell.Upstream{labelledUpstream(1, "b"), testUpstream("u2")},
	})
	job := testJob("j", 1)
	job.Steps[0].Label = "b"
	job.Steps[0].Estimate = 5 * time.Second
	job.TimeLeft = time.Minute
	start := harness.submit(job)[0]
	harness.now = harness.now.Add(80 * time.Millisecond)
	harness.handle(cell.StartReplied{
		Reply: cell.Reply{
			Order:   start.Order,
			Outcome: cell.OutcomeUnknown,
			SentAt:  harness.now,
		},
		Run: start.Run,
	})
	stops := decisionsOf[cell.StopRun](harness.answerFrom(1, nil))
	assert.Equal(t, len(stops), 1)
	harness.now = harness.now.Add(time.Millisecond)
	harness.handle(cell.StopReplied{
		Reply: harness.reply(stops[0].Order, cell.OutcomeDone),
		Run:   start.Run,
	})
	harness.now = harness.now.Add(2 * cell.DefaultLimits().StopGrace)
	lost := decisionsOf[cell.RunLost](harness.answerFrom(2, nil))
	assert.Equal(t, len(lost), 0, "the new process has confirmed no stop")
	harness.now = harness.now.Add(time.Millisecond)
	lost = decisionsOf[cell.RunLost](harness.answerFrom(2, nil))
	assert.Equal(t, len(lost), 0, "nor has it when it has seen a higher token")

	stops = decisionsOf[cell.StopRun](harness.advance(time.Millisecond))
	assert.Equal(t, len(stops), 1, "the new process gets a stop as well")
	earlierReply := harness.reply(stops[0].Order, cell.OutcomeDone)
	earlierReply.SentAt = harness.now.Add(-time.Second)
	harness.handle(cell.StopReplied{
		Reply: earlierReply,
		Run:   start.Run,
	})
	harness.now = harness.now.Add(cell.DefaultLimits().StopGrace)
	lost = decisionsOf[cell.RunLost](harness.answerFrom(2, nil))
	assert.Equal(t, len(lost), 0, "a stop that was sent before the restart was known confirms nothing")

	stops = decisionsOf[cell.StopRun](harness.advance(cell.DefaultLimits().StopRetryDelay))
	assert.Equal(t, len(stops), 1)
	harness.handle(cell.StopReplied{
		Reply: harness.reply(stops[0].Order, cell.OutcomeDone),
		Run:   start.Run,
	})
	harness.now = harness.now.Add(cell.DefaultLimits().StopGrace)
	lost = decisionsOf[cell.RunLost](harness.answerFrom(2, nil))
	assert.Equal(t, len(lost), 1)
}
