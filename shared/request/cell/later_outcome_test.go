package cell_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/cell"
)

// Guards against a second run of a task, and against a job that is answered as not run,
// after a reply of a relay of a later version whose outcome this version does not know.
func TestUnknownOutcomeOfAStartMayHaveStartedTheRun(t *testing.T) {
	const laterOutcome = cell.OutcomeInvalid + 1
	harness := newHarness(t)
	harness.listUpstreams(nil, "u1")
	start := harness.submit(testJob("j", 1))[0]
	starts := decisionsOf[cell.StartRun](harness.handle(cell.StartReplied{
		Reply: harness.reply(start.Order, laterOutcome),
		Run:   start.Run,
	}))
	assert.Equal(t, len(starts), 0, "the first run may go on")
	answers := harness.cancel("j")
	assert.Equal(t, len(answers), 1)
	assert.Equal(t, answers[0].Answer.Result, cell.Interrupted)
}
