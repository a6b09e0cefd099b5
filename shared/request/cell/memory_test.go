package cell_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/cell"
	"tanagerfall/shared/request/estimate"
)

// Guards against a scheduler that runs out of memory because callers submit many jobs of
// 10,000 tasks. Small jobs have a reserve, refused ones have not run, and one that an
// earlier scheduler may have started is never refused.
func TestJobsBeyondTheMemoryAreNotRun(t *testing.T) {
	harness := newHarness(t)
	limits := cell.DefaultLimits()
	limits.MaxJobBytes = 8 << 20
	harness.cell = cell.New(harness.now, cell.Config{
		Estimator:      estimate.New(),
		Claims:         func(cell.Upstream) cell.Claim { return cell.ClaimFirm },
		NextToken:      func() int64 { return 1 },
		GuardsCapacity: func(string) bool { return true },
		KnowsUpstreams: func([]uint64) bool { return true },
		Limits:         limits,
	})
	delays := make(map[time.Duration]bool)
	refused := func(job cell.Job) bool {
		answers := decisionsOf[cell.AnswerJob](harness.handle(cell.JobSubmitted{
			EntryVM: entryVM,
			Job:     job,
		}))
		if len(answers) == 0 {
			return false
		}
		assert.Equal(t, answers[0].Answer.Result, cell.NotRun)
		assert.Assert(t, answers[0].Answer.RetryAfter >= time.Second)
		delays[answers[0].Answer.RetryAfter] = true
		return true
	}
	admitted := 0
	for i := range 20 {
		if !refused(testJob(fmt.Sprint("large ", i), cell.MaxTasks)) {
			admitted++
		}
	}
	assert.Equal(t, admitted, 3)
	assert.Assert(t, len(delays) > 10, "the callers of 17 jobs return after %d different delays", len(delays))
	assert.Assert(t, !refused(testJob("small", 2)))
	taken := testJob("taken over", cell.MaxTasks)
	taken.Generation = 1
	assert.Assert(t, !refused(taken))
	for _, id := range []string{"large 0", "large 1", "large 2", "taken over"} {
		harness.handle(cell.JobWithdrawn{
			EntryVM: entryVM,
			ID:      id,
		})
	}
	assert.Assert(t, !refused(testJob("later", cell.MaxTasks)), "withdrawn jobs must release their memory")
}
