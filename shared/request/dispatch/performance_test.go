package dispatch_test

import (
	"fmt"
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

// modelTask draws a task: 3% run for 1 to 5 s, the others for 50 ms to 1 s.
func modelTask(random *rand.Rand) job.Task {
	if random.Float64() < 0.03 {
		return job.Task{RunMs: logUniform(random, 1000, 5000)}
	}
	return job.Task{RunMs: logUniform(random, 50, 1000)}
}

// modelJob draws a job of the model workload of the project's design page: the number
// of tasks is log-normal with a median of 5, from 1 to job.MaxTasks.
func modelJob(random *rand.Rand, deadlineMs int64) job.Job {
	size := min(max(1, int(5*math.Exp(1.3*random.NormFloat64()))), job.MaxTasks)
	spec := job.Job{Kind: "bench", DeadlineMs: deadlineMs, Tasks: make([]job.Task, size)}
	for i := range spec.Tasks {
		spec.Tasks[i] = modelTask(random)
	}
	return spec
}

// submitLoad submits model jobs at the given share of the capacity until the given
// time.
func (simulation *simulation) submitLoad(random *rand.Rand, share float64, deadlineMs int64, until time.Time) {
	simulation.submitAtRate(random, share*totalSpeed(simulation.workers)/meanTaskMs*1000, deadlineMs, until)
}

func (simulation *simulation) submitAtRate(random *rand.Rand, tasksPerS float64, deadlineMs int64, until time.Time) {
	spec := modelJob(random, deadlineMs)
	gap := random.ExpFloat64() * float64(len(spec.Tasks)) / tasksPerS
	submitAt := simulation.now.Add(time.Duration(gap * float64(time.Second)))
	if submitAt.After(until) {
		return
	}
	simulation.callAt(submitAt, func() {
		simulation.submit(spec)
		simulation.submitAtRate(random, tasksPerS, deadlineMs, until)
	})
}

// Guards against lease renewals and checks for silent connections that cost more
// messages than the targets allow (per task: 0.02 without faults, 0.10 under
// faults).
func TestWastedMessages(t *testing.T) {
	exact := func(_ *rand.Rand, task job.Task) int64 { return task.RunMs }
	inexact := func(random *rand.Rand, task job.Task) int64 {
		return max(1, logUniform(random, float64(task.RunMs)/4, float64(task.RunMs)*4))
	}
	tests := []struct {
		name   string
		spread float64
		runMs  func(random *rand.Rand, task job.Task) int64
		faults float64
		target float64
	}{
		{"no faults", 1, exact, 0, 0.02},
		{"speeds spread 4x", 4, exact, 0, 0.02},
		{"run times off by up to 4x", 4, inexact, 0, 0.10},
		{"2% of connections fail", 4, exact, 0.02, 0.10},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(9, 9))
			workers := newWorkers(50, 8, 1)
			spread(workers, test.spread)
			simulation := newSimulation(1, workers...)
			simulation.runMs = func(task job.Task) int64 { return test.runMs(random, task) }
			simulation.fault = func() fault {
				if random.Float64() < test.faults {
					return fault(1 + random.IntN(int(faultCount)-2))
				}
				return faultNone
			}
			before := simulation.core.Dump().Counters
			simulation.submitLoad(rand.New(rand.NewPCG(7, 7)), 0.6, 0, simulation.now.Add(30*time.Second))
			simulation.runAndVerify(t)
			after := simulation.core.Dump().Counters
			starts := after.Starts - before.Starts
			wasted := float64(after.Messages-before.Messages)/float64(starts) - 2
			t.Logf("%d starts, %.5f wasted messages per task, %d status queries, %d retries",
				starts, wasted, after.StatusQueries-before.StatusQueries, after.Retries)
			if wasted > test.target || starts < 10_000 {
				t.Errorf("%.4f wasted messages per task over %d starts, the target is at most %.2f", wasted, starts, test.target)
			}
		})
	}
}

// Guards against a worker that attracts tasks by failing them fast (target: less
// than 1% of the starts after 2 s).
func TestFastFailingWorkerGetsFewStarts(t *testing.T) {
	workers := newWorkers(50, 8, 1)
	simulation := newSimulation(1, workers...)
	workers[17].failsFast = true
	begin := simulation.now
	simulation.submitLoad(rand.New(rand.NewPCG(7, 7)), 0.8, 0, begin.Add(30*time.Second))
	simulation.runUntil(begin.Add(2 * time.Second))
	warmUpStarts, warmUpFailingStarts := len(simulation.starts), workers[17].starts
	simulation.runUntil(begin.Add(30 * time.Second))
	share := float64(workers[17].starts-warmUpFailingStarts) / float64(len(simulation.starts)-warmUpStarts)
	t.Logf("first 2 s: %d of %d starts; after: %d of %d starts, %.5f",
		warmUpFailingStarts, warmUpStarts, workers[17].starts-warmUpFailingStarts, len(simulation.starts)-warmUpStarts, share)
	if share >= 0.01 {
		t.Errorf("the failing worker drew %.4f of the starts, the target is less than 0.01", share)
	}
}

// Guards against accepting more work than can be done in time, so that work is
// spent on jobs that miss their deadline (target: at least 90% of capacity).
func TestGoodputAtTwiceTheCapacity(t *testing.T) {
	tests := []struct {
		name       string
		policy     placement.Policy
		spread     float64
		deadlineMs int64
	}{
		{"greedy", placement.Greedy{}, 1, 5000},
		{"target, speeds spread 4x", placement.Target{Theta: 1.2}, 4, 5000},
		{"target, long deadline", placement.Target{Theta: 1.2}, 4, 15_000},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			workers := newWorkers(12, 8, 1)
			spread(workers, test.spread)
			simulation := newSimulationWith(dispatch.Config{}, test.policy, 1, workers...)
			begin := simulation.now
			simulation.submitLoad(rand.New(rand.NewPCG(7, 7)), 2, test.deadlineMs, begin.Add(40*time.Second))
			simulation.runUntil(begin.Add(10 * time.Second))
			warmUpWork := simulation.completedWorkMs()
			simulation.runUntil(begin.Add(40 * time.Second))
			goodput := (simulation.completedWorkMs() - warmUpWork) / (totalSpeed(workers) * 30_000)
			counters := simulation.core.Dump().Counters
			t.Logf("goodput %.3f of capacity; %d jobs, %d complete, %d failed, %d refused", goodput,
				counters.Jobs, counters.Complete, counters.Failed, counters.Refused)
			if goodput < 0.9 {
				t.Errorf("goodput is %.3f of capacity, the target is at least 0.9", goodput)
			}
		})
	}
}

func totalSpeed(workers []*worker) float64 {
	speed := 0.0
	for _, worker := range workers {
		speed += float64(worker.Slots) * worker.Speed
	}
	return speed
}

// spread sets the speeds of the workers: they differ by up to the factor, around 1.
func spread(workers []*worker, factor float64) {
	for i, worker := range workers {
		worker.Speed = math.Pow(factor, float64(i)/float64(len(workers)-1)-0.5)
	}
}

// completedWorkMs returns the work of the tasks of complete jobs, in milliseconds
// at speed 1.
func (simulation *simulation) completedWorkMs() float64 {
	sum := 0.0
	for _, answer := range simulation.answers {
		for _, result := range answer.Results {
			sum += float64(result.RunMs) * simulation.worker(result.Upstream).Speed
		}
	}
	return sum
}

// BenchmarkStart measures the time per task from the acceptance of its job to its
// end, for jobs of 5 tasks, by the number of slots.
func BenchmarkStart(b *testing.B) {
	for _, slots := range []int{400, 4000, 40_000} {
		b.Run(fmt.Sprint(slots), func(b *testing.B) { benchmarkStart(b, slots) })
	}
}

func benchmarkStart(b *testing.B, slots int) {
	estimator := estimate.New()
	random := rand.New(rand.NewPCG(1, 1))
	core := dispatch.New(dispatch.Config{
		Scheduler:    placement.New(placement.Target{Theta: 1.2}, estimator, random),
		Estimator:    estimator,
		Random:       random,
		Capabilities: func(string) upstream.Capabilities { return upstream.Capabilities{} },
	})
	var fleet dispatch.FleetChanged
	for _, worker := range newWorkers(slots/8, 8, 1) {
		fleet.Upstreams = append(fleet.Upstreams, worker.Upstream)
	}
	now := epoch
	core.Handle(now, fleet)
	spec := newJob(0, 300, 300, 300, 300, 300)
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
