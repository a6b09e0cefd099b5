package admission

import (
	"math"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestExtremeInputs guards against a planner that is of no use any more, or refuses with a
// delay outside its bounds, after inputs at their limits: no capacity, jobs that need no cores
// or no time, long estimates, and a clock that goes back.
func TestExtremeInputs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		planner := New(testConfig)
		now := epoch
		for range 20 {
			now = now.Add(time.Duration(rapid.IntRange(-100, 200).Draw(t, "pause")) * time.Millisecond)
			var jobs []Job
			for i := range rapid.IntRange(0, 20).Draw(t, "jobs") {
				job := drawJob(t, now, i)
				job.RunTime = rapid.SampledFrom([]time.Duration{0, 1, time.Second, 1000 * time.Hour}).Draw(t, "run")
				job.Remaining = job.RunTime
				job.MilliCores = rapid.SampledFrom([]int{0, 1, 8000, 1 << 40}).Draw(t, "cores")
				job.Tasks = rapid.SampledFrom([]int{0, 1, 10_000}).Draw(t, "tasks")
				job.Priority = rapid.SampledFrom([]int{-1000, -4, 0, 1000}).Draw(t, "priority")
				planner.Arrived(now, job)
				jobs = append(jobs, job)
			}
			capacity := drawCapacity(t, now)
			if rapid.Bool().Draw(t, "none") {
				capacity = Capacity{
					LargestFreeMilliCores: -1,
				}
			}
			plan := planner.Plan(now, jobs, capacity)
			assert.Equal(t, len(plan.Order)+len(plan.Refused), len(jobs))
			for _, refusal := range plan.Refused {
				assert.Assert(t, refusal.RetryAfter >= testConfig.MinRetryAfter && refusal.RetryAfter <= testConfig.MaxRetryAfter)
				i, _ := strconv.Atoi(refusal.ID)
				planner.Ended(now, jobs[i], OutcomeMissed)
			}
			for i := range planner.entries {
				assert.Assert(t, !math.IsNaN(planner.entries[i].key), "%+v", jobs[i])
			}
			for _, value := range []float64{planner.load, planner.drain, planner.costWeight, planner.excess, planner.threshold, planner.fullShare} {
				assert.Assert(t, !math.IsNaN(value) && value >= 0)
			}
			digest := planner.Digest(now)
			assert.Assert(t, digest.Drain <= testConfig.MaxRetryAfter)
		}
	})
}
