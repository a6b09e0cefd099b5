package workload_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/tanagerload/experiment"
	"tanagerfall/tanagerload/workload"
)

// Guards against a workload that is not the one described, and against
// arrivals that do not follow the rate or its burst.
func TestGenerator(t *testing.T) {
	described := experiment.Default().Workload
	described.TaskError = 4
	described.Teams = []experiment.Share{{
		Name:   "oak",
		Weight: 1,
	}}
	described.Kinds = described.Teams
	generator := workload.New(described, 1, 0, "run", 0, workload.Rate{
		PerSecond: 100,
		Factor:    10,
		From:      40 * time.Second,
		To:        60 * time.Second,
	})
	var sizes []int
	tasks, long, before, within := 0, 0, 0, 0
	for {
		arrival := generator.Next()
		if arrival.At >= 60*time.Second {
			break
		}
		if arrival.At < 40*time.Second {
			before++
		} else {
			within++
		}
		sizes = append(sizes, len(arrival.RealMs))
		for i, realMs := range arrival.RealMs {
			tasks++
			assert.Assert(t, realMs >= 50 && realMs <= 5000)
			ratio := float64(arrival.Job.Tasks[i].RunMs) / realMs
			assert.Assert(t, ratio > 0.24 && ratio < 4.04, "declared off by %g", ratio)
			if realMs > 1000 {
				long++
			}
		}
		assert.NilError(t, arrival.Job.Validate())
	}
	slices.Sort(sizes)
	assert.Equal(t, sizes[len(sizes)/2], 5)
	assert.Assert(t, sizes[len(sizes)-1] <= 580)
	assert.Assert(t, long*100 > 2*tasks && long*100 < 4*tasks, "%d of %d tasks are long", long, tasks)
	assert.Assert(t, before > 3700 && before < 4300, "%d jobs in 40 s at 100 per second", before)
	assert.Assert(t, within > 19300 && within < 20700, "%d jobs in 20 s at 1000 per second", within)
}

// Guards against an ideal that leaves out the longest task, the whole work or
// the round trip.
func TestIdeal(t *testing.T) {
	capacity := workload.Capacity{
		Fastest: 2,
		Total:   4,
	}
	for _, test := range []struct {
		realMs []float64
		want   time.Duration
	}{
		{realMs: []float64{100, 40}, want: 51 * time.Millisecond},
		{realMs: []float64{100, 100, 100, 100}, want: 101 * time.Millisecond},
	} {
		arrival := workload.Arrival{
			RealMs: test.realMs,
		}
		assert.Equal(t, arrival.Ideal(capacity, 1), test.want)
	}
}
