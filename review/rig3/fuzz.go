package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

func init() { scenarios["fuzz"] = fuzz }

// fuzz sends unusual jobs beside ordinary ones.
func fuzz(world *World, seed uint64, _ bool) error {
	random := rand.New(rand.NewPCG(seed, 5))
	world.timeoutMs, world.targetMs = 3000, 2000
	world.setZones("z-a", "z-b", "z-c")
	for i := range 12 {
		if _, err := world.addWorker([]string{"z-a", "z-b", "z-c"}[i%3], resources{16000, 32768, 1}, true, "a"); err != nil {
			return err
		}
	}
	if err := world.startAll(); err != nil {
		return err
	}
	pick := func(values ...int) int { return values[random.IntN(len(values))] }
	var group sync.WaitGroup
	end := time.Now().Add(30 * time.Second)
	for time.Now().Before(end) {
		var steps []Step
		for i := range pick(1, 1, 2, 5, 40, 400) {
			step := Step{Count: pick(1, 2, 8, 580, 3000, 10000), CPU: pick(0, 0, 1, 500, 8000, 16000, 16001, 1<<30, 1<<40), Mem: pick(0, 64, 40000), GPU: pick(0, 0, 1, 2),
				EstimateMs: pick(0, 1, 60, 100000, 1<<40), AntiAffinity: pick(0, 0, 1, 1<<40)}
			if i > 0 && random.IntN(2) == 0 {
				step.DependsOn = []int{random.IntN(i), random.IntN(i), i - 1}
			}
			if random.IntN(10) == 0 {
				step.Requirements = "none"
			}
			steps = append(steps, step)
		}
		job := newJob("20", steps...)
		group.Add(1)
		go func() {
			defer group.Done()
			world.submit(job, rand.IntN(3), 3*time.Second, 0)
		}()
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
		plain := newJob("50", Step{Count: 2, CPU: 4000, Mem: 64, EstimateMs: 50})
		began := time.Now()
		group.Add(1)
		go func() {
			defer group.Done()
			world.submit(plain, rand.IntN(3), 3*time.Second, 0)
			if took := time.Since(began); took > time.Second {
				world.record("plain job %s took %d ms", plain.ID, took.Milliseconds())
			}
		}()
	}
	group.Wait()
	return nil
}
