package cell_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/cell"
)

// Guards against a job that is answered as not run although the Cell has seen that a run of
// it exists or has existed, which its submission does not say.
func TestJobWithAnEarlierRunIsNeverAnsweredAsNotRun(t *testing.T) {
	earlier := cell.RunName{
		Task: cell.TaskName{
			Job: "j",
		},
		Number: 1,
	}
	fill := func(harness *harness) cell.RunName {
		running := testJob("running", 1)
		running.Steps[0].Need.MilliCores = 16_000
		start := harness.submit(running)[0]
		harness.confirm(start)
		return start.Run
	}
	refuse := func(harness *harness, start cell.StartRun, outcome cell.Outcome) []cell.StartRun {
		return decisionsOf[cell.StartRun](harness.handle(cell.StartReplied{
			Reply: harness.reply(start.Order, outcome),
			Run:   start.Run,
		}))
	}
	for _, test := range []struct {
		name string
		play func(harness *harness)
	}{
		{"failed while the job waits", func(harness *harness) {
			run := fill(harness)
			harness.submit(testJob("j", 1))
			harness.answerPoll("u1", runningRuns(run, 10), endedRun(1, earlier, cell.EndFailed))
		}},
		{"stopped before the job was submitted", func(harness *harness) {
			run := fill(harness)
			harness.answerPoll("u1", runningRuns(run, 10), endedRun(1, earlier, cell.EndStopped))
			harness.submit(testJob("j", 1))
		}},
		{"a later run has ended on the upstream", func(harness *harness) {
			starts := refuse(harness, harness.submit(testJob("j", 1))[0], cell.OutcomeStale)
			assert.Equal(t, len(starts), 1)
			assert.Equal(t, len(refuse(harness, starts[0], cell.OutcomeFull)), 0)
		}},
		{"still being stopped", func(harness *harness) {
			harness.confirm(harness.submit(testJob("j", 1))[0])
			harness.handle(cell.JobWithdrawn{
				EntryVM: entryVM,
				ID:      "j",
			})
			assert.Equal(t, len(harness.submit(testJob("j", 1))), 0)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			harness := newHarness(t)
			harness.listUpstreams(nil, "u1")
			test.play(harness)
			answers := harness.cancel("j")
			assert.Equal(t, len(answers), 1)
			assert.Equal(t, answers[0].Answer.Result, cell.Interrupted)
		})
	}
}

// Guards against a job that is reported as not started when the Cell steps down although one
// of its tasks is done: an upstream listed the end of a run that the Cell did not start.
func TestJobWithADoneTaskIsNotReleasedAsNotStarted(t *testing.T) {
	harness := newHarness(t)
	harness.listUpstreams(nil, "u1")
	running := testJob("running", 1)
	running.Steps[0].Need.MilliCores = 16_000
	start := harness.submit(running)[0]
	harness.confirm(start)
	harness.submit(testJob("j", 2))
	harness.answerPoll("u1", runningRuns(start.Run, 10), endedRun(1, cell.RunName{
		Task: cell.TaskName{
			Job: "j",
		},
		Number: 1,
	}, cell.EndDone))
	for _, release := range harness.cell.Release() {
		assert.Assert(t, !release.NotStarted, release.ID)
	}
}
