package dispatch_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"tanagerfall/shared/connection/upstream"
	"tanagerfall/shared/request/dispatch"
	"tanagerfall/shared/request/estimate"
	"tanagerfall/shared/request/job"
	"tanagerfall/shared/request/placement"
	"tanagerfall/shared/request/submission"
)

// meanTaskMs is the mean run time of a task drawn by modelTask.
const meanTaskMs = 0.97*950/2.9957 + 0.03*4000/1.6094

func logUniform(random *rand.Rand, low, high float64) int64 {
	return int64(low * math.Pow(high/low, random.Float64()))
}

func modelTask(random *rand.Rand) job.Task {
	if random.Float64() < 0.03 {
		return job.Task{RunMs: logUniform(random, 1000, 5000)}
	}
	return job.Task{RunMs: logUniform(random, 50, 1000)}
}

// modelJob draws a job of the model workload of the design page.
func modelJob(random *rand.Rand, deadlineMs int64) job.Job {
	size := min(max(1, int(5*math.Exp(1.3*random.NormFloat64()))), job.MaxTasks)
	spec := job.Job{Kind: "bench", DeadlineMs: deadlineMs, Tasks: make([]job.Task, size)}
	for i := range spec.Tasks {
		spec.Tasks[i] = modelTask(random)
	}
	return spec
}

// offer submits model jobs at the given share of the capacity until the end.
func (world *world) offer(random *rand.Rand, share float64, deadlineMs int64, until time.Time) {
	speed := 0.0
	for _, worker := range world.workers {
		speed += float64(worker.Slots) * worker.Speed
	}
	world.offerAtRate(random, share*speed/meanTaskMs*1000, deadlineMs, until)
}

func (world *world) offerAtRate(random *rand.Rand, tasksPerS float64, deadlineMs int64, until time.Time) {
	spec := modelJob(random, deadlineMs)
	gap := random.ExpFloat64() * float64(len(spec.Tasks)) / tasksPerS
	at := world.now.Add(time.Duration(gap * float64(time.Second)))
	if at.After(until) {
		return
	}
	world.at(at, func() {
		world.submit(spec)
		world.offerAtRate(random, tasksPerS, deadlineMs, until)
	})
}

// Guards against renewals and silence checks that cost messages for tasks that
// run as expected (target: at most 0.02 wasted messages per task).
func TestWastedMessagesWithoutFaults(t *testing.T) {
	world := newWorld(1, newWorkers(50, 8, 1)...)
	before := world.core.Dump().Counters
	world.offer(rand.New(rand.NewPCG(7, 7)), 0.8, 0, world.now.Add(30*time.Second))
	world.run(world.now.Add(60 * time.Second))
	after := world.core.Dump().Counters
	starts := after.Starts - before.Starts
	wasted := float64(after.Messages-before.Messages)/float64(starts) - 2
	t.Logf("%d starts, %.5f wasted messages per task, %d asks", starts, wasted, after.Asks-before.Asks)
	if wasted > 0.02 || starts < 10_000 {
		t.Errorf("%.4f wasted messages per task over %d starts, the target is at most 0.02", wasted, starts)
	}
}

// Guards against a worker that attracts tasks by failing them fast (target:
// less than 1% of the starts after 2 s).
func TestFastFailerDrawsFewStarts(t *testing.T) {
	workers := newWorkers(50, 8, 1)
	world := newWorld(1, workers...)
	workers[17].fast = true
	begin := world.now
	world.offer(rand.New(rand.NewPCG(7, 7)), 0.8, 0, begin.Add(30*time.Second))
	world.run(begin.Add(2 * time.Second))
	earlyAll, earlyFailer := len(world.starts), workers[17].starts
	world.run(begin.Add(30 * time.Second))
	share := float64(workers[17].starts-earlyFailer) / float64(len(world.starts)-earlyAll)
	t.Logf("first 2 s: %d of %d starts; after: %d of %d starts, %.5f",
		earlyFailer, earlyAll, workers[17].starts-earlyFailer, len(world.starts)-earlyAll, share)
	if share >= 0.01 {
		t.Errorf("the failing worker drew %.4f of the starts, the target is less than 0.01", share)
	}
}

// Guards against accepting more than can be done in time, so that work is
// spent on jobs that miss their deadline (target: at least 90% of capacity).
func TestGoodputAtTwiceTheCapacity(t *testing.T) {
	world := newWorld(1, newWorkers(12, 8, 1)...)
	begin := world.now
	world.offer(rand.New(rand.NewPCG(7, 7)), 2, 5000, begin.Add(40*time.Second))
	world.run(begin.Add(10 * time.Second))
	early := world.completeWork()
	world.run(begin.Add(40 * time.Second))
	goodput := float64(world.completeWork()-early) / (12 * 8 * 30_000)
	counters := world.core.Dump().Counters
	t.Logf("goodput %.3f of capacity; %d jobs, %d complete, %d failed, %d refused", goodput,
		counters.Jobs, counters.Complete, counters.Failed, counters.Refused)
	if goodput < 0.9 {
		t.Errorf("goodput is %.3f of capacity, the target is at least 0.9", goodput)
	}
}

// completeWork sums the run times of the tasks of complete jobs.
func (world *world) completeWork() int64 {
	sum := int64(0)
	for _, answer := range world.answers {
		for _, result := range answer.Results {
			sum += result.RunMs
		}
	}
	return sum
}

// BenchmarkStart measures one task from its job's acceptance to its end.
func BenchmarkStart(b *testing.B) {
	estimator := estimate.New()
	random := rand.New(rand.NewPCG(1, 1))
	core := dispatch.New(dispatch.Config{
		Scheduler: placement.New(placement.Greedy{}, estimator, random),
		Estimator: estimator,
		Random:    random,
		Capabilities: func(string) upstream.Capabilities {
			return upstream.Capabilities{}
		},
	})
	var fleet dispatch.FleetChanged
	for _, worker := range newWorkers(50, 8, 1) {
		fleet.Upstreams = append(fleet.Upstreams, worker.Upstream)
	}
	now := epoch
	core.Handle(now, fleet)
	spec := job.Job{Kind: "bench", Tasks: make([]job.Task, 5)}
	for i := range spec.Tasks {
		spec.Tasks[i].RunMs = 300
	}
	b.ReportAllocs()
	counter := uint64(0)
	for b.Loop() {
		counter++
		now = now.Add(time.Millisecond)
		for _, decision := range core.Handle(now, dispatch.JobAccepted{
			Key: submission.Key{Incarnation: 1, Counter: counter},
			Job: spec,
		}) {
			start := decision.(dispatch.StartTask)
			core.Handle(now, dispatch.TaskEnded{Task: start.Task, Upstream: start.Upstream, OK: true, RunMs: 300})
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(5*b.N), "ns/start")
}
