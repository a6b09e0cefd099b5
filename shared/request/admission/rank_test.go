package admission_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/admission"
)

// Load: more jobs than a slow scheduler can start. Guards against a share of shed jobs that
// differs from the wanted one, and against shedding jobs of high priority before others.
func TestRankShedsTheWantedShareByCost(t *testing.T) {
	planner := admission.New(admission.Config{})
	now := time.Unix(1_000_000, 0)
	shed := make([]int, 2)
	for number := range 10_000 {
		now = now.Add(time.Millisecond)
		job := admission.Job{
			ID:         fmt.Sprintf("%016x", number),
			Kind:       fmt.Sprint(number % 2),
			Priority:   2 * (number % 2),
			Target:     now.Add(time.Second),
			Tasks:      1,
			MilliCores: 1000,
			RunTime:    100 * time.Millisecond,
		}
		planner.Arrived(now, job)
		if planner.Rank(now, job) > 0.7 {
			shed[number%2]++
		}
	}
	assert.Assert(t, shed[0]+shed[1] > 2_800 && shed[0]+shed[1] < 3_200, "%v of 10000", shed)
	assert.Assert(t, shed[0] < shed[1]/5, "%v", shed)
}
