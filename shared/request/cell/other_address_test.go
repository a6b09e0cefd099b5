package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/cell"
)

// Guards against a second run of a task whose worker got an entry of another writer with a
// later start and the address of another worker: the answer of that one ends the first run.
func TestAnswerAtTheAddressOfANewEntryEndsNoRuns(t *testing.T) {
	harness := newHarness(t)
	harness.list(testUpstream("u1"))
	harness.answerFrom(1, nil)
	start := harness.submit(testJob("j", 1))[0]
	harness.confirm(start)
	harness.now = harness.now.Add(10 * time.Millisecond)
	harness.answerFrom(1, runningRuns(start.Run, 10))
	oddEntry := testUpstream("u1")
	oddEntry.Incarnation = 2
	oddEntry.Address = "u2:80"
	harness.list(oddEntry)
	polls := decisionsOf[cell.Poll](harness.decisions)
	assert.Equal(t, len(polls), 1)
	reply := harness.reply(polls[0].Order, cell.OutcomeRestarted)
	reply.Clock = 0
	decisions := harness.handle(cell.PollReplied{
		Reply:     reply,
		Immediate: true,
	})
	assert.Equal(t, len(decisionsOf[cell.RunLost](decisions)), 0, "polled at %s", polls[0].Order.Address)
}
