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

// BenchmarkDecision measures one task from Enqueue to Finish, by the number of
// slots and the tasks of a job. With "idle" a fifth of the slots is idle; with
// "queued" none is, and half as many tasks as there are slots wait.
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

type bench struct {
	scheduler *Scheduler
	random    *rand.Rand
	now       time.Time
	jobs      uint64
	held      int
	running   []Assignment
	// finished counts the assignments of running that have ended.
	finished int
}

func measureDecisions(b *testing.B, slots, tasks, held int) {
	bench := newBench(slots)
	for bench.held < held {
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

func newBench(slots int) *bench {
	random := rand.New(rand.NewPCG(1, 1))
	bench := &bench{
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

func (bench *bench) step(tasks, slots int) {
	const tasksPerSlotMs = 0.0021
	bench.now = bench.now.Add(milliseconds(float64(tasks) / (float64(slots) * tasksPerSlotMs)))
	bench.jobs++
	made := Job{
		Key: submission.Key{
			Counter: bench.jobs,
		},
		Kind:    "k",
		Arrival: bench.now,
		Tasks:   make([]Task, tasks),
	}
	for i := range made.Tasks {
		made.Tasks[i] = Task{
			Index:      i,
			DeclaredMs: 50 * math.Exp(bench.random.Float64()*3),
		}
	}
	bench.held += tasks
	bench.scheduler.Enqueue(made)
	bench.place()
}

func (bench *bench) place() {
	for {
		assignment, placed := bench.scheduler.Next(bench.now)
		if !placed {
			return
		}
		bench.running = append(bench.running, assignment)
	}
}

func (bench *bench) finishOldest() {
	ended := bench.running[bench.finished]
	bench.finished++
	if bench.finished > len(bench.running)/2 && bench.finished > 1000 {
		bench.running = append([]Assignment(nil), bench.running[bench.finished:]...)
		bench.finished = 0
	}
	bench.scheduler.Finish(ended.Upstream, ended.Key, ended.Index)
	bench.held--
	bench.place()
}
