package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/cell"
)

// takeOverWithRemoved makes a Cell with an upstream "u1" that is listed and another one, "u2",
// that has left the list, submits a job of an earlier Cell, and answers the polls of u1. It
// returns the last poll of u2.
func (harness *harness) takeOverWithRemoved(isLeaving bool) cell.Poll {
	removed := testUpstream("u2")
	removed.Removed = true
	removed.Leaving = isLeaving
	harness.listUpstreamsAs(testUpstream("u1"), removed)
	job := testJob("j", 1)
	job.Generation = 1
	job.Quarantine = time.Second
	job.Stretch = 20
	assert.Equal(harness.t, len(harness.submit(job)), 0)
	harness.now = harness.now.Add(60 * time.Millisecond)
	assert.Equal(harness.t, len(decisionsOf[cell.StartRun](harness.answerPoll("u1", nil))), 0, "u2 may run the task")
	harness.now = harness.now.Add(100 * time.Millisecond)
	polls := decisionsOf[cell.Poll](harness.handle(cell.Tick{}))
	for _, poll := range polls {
		if poll.Order.Upstream == "u2" {
			return poll
		}
	}
	harness.t.Fatal("u2 is not polled")
	return cell.Poll{}
}

// listUpstreamsAs lists upstreams, and answers the first polls of those that have not left the
// list. The polls of the others get no answer.
func (harness *harness) listUpstreamsAs(upstreams ...cell.Upstream) {
	for _, poll := range decisionsOf[cell.Poll](harness.handle(cell.UpstreamsListed{
		Upstreams: upstreams,
	})) {
		replied := harness.pollReply(poll, nil, nil)
		for _, upstream := range upstreams {
			if upstream.ID == poll.Order.Upstream && upstream.Removed {
				replied.Reply.Outcome = cell.OutcomeUnknown
			}
		}
		harness.handle(replied)
	}
	harness.passStopGrace(nil, "u1")
}

// Guards against a second run of a task on an upstream that has drained and lost its path to
// the store, so that its entry is removed while it goes on: the next scheduler took it for gone.
func TestDrainedUpstreamThatLeftTheListIsPolled(t *testing.T) {
	for _, test := range []struct {
		name string
		// answer returns the reply to a poll of the upstream.
		answer func(harness *harness, poll cell.Poll) cell.PollReplied
		// starts and adopts say what the answer allows.
		starts, adopts int
	}{
		{"lists the run", func(harness *harness, poll cell.Poll) cell.PollReplied {
			return harness.pollReply(poll, runningRuns(cell.RunName{
				Task: cell.TaskName{
					Job: "j",
				},
				Number: 1,
			}, 50), nil)
		}, 0, 1},
		{"does not answer", func(harness *harness, poll cell.Poll) cell.PollReplied {
			return cell.PollReplied{
				Reply:     harness.reply(poll.Order, cell.OutcomeUnknown),
				Immediate: true,
			}
		}, 0, 0},
		{"refuses connections", func(harness *harness, poll cell.Poll) cell.PollReplied {
			return cell.PollReplied{
				Reply:     harness.reply(poll.Order, cell.OutcomeRefused),
				Immediate: true,
			}
		}, 1, 0},
	} {
		for _, isLeaving := range []bool{true, false} {
			t.Run(test.name, func(t *testing.T) {
				harness := newHarness(t)
				poll := harness.takeOverWithRemoved(isLeaving)
				decisions := harness.handle(test.answer(harness, poll))
				assert.Equal(t, len(decisionsOf[cell.StartRun](decisions)), test.starts)
				assert.Equal(t, harness.cell.Counters().AdoptedRuns, int64(test.adopts))
				decisions = harness.advance(time.Second)
				assert.Equal(t, len(decisionsOf[cell.StartRun](decisions)), 1-test.starts-test.adopts, "the quarantine is over")
			})
		}
	}
}

// Guards against polls of a worker that has exited, which cost it and the entry VM for as long
// as its entry is remembered.
func TestUpstreamThatHasEndedIsNotPolled(t *testing.T) {
	harness := newHarness(t)
	poll := harness.takeOverWithRemoved(true)
	harness.handle(cell.PollReplied{
		Reply:     harness.reply(poll.Order, cell.OutcomeRefused),
		Immediate: true,
	})
	for range 20 {
		for _, poll := range decisionsOf[cell.Poll](harness.advance(25 * time.Millisecond)) {
			assert.Assert(t, poll.Order.Upstream != "u2")
		}
	}
}
