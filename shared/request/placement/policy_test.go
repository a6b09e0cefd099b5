package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/estimate"
	"tanagerfall/shared/request/submission"
)

var testStart = time.Unix(1000, 0)

func newTestScheduler(policy Policy, speeds ...float64) *Scheduler {
	scheduler := New(policy, estimate.New(), rand.New(rand.NewPCG(1, 1)))
	for i, speed := range speeds {
		scheduler.SetUpstream(Upstream{
			ID:    fmt.Sprint(i),
			Rack:  fmt.Sprint("rack-", i%2),
			Slots: 1,
			Speed: speed,
		})
	}
	return scheduler
}

func testJob(counter uint64, team string, arrival time.Time, declaredMs ...float64) Job {
	job := Job{
		Key: submission.Key{
			Counter: counter,
		},
		Team:    team,
		Kind:    "k",
		Arrival: arrival,
	}
	for i, ms := range declaredMs {
		job.Tasks = append(job.Tasks, Task{
			Index:      i,
			DeclaredMs: ms,
		})
	}
	return job
}

func placeAll(scheduler *Scheduler, now time.Time) []Assignment {
	var assignments []Assignment
	for {
		assignment, ok := scheduler.Next(now)
		if !ok {
			return assignments
		}
		assignments = append(assignments, assignment)
	}
}

// TestSlowSlotIsUsedWhenItMeetsTheTarget guards against short tasks of a job being
// placed on fast slots although they end in time on an idle slow one.
func TestSlowSlotIsUsedWhenItMeetsTheTarget(t *testing.T) {
	scheduler := newTestScheduler(Target{}, 0.5, 2, 2)
	scheduler.Enqueue(testJob(1, "", testStart, 100, 1000))
	placed := placeAll(scheduler, testStart)
	assert.Equal(t, len(placed), 2)
	assert.Equal(t, placed[0].Index, 1)
	assert.Assert(t, placed[0].Upstream != "0")
	assert.Equal(t, placed[1].Upstream, "0")
}

// TestWakeAllowsASlowSlot guards against a task that waits forever for a fast slot
// while a slow one is idle and nothing else changes.
func TestWakeAllowsASlowSlot(t *testing.T) {
	scheduler := newTestScheduler(Target{}, 0.5, 2)
	scheduler.Enqueue(testJob(1, "", testStart, 5000))
	assert.Equal(t, placeAll(scheduler, testStart)[0].Upstream, "1")
	scheduler.Enqueue(testJob(2, "", testStart, 1000))
	assert.Equal(t, len(placeAll(scheduler, testStart)), 0)
	now := testStart
	for range 100 {
		wake, ok := scheduler.Wake()
		assert.Assert(t, ok)
		assert.Assert(t, wake.After(now), "Wake returned %s, which is not after the last time %s: the caller would loop", wake, now)
		now = wake
		if placed := placeAll(scheduler, now); len(placed) > 0 {
			assert.Equal(t, placed[0].Upstream, "0")
			assert.Assert(t, now.Sub(testStart) < 5*time.Second)
			return
		}
	}
	t.Fatal("the task is still waiting after Next was called at 100 wake times")
}

// TestLargeJobIsNotStarved guards against starvation of a large job without a deadline
// by small jobs that keep the only slot occupied.
func TestLargeJobIsNotStarved(t *testing.T) {
	scheduler := newTestScheduler(Target{}, 1)
	scheduler.Enqueue(testJob(1, "", testStart, 50))
	running := placeAll(scheduler, testStart)
	scheduler.Enqueue(testJob(2, "", testStart, 1000, 1000, 1000))
	now := testStart
	for counter := uint64(3); ; counter++ {
		now = now.Add(50 * time.Millisecond)
		assert.Assert(t, now.Sub(testStart) <= urgentAge+time.Second, "the large job is starved")
		scheduler.Enqueue(testJob(counter, "", now, 50))
		assert.Assert(t, scheduler.Finish("0", running[0].Key, running[0].Index))
		running = placeAll(scheduler, now)
		if running[0].Key.Counter == 2 {
			return
		}
	}
}

// TestUrgentJobGoesFirst guards against a job that misses its deadline because jobs
// with less work are placed first.
func TestUrgentJobGoesFirst(t *testing.T) {
	scheduler := newTestScheduler(Target{}, 1)
	scheduler.Enqueue(testJob(1, "", testStart, 50))
	running := placeAll(scheduler, testStart)
	scheduler.Enqueue(testJob(2, "", testStart, 20))
	urgentJob := testJob(3, "", testStart, 60, 60)
	urgentJob.Deadline = testStart.Add(300 * time.Millisecond)
	scheduler.Enqueue(urgentJob)
	scheduler.Finish("0", running[0].Key, 0)
	assert.Equal(t, placeAll(scheduler, testStart.Add(70*time.Millisecond))[0].Key.Counter, uint64(3))
}

// TestPriorityWithinTeam guards against the jobs of a team being placed regardless of
// their priority.
func TestPriorityWithinTeam(t *testing.T) {
	scheduler := newTestScheduler(Target{}, 1)
	highPriorityJob := testJob(2, "", testStart, 900)
	highPriorityJob.Priority = 1
	scheduler.Enqueue(testJob(1, "", testStart, 100))
	scheduler.Enqueue(highPriorityJob)
	assert.Equal(t, placeAll(scheduler, testStart)[0].Key.Counter, uint64(2))
}

// TestTeamsShareByWeight guards against a team that gets more than its weighted share
// of the slots while another one has waiting tasks.
func TestTeamsShareByWeight(t *testing.T) {
	scheduler := newTestScheduler(Target{}, 1, 1, 1, 1)
	scheduler.SetTeam("heavy", 3, 0)
	for i := range uint64(3000) {
		scheduler.Enqueue(testJob(2*i, "heavy", testStart, 100))
		scheduler.Enqueue(testJob(2*i+1, "light", testStart, 100))
	}
	heavy, total := 0, 2000
	now := testStart
	for placed := 0; placed < total; now = now.Add(100 * time.Millisecond) {
		for _, assignment := range placeAll(scheduler, now) {
			placed++
			if assignment.Key.Counter%2 == 0 {
				heavy++
			}
			scheduler.Finish(assignment.Upstream, assignment.Key, assignment.Index)
			if placed == total {
				break
			}
		}
	}
	share := float64(heavy) / float64(total)
	assert.Assert(t, share > 0.7 && share < 0.8, "the team with weight 3 of 4 got a share of %.3f, expected 0.7 to 0.8", share)
}

// TestEqualUpstreamsAreSpreadOverRacks guards against all tasks of a job being placed
// in one rack although the upstreams of another one are as fast.
func TestEqualUpstreamsAreSpreadOverRacks(t *testing.T) {
	scheduler := newTestScheduler(Target{}, 1, 1, 1, 1, 1, 1, 1, 1)
	scheduler.Enqueue(testJob(1, "", testStart, 100, 100, 100, 100))
	racks := map[string]int{}
	for _, assignment := range placeAll(scheduler, testStart) {
		racks[scheduler.index.upstreams[assignment.Upstream].declared.Rack]++
	}
	assert.DeepEqual(t, racks, map[string]int{
		"rack-0": 2,
		"rack-1": 2,
	})
}

// TestPredictGrowsWithTheQueue guards against a prediction that ignores the waiting
// tasks, which admits too many jobs, and against one that lets a job be admitted that
// no upstream has the capacity for.
func TestPredictGrowsWithTheQueue(t *testing.T) {
	scheduler := newTestScheduler(Target{}, 1, 1)
	probeJob := testJob(99, "", testStart, 100)
	assert.Equal(t, scheduler.Predict(testStart, probeJob), testStart.Add(101*time.Millisecond))
	for i := range uint64(12) {
		scheduler.Enqueue(testJob(i, "", testStart, 1000))
	}
	placeAll(scheduler, testStart)
	assert.Equal(t, scheduler.Predict(testStart, probeJob), testStart.Add(5101*time.Millisecond))
	probeJob.Tasks[0].Need.Accelerators = 1
	assert.Equal(t, scheduler.Predict(testStart, probeJob), testStart.Add(noFitWait))
	assert.Assert(t, !scheduler.Fits(probeJob.Tasks[0].Need))
}
