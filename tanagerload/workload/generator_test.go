package workload_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/tanagerload/experiment"
	"tanagerfall/tanagerload/workload"
)

// TestGenerator guards against job sizes, run times or declared run times that
// do not follow the described workload, and against arrivals that do not follow
// the rate or its burst.
func TestGenerator(t *testing.T) {
	spec := experiment.Default().Workload
	spec.TaskError = 4
	spec.Teams = []experiment.Share{{
		Name:   "oak",
		Weight: 1,
	}}
	spec.Kinds = spec.Teams
	generator := workload.New(spec, 1, 0, "run", 0, workload.Rate{
		PerSecond: 100,
		Factor:    10,
		From:      40 * time.Second,
		To:        60 * time.Second,
	})
	var sizes []int
	tasks, longTasks, beforeBurst, inBurst := 0, 0, 0, 0
	for {
		arrival := generator.Next()
		if arrival.Offset >= 60*time.Second {
			break
		}
		if arrival.Offset < 40*time.Second {
			beforeBurst++
		} else {
			inBurst++
		}
		sizes = append(sizes, len(arrival.ActualMs))
		for i, actualMs := range arrival.ActualMs {
			tasks++
			assert.Assert(t, actualMs >= 50 && actualMs <= 5000)
			ratio := float64(arrival.Job.Tasks[i].RunMs) / actualMs
			assert.Assert(t, ratio > 0.24 && ratio < 4.04, "declared off by %g", ratio)
			if actualMs > 1000 {
				longTasks++
			}
		}
		assert.NilError(t, arrival.Job.Validate())
	}
	slices.Sort(sizes)
	assert.Equal(t, sizes[len(sizes)/2], 5)
	assert.Assert(t, sizes[len(sizes)-1] <= 580)
	assert.Assert(t, longTasks*100 > 2*tasks && longTasks*100 < 4*tasks, "%d of %d tasks are long", longTasks, tasks)
	assert.Assert(t, beforeBurst > 3700 && beforeBurst < 4300, "%d jobs in 40 s at 100 per second", beforeBurst)
	assert.Assert(t, inBurst > 19300 && inBurst < 20700, "%d jobs in 20 s at 1000 per second", inBurst)
}

// TestIdealResponse guards against an ideal response time that ignores the
// longest task, the total work or the round trip.
func TestIdealResponse(t *testing.T) {
	capacity := workload.Capacity{
		FastestSpeed: 2,
		TotalSpeed:   4,
	}
	for _, test := range []struct {
		actualMs []float64
		want     time.Duration
	}{
		{actualMs: []float64{100, 40}, want: 51 * time.Millisecond},
		{actualMs: []float64{100, 100, 100, 100}, want: 101 * time.Millisecond},
	} {
		arrival := workload.Arrival{
			ActualMs: test.actualMs,
		}
		assert.Equal(t, arrival.IdealResponse(capacity, 1), test.want)
	}
}
