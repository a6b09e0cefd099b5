package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/cell"
)

// Guards against a job that waits for a quarantine, and is reported as one that may have run,
// although only this Cell had it and never started it: two entry VMs hold it, and one of them
// was silent and submits it again.
func TestJobOfALostHolderKeepsItsHistory(t *testing.T) {
	harness := newFullHarness(t)
	harness.submit(numbered(testJob("j", 1), 7, 7))
	harness.handle(cell.JobSubmitted{
		EntryVM: "vm-2#b",
		Job:     numbered(testJob("j", 1), 3, 3),
	})
	harness.handle(cell.EntryVMLost{
		EntryVM: entryVM,
	})
	harness.submit(numbered(testJob("j", 1), 7, 8))
	harness.now = harness.now.Add(time.Millisecond)
	for _, answer := range harness.cancel("j") {
		assert.Equal(t, answer.Answer.Result, cell.NotRun, answer.EntryVM)
	}
}

// Guards against a job of an entry VM of an earlier version that is delayed by a quarantine
// whenever its connection is replaced: the Cell has the job and ignored such a submission.
func TestUnnumberedSubmissionOfAKnownJobChangesNothing(t *testing.T) {
	harness := newFullHarness(t)
	harness.submit(testJob("j", 1))
	again := testJob("j", 1)
	again.Generation = 1
	again.Quarantine = time.Second
	harness.submit(again)
	for _, release := range harness.cell.Release() {
		if release.ID == "j" {
			return
		}
	}
	t.Error("the job waits for a quarantine")
}

// Guards against a waiting job that is missing from the pending jobs of its kind: it ran
// before, and its caller has sent it again.
func TestJobThatIsSentAgainCountsAsPending(t *testing.T) {
	harness := newHarness(t)
	harness.listUpstreams(nil, "u1")
	large := testJob("j", 1)
	large.Steps[0].Need.MilliCores = 16_000
	harness.confirm(harness.submit(large)[0])
	harness.cancel("j")
	assert.Equal(t, len(harness.submit(large)), 0, "the run that is being stopped has the capacity")
	assert.Equal(t, harness.cell.Pending()[large.Kind], 1)
}
