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
	made := Job{
		Key: submission.Key{
			Counter: counter,
		},
		Team:    team,
		Kind:    "k",
		Arrival: arrival,
	}
	for i, ms := range declaredMs {
		made.Tasks = append(made.Tasks, Task{
			Index:      i,
			DeclaredMs: ms,
		})
	}
	return made
}

func placeAll(scheduler *Scheduler, now time.Time) []Assignment {
	var placed []Assignment
	for {
		assignment, yes := scheduler.Next(now)
		if !yes {
			return placed
		}
		placed = append(placed, assignment)
	}
}

// TestSlackGoesToSlowSlots guards against short tasks of a job on the fast
// slots while a slow slot ends them in time.
func TestSlackGoesToSlowSlots(t *testing.T) {
	scheduler := newTestScheduler(Target{}, 0.5, 2, 2)
	scheduler.Enqueue(testJob(1, "", testStart, 100, 1000))
	placed := placeAll(scheduler, testStart)
	assert.Equal(t, len(placed), 2)
	assert.Equal(t, placed[0].Index, 1)
	assert.Assert(t, placed[0].Upstream != "0")
	assert.Equal(t, placed[1].Upstream, "0")
}

// TestWakeLetsASlowSlotBeTaken guards against a task that waits for a fast
// slot for ever while a slow one is idle and nothing else happens.
func TestWakeLetsASlowSlotBeTaken(t *testing.T) {
	scheduler := newTestScheduler(Target{}, 0.5, 2)
	scheduler.Enqueue(testJob(1, "", testStart, 5000))
	assert.Equal(t, placeAll(scheduler, testStart)[0].Upstream, "1")
	scheduler.Enqueue(testJob(2, "", testStart, 1000))
	assert.Equal(t, len(placeAll(scheduler, testStart)), 0)
	now := testStart
	for range 100 {
		wake, waits := scheduler.Wake()
		assert.Assert(t, waits)
		assert.Assert(t, wake.After(now), "a wake at or before the last one makes the caller spin")
		now = wake
		if placed := placeAll(scheduler, now); len(placed) > 0 {
			assert.Equal(t, placed[0].Upstream, "0")
			assert.Assert(t, now.Sub(testStart) < 5*time.Second)
			return
		}
	}
	t.Fatal("the task still waits after 100 wakes")
}

// TestLargeJobIsNotStarved guards against a large job without a deadline that
// waits for ever behind small jobs that keep the only slot busy.
func TestLargeJobIsNotStarved(t *testing.T) {
	scheduler := newTestScheduler(Target{}, 1)
	scheduler.Enqueue(testJob(1, "", testStart, 50))
	running := placeAll(scheduler, testStart)
	scheduler.Enqueue(testJob(2, "", testStart, 1000, 1000, 1000))
	now := testStart
	for counter := uint64(3); ; counter++ {
		now = now.Add(50 * time.Millisecond)
		assert.Assert(t, now.Sub(testStart) <= maxDelay+time.Second, "the large job is starved")
		scheduler.Enqueue(testJob(counter, "", now, 50))
		assert.Assert(t, scheduler.Finish("0", running[0].Key, running[0].Index))
		running = placeAll(scheduler, now)
		if running[0].Key.Counter == 2 {
			return
		}
	}
}

// TestUrgentJobGoesFirst guards against a job that misses its deadline because
// jobs with less work go first.
func TestUrgentJobGoesFirst(t *testing.T) {
	scheduler := newTestScheduler(Target{}, 1)
	scheduler.Enqueue(testJob(1, "", testStart, 50))
	running := placeAll(scheduler, testStart)
	scheduler.Enqueue(testJob(2, "", testStart, 20))
	urgent := testJob(3, "", testStart, 60, 60)
	urgent.Deadline = testStart.Add(300 * time.Millisecond)
	scheduler.Enqueue(urgent)
	scheduler.Finish("0", running[0].Key, 0)
	assert.Equal(t, placeAll(scheduler, testStart.Add(70*time.Millisecond))[0].Key.Counter, uint64(3))
}

// TestPriorityWithinTeam guards against a priority that does not order the
// jobs of a team.
func TestPriorityWithinTeam(t *testing.T) {
	scheduler := newTestScheduler(Target{}, 1)
	high := testJob(2, "", testStart, 900)
	high.Priority = 1
	scheduler.Enqueue(testJob(1, "", testStart, 100))
	scheduler.Enqueue(high)
	assert.Equal(t, placeAll(scheduler, testStart)[0].Key.Counter, uint64(2))
}

// TestTeamsShareByWeight guards against a team that takes more than its share
// while another one waits.
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
	assert.Assert(t, share > 0.7 && share < 0.8, "share of the team with weight 3 of 4 is %.3f", share)
}

// TestEqualUpstreamsAreSpreadOverRacks guards against a job whose tasks all go
// to one rack although another one is as good.
func TestEqualUpstreamsAreSpreadOverRacks(t *testing.T) {
	scheduler := newTestScheduler(Target{}, 1, 1, 1, 1, 1, 1, 1, 1)
	scheduler.Enqueue(testJob(1, "", testStart, 100, 100, 100, 100))
	racks := map[string]int{}
	for _, assignment := range placeAll(scheduler, testStart) {
		racks[scheduler.index.hosts[assignment.Upstream].upstream.Rack]++
	}
	assert.DeepEqual(t, racks, map[string]int{
		"rack-0": 2,
		"rack-1": 2,
	})
}

// TestPredictGrowsWithTheQueue guards against admission that does not see the
// queue, or admits a job that no upstream fits.
func TestPredictGrowsWithTheQueue(t *testing.T) {
	scheduler := newTestScheduler(Target{}, 1, 1)
	probe := testJob(99, "", testStart, 100)
	assert.Equal(t, scheduler.Predict(testStart, probe), testStart.Add(101*time.Millisecond))
	for i := range uint64(12) {
		scheduler.Enqueue(testJob(i, "", testStart, 1000))
	}
	placeAll(scheduler, testStart)
	assert.Equal(t, scheduler.Predict(testStart, probe), testStart.Add(5101*time.Millisecond))
	probe.Tasks[0].Need.Accelerators = 1
	assert.Equal(t, scheduler.Predict(testStart, probe), testStart.Add(unreachable))
	assert.Assert(t, !scheduler.Fits(probe.Tasks[0].Need))
}
