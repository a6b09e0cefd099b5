package cell_test

import (
	"testing"
	"time"

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
		// The caller waits for longer than the route's time budget, so the second entry VM can't
		// tell that the job was sent before.
		{"started for a lost entry VM", func(harness *harness) {
			harness.confirm(harness.submit(testJob("j", 1))[0])
			harness.handle(cell.EntryVMLost{
				EntryVM: entryVM,
			})
			starts := decisionsOf[cell.StartRun](harness.handle(cell.JobSubmitted{
				EntryVM: "vm-2#b",
				Job:     testJob("j", 1),
			}))
			assert.Equal(t, len(starts), 0, "its run has not stopped")
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

// newFullHarness returns a harness whose only upstream runs a job that needs all of it.
func newFullHarness(t *testing.T) *harness {
	t.Helper()
	harness := newHarness(t)
	harness.listUpstreams(nil, "u1")
	running := testJob("running", 1)
	running.Steps[0].Need.MilliCores = 16_000
	harness.confirm(harness.submit(running)[0])
	return harness
}

// cancel cancels a job and returns its answers.
func (harness *harness) cancel(id string) []cell.AnswerJob {
	_, decisions := harness.cell.Cancel(harness.now, id)
	return decisionsOf[cell.AnswerJob](decisions)
}

// Guards against a job that is answered as not run, or reported as not started when the Cell
// steps down, although another scheduler may have started it: this one still has it from
// before, and its withdrawal was lost.
func TestHistoryOfAJobThatComesAgainIsKept(t *testing.T) {
	for _, test := range []struct {
		name    string
		entryVM string
		change  func(job *cell.Job)
	}{
		{"after another scheduler had it", entryVM, func(job *cell.Job) {
			job.Generation = 2
			job.Quarantine = time.Second
		}},
		{"from another entry VM", "vm-2#b", func(job *cell.Job) { job.ResentAfter = time.Second }},
	} {
		t.Run(test.name, func(t *testing.T) {
			var harnesses [2]*harness
			for i := range harnesses {
				harnesses[i] = newFullHarness(t)
				harnesses[i].submit(testJob("j", 1))
				again := testJob("j", 1)
				test.change(&again)
				harnesses[i].handle(cell.JobSubmitted{
					EntryVM: test.entryVM,
					Job:     again,
				})
			}
			for _, answer := range harnesses[0].cancel("j") {
				assert.Equal(t, answer.Answer.Result, cell.Interrupted)
			}
			for _, release := range harnesses[1].cell.Release() {
				assert.Assert(t, !release.NotStarted, release.ID)
			}
		})
	}
}

// Guards against a second run of a task, and against a job that is answered as not run,
// after a reply of a relay of a later version whose outcome this version does not know.
func TestUnknownOutcomeOfAStartMayHaveStartedTheRun(t *testing.T) {
	const laterOutcome = cell.OutcomeRefused + 1
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
