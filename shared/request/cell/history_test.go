package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/cell"
)

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

// Guards against a job that is answered as not run although another scheduler may have
// started it: this one still has it from before, and its withdrawal was lost.
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
			harness := newFullHarness(t)
			harness.submit(testJob("j", 1))
			again := testJob("j", 1)
			test.change(&again)
			harness.handle(cell.JobSubmitted{
				EntryVM: test.entryVM,
				Job:     again,
			})
			for _, answer := range harness.cancel("j") {
				assert.Equal(t, answer.Answer.Result, cell.Interrupted)
			}
		})
	}
}

// Guards against a job that is reported as not started when the Cell steps down although
// another scheduler may have started it, as above.
func TestHistoryOfAJobThatComesAgainIsReleased(t *testing.T) {
	harness := newFullHarness(t)
	harness.submit(testJob("j", 1))
	again := testJob("j", 1)
	again.Generation = 2
	harness.submit(again)
	for _, release := range harness.cell.Release() {
		assert.Assert(t, !release.NotStarted, release.ID)
	}
}
