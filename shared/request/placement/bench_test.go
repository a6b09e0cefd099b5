package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"tanagerfall/shared/request/estimate"
	"tanagerfall/shared/request/submission"
)

// BenchmarkDecision measures the time per task from Enqueue to Finish by the number of
// slots and the tasks per job. In the cases "idle", a fifth of the slots is idle; in
// the cases "queued", all slots are occupied and half as many tasks as slots wait.
func BenchmarkDecision(b *testing.B) {
	for _, slots := range []int{400, 4000, 40_000} {
		for _, tasks := range []int{1, 5, 58, 580} {
			b.Run(fmt.Sprintf("idle/slots=%d/tasks=%d", slots, tasks), func(b *testing.B) {
				measureDecisions(b, slots, tasks, slots*4/5)
			})
			b.Run(fmt.Sprintf("queued/slots=%d/tasks=%d", slots, tasks), func(b *testing.B) {
				measureDecisions(b, slots, tasks, slots*3/2)
			})
		}
	}
}

// decisionBench runs jobs on a Scheduler in simulated time.
type decisionBench struct {
	scheduler       *Scheduler
	random          *rand.Rand
	now             time.Time
	jobs            uint64
	unfinishedTasks int
	running         []Assignment
	// finished is the number of assignments at the start of running that have
	// ended.
	finished int
}

func measureDecisions(b *testing.B, slots, tasks, unfinishedTasks int) {
	bench := newBench(slots)
	for bench.unfinishedTasks < unfinishedTasks {
		bench.step(tasks, slots)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		for range tasks {
			bench.finishOldest()
		}
		bench.step(tasks, slots)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tasks), "ns/task")
}

// newBench returns a benchmark with upstreams of 8 slots, whose speeds spread evenly on
// a logarithmic scale from 0.5 to 2.
func newBench(slots int) *decisionBench {
	random := rand.New(rand.NewPCG(1, 1))
	bench := &decisionBench{
		scheduler: New(Target{}, estimate.New(), random),
		random:    random,
		now:       time.Unix(1000, 0),
	}
	upstreams := slots / 8
	for i := range upstreams {
		bench.scheduler.SetUpstream(Upstream{
			ID:    fmt.Sprintf("upstream-%05d", i),
			Rack:  fmt.Sprintf("rack-%04d", i/8),
			Slots: 8,
			Speed: math.Pow(4, float64(i)/float64(upstreams)-0.5),
		})
	}
	return bench
}

// step advances the time, enqueues a job and places waiting tasks.
func (bench *decisionBench) step(tasks, slots int) {
	const tasksPerSlotMs = 0.0021
	bench.now = bench.now.Add(milliseconds(float64(tasks) / (float64(slots) * tasksPerSlotMs)))
	bench.jobs++
	job := Job{
		Key: submission.Key{
			Counter: bench.jobs,
		},
		Kind:    "k",
		Arrival: bench.now,
		Tasks:   make([]Task, tasks),
	}
	for i := range job.Tasks {
		job.Tasks[i] = Task{
			Index:      i,
			DeclaredMs: 50 * math.Exp(bench.random.Float64()*3),
		}
	}
	bench.unfinishedTasks += tasks
	bench.scheduler.Enqueue(job)
	bench.place()
}

func (bench *decisionBench) place() {
	for {
		assignment, placed := bench.scheduler.Next(bench.now)
		if !placed {
			return
		}
		bench.running = append(bench.running, assignment)
	}
}

func (bench *decisionBench) finishOldest() {
	assignment := bench.running[bench.finished]
	bench.finished++
	if bench.finished > len(bench.running)/2 && bench.finished > 1000 {
		bench.running = append([]Assignment(nil), bench.running[bench.finished:]...)
		bench.finished = 0
	}
	bench.scheduler.Finish(assignment.Upstream, assignment.Key, assignment.Index)
	bench.unfinishedTasks--
	bench.place()
}
