package admission

import (
	"fmt"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func drawJob(t *rapid.T, now time.Time, i int) Job {
	objective := time.Duration(rapid.IntRange(10, 2000).Draw(t, "objective")) * time.Millisecond
	arrival := now.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "age")) * time.Millisecond)
	runTime := time.Duration(rapid.IntRange(1, 2000).Draw(t, "run")) * time.Millisecond
	return Job{
		ID:          strconv.Itoa(i),
		Kind:        rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "kind"),
		Domain:      rapid.SampledFrom([]string{"x", "y"}).Draw(t, "domain"),
		Key:         rapid.SampledFrom([]string{"", "hot", "other"}).Draw(t, "key"),
		Priority:    rapid.IntRange(0, 3).Draw(t, "priority"),
		Arrival:     arrival,
		Target:      arrival.Add(objective),
		WorthlessAt: arrival.Add(3 * objective),
		Tasks:       rapid.IntRange(1, 16).Draw(t, "tasks"),
		MilliCores:  rapid.IntRange(1, 16).Draw(t, "cores") * 1000,
		RunTime:     runTime,
		Remaining:   runTime,
		LogStdDev:   rapid.SampledFrom([]float64{0, 0.4}).Draw(t, "spread"),
		Started:     rapid.IntRange(0, 9).Draw(t, "started") == 0,
	}
}

func drawCapacity(t *rapid.T, now time.Time) Capacity {
	capacity := Capacity{
		MilliCores:     400_000,
		FreeMilliCores: rapid.IntRange(0, 100).Draw(t, "free") * 1000,
		Speed:          1,
		TopSpeed:       1.2,
	}
	capacity.LargestFreeMilliCores = min(16_000, capacity.FreeMilliCores)
	for left := capacity.MilliCores - capacity.FreeMilliCores; left > 0; left -= 8000 {
		capacity.Releases = append(capacity.Releases, Release{
			At:         now.Add(time.Duration(left/8000) * 20 * time.Millisecond),
			MilliCores: min(left, 8000),
		})
	}
	slices.Reverse(capacity.Releases)
	slices.SortFunc(capacity.Releases, func(a, b Release) int { return a.At.Compare(b.At) })
	return capacity
}

// TestPlans guards against plans that lose or duplicate a job, refuse one that may have
// run or that fits free capacity, or depend on anything but their inputs.
func TestPlans(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		planner, twin := New(testConfig), New(testConfig)
		now := epoch
		for range rapid.IntRange(1, 8).Draw(t, "rounds") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			var jobs []Job
			for i := range rapid.IntRange(0, 60).Draw(t, "jobs") {
				jobs = append(jobs, drawJob(t, now, i))
				planner.Arrived(now, jobs[i])
				twin.Arrived(now, jobs[i])
			}
			capacity := drawCapacity(t, now)
			plan := planner.Plan(now, jobs, capacity)
			assert.DeepEqual(t, plan, twin.Plan(now, jobs, capacity))
			seen := make([]int, len(jobs))
			free := capacity.FreeMilliCores
			for _, i := range plan.Order {
				seen[i]++
				if !plan.Hold[i] {
					free -= jobs[i].need()
				}
				assert.Assert(t, !plan.Hold[i] || !jobs[i].Started)
			}
			for _, refusal := range plan.Refused {
				i, err := strconv.Atoi(refusal.ID)
				assert.NilError(t, err)
				seen[i]++
				assert.Assert(t, !jobs[i].Started)
				fits := jobs[i].need() <= free && jobs[i].MilliCores <= capacity.LargestFreeMilliCores
				assert.Assert(t, !fits || refusal.Reason == ReasonHopeless)
				assert.Assert(t, refusal.RetryAfter >= testConfig.MinRetryAfter && refusal.RetryAfter <= testConfig.MaxRetryAfter)
				outcome := rapid.SampledFrom([]Outcome{OutcomeOnTime, OutcomeLate, OutcomeMissed}).Draw(t, "outcome")
				planner.Ended(now, jobs[i], outcome)
				twin.Ended(now, jobs[i], outcome)
			}
			for i := range seen {
				assert.Equal(t, seen[i], 1)
			}
		}
	})
}

// TestLongKeysAreNotKept guards against a planner whose memory grows with the length of the
// keys that callers send.
func TestLongKeysAreNotKept(t *testing.T) {
	heap := func() int64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return int64(stats.HeapAlloc)
	}
	planner := New(testConfig)
	before := heap()
	for i := range maxKeys {
		planner.Ended(epoch, Job{
			Kind: "kind",
			Key:  strings.Repeat("x", 10_000) + strconv.Itoa(i),
		}, OutcomeOnTime)
	}
	assert.Assert(t, heap()-before < 1<<20)
	runtime.KeepAlive(planner)
}

// TestTimeWithoutCapacityIsNoExcess guards against refusals after a time in which no upstream
// was known, as after a takeover, as if so much more work than the capacity had arrived.
func TestTimeWithoutCapacityIsNoExcess(t *testing.T) {
	planner := New(testConfig)
	jobs := equalJobs(epoch, 1)
	for round := range 200 {
		now := epoch.Add(time.Duration(round) * 10 * time.Millisecond)
		planner.Arrived(now, jobs[0])
		planner.Plan(now, jobs, Capacity{})
	}
	assert.Equal(t, planner.excess, 0.0)
}

// overloaded returns a planner to which jobs arrived for 3 s, and its last plan.
func overloaded(now time.Time, jobs []Job, capacity Capacity) (*Planner, Plan) {
	planner := New(testConfig)
	var plan Plan
	for round := range 300 {
		at := now.Add(time.Duration(round-299) * 10 * time.Millisecond)
		for i := range 20 {
			job := jobs[i%len(jobs)]
			job.ID = fmt.Sprint(round, i)
			job.Arrival = at
			job.Target = at.Add(time.Second)
			job.WorthlessAt = at.Add(2 * time.Second)
			planner.Arrived(at, job)
		}
		plan = planner.Plan(at, jobs, capacity)
	}
	return planner, plan
}

func equalJobs(now time.Time, count int) []Job {
	jobs := make([]Job, count)
	for i := range jobs {
		jobs[i] = Job{
			ID:          strconv.Itoa(i),
			Kind:        "kind",
			Priority:    (i * 7) % 3,
			Arrival:     now,
			Target:      now.Add(time.Second),
			WorthlessAt: now.Add(2 * time.Second),
			Tasks:       2,
			MilliCores:  4000,
			RunTime:     50 * time.Millisecond,
			Remaining:   50 * time.Millisecond,
		}
	}
	return jobs
}

// TestPriority guards against a priority that has no effect, under overload or not.
func TestPriority(t *testing.T) {
	capacity := Capacity{
		MilliCores: 400_000,
		Speed:      1,
		TopSpeed:   1,
		Releases: []Release{{
			At:         epoch.Add(10 * time.Millisecond),
			MilliCores: 400_000,
		}},
	}
	for _, count := range []int{30, 3000} {
		jobs := equalJobs(epoch, count)
		_, plan := overloaded(epoch, jobs, capacity)
		last := 0
		for _, i := range plan.Order {
			assert.Assert(t, jobs[i].Priority >= last, "%d before %d", last, jobs[i].Priority)
			last = jobs[i].Priority
		}
	}
}

// TestDigest guards against an entry VM that refuses what the scheduler would serve.
func TestDigest(t *testing.T) {
	now := epoch
	jobs := equalJobs(now, 2000)
	capacity := Capacity{
		MilliCores: 400_000,
		Speed:      1,
		TopSpeed:   1,
		Releases: []Release{{
			At:         now.Add(20 * time.Millisecond),
			MilliCores: 400_000,
		}},
	}
	planner, plan := overloaded(now, jobs, capacity)
	assert.Assert(t, len(plan.Refused) > 0)
	encoded, err := cbor.Marshal(planner.Digest(now))
	assert.NilError(t, err)
	assert.Assert(t, len(encoded) < 150, "%d bytes", len(encoded))
	var digest Digest
	assert.NilError(t, cbor.Unmarshal(encoded, &digest))
	refused := 0
	for tasks := 1; tasks <= 32; tasks++ {
		job := jobs[0]
		job.ID = fmt.Sprint("new", tasks)
		job.Tasks = tasks
		refusal, ok := digest.Refuse(now, 300*time.Millisecond, job)
		if !ok {
			continue
		}
		refused++
		assert.Assert(t, refusal.RetryAfter >= testConfig.MinRetryAfter)
		planner.Arrived(now, job)
		plan := planner.Plan(now, append(slices.Clone(jobs), job), capacity)
		assert.Assert(t, slices.ContainsFunc(plan.Refused, func(refused Refusal) bool { return refused.ID == job.ID }))
		_, ok = digest.Refuse(now, 2*time.Second, job)
		assert.Assert(t, !ok, "an old digest refused a job")
	}
	assert.Assert(t, refused > 5, "%d refused", refused)
	capacity.FreeMilliCores = 400_000
	capacity.Releases = nil
	planner.Plan(now.Add(50*time.Millisecond), jobs[:10], capacity)
	_, ok := planner.Digest(now.Add(50*time.Millisecond)).Refuse(now, 0, jobs[0])
	assert.Assert(t, !ok, "a job was refused while capacity is free")
}

func BenchmarkPlan(b *testing.B) {
	for _, upstreams := range []int{48, 200, 1000} {
		b.Run(fmt.Sprint(upstreams, "-upstreams"), func(b *testing.B) {
			jobs := equalJobs(epoch, 5*upstreams)
			capacity := Capacity{
				MilliCores: upstreams * 16_000,
				Speed:      1,
				TopSpeed:   1.2,
			}
			for i := range 2 * upstreams {
				capacity.Releases = append(capacity.Releases, Release{
					At:         epoch.Add(time.Duration(i) * time.Second / time.Duration(2*upstreams)),
					MilliCores: 8000,
				})
			}
			for i := range jobs {
				jobs[i].RunTime = time.Duration(50+i*37%900) * time.Millisecond
				jobs[i].Remaining = jobs[i].RunTime
				jobs[i].Target = epoch.Add(time.Duration(100+i*53%1500) * time.Millisecond)
			}
			planner, _ := overloaded(epoch, jobs, capacity)
			for b.Loop() {
				planner.Plan(epoch, jobs, capacity)
			}
		})
	}
}
