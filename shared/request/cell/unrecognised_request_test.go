package cell_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/cell"
)

// Guards against a job that is reported as not run although it was started for the lost
// entry VM that its caller had sent it to before. The second entry VM can't tell that it
// was sent before: the caller waits for longer than the time budget of the route.
func TestJobOfALostEntryVMIsNotReportedAsNotRun(t *testing.T) {
	harness := newHarness(t)
	harness.listUpstreams(nil, "u1")
	job := testJob("j", 1)
	starts := harness.submit(job)
	assert.Equal(t, len(starts), 1)
	harness.confirm(starts[0])
	harness.handle(cell.EntryVMLost{
		EntryVM: entryVM,
	})
	decisions := harness.handle(cell.JobSubmitted{
		EntryVM: "vm-2#b",
		Job:     job,
	})
	assert.Equal(t, len(decisionsOf[cell.StartRun](decisions)), 0, "its run has not stopped")
	known, decisions := harness.cell.Cancel(harness.now, "j")
	assert.Assert(t, known)
	assert.Equal(t, harness.onlyAnswer(decisions).Result, cell.Interrupted)
}
