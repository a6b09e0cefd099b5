package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/cell"
)

// Load: an overload whose callers all leave, and 30 s later a burst that can be served. Guards
// against refusals in the first moments of the burst, as if the overload had lasted until then.
func TestOverloadEndsWhenNoJobWaits(t *testing.T) {
	loaded := newLoadedCell(t, 20, 0)
	loaded.play(time.Second, func(step int) {
		if step%2 == 0 {
			loaded.submitLoaded("long", 4, 500*time.Millisecond)
		}
	})
	assert.Assert(t, loaded.cell.Loads()[service].Overloaded)
	left := len(loaded.jobs)
	for id := range loaded.jobs {
		loaded.apply(loaded.handle(cell.JobWithdrawn{
			EntryVM: entryVM,
			ID:      id,
		}))
	}
	loaded.play(30*time.Second, func(int) {})
	assert.Assert(t, !loaded.cell.Loads()[service].Overloaded, "no job waits")
	loaded.play(2*time.Second, func(step int) {
		if step == 0 {
			for range 60 {
				loaded.submitLoaded("quick", 2, 60*time.Millisecond)
			}
		}
	})
	completed := 0
	for id, answer := range loaded.answers {
		if loaded.jobs[id].Kind == "quick" && answer.result == cell.Completed {
			completed++
		}
	}
	assert.Equal(t, completed, 60, "of %d jobs after the first %d", len(loaded.jobs)-left, left)
}
