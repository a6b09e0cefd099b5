package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["chaos"] = chaos }

// chaos plays random faults of the kinds in RIG_FAULTS for RIG_SECONDS.
func chaos(world *World, seed uint64, trouble bool) error {
	random := rand.New(rand.NewPCG(seed, 3))
	faults := strings.Split(os.Getenv("RIG_FAULTS"), ",")
	seconds := 50
	fmt.Sscan(os.Getenv("RIG_SECONDS"), &seconds)
	guards := os.Getenv("RIG_GUARDS") == "1"
	world.enforces = guards
	world.timeoutMs, world.targetMs = 20_000, 4000
	world.setZones("z-a", "z-b", "z-c", "z-a", "z-b", "z-c", "z-a")
	workerCount := 18
	if os.Getenv("RIG_DIVIDED") == "1" {
		workerCount, world.linkMbps = 69, 4
		world.procs = nil
		world.setZones("z-a", "z-b", "z-c", "z-a", "z-b", "z-c", "z-a", "z-b", "z-c")
	}
	for i := range workerCount {
		kind := []string{"a", "b"}[i/3%2]
		if _, err := world.addWorker([]string{"z-a", "z-b", "z-c"}[i%3], resources{16000, 32768, 2}, guards, kind, fmt.Sprintf("r1-%d", i/4)); err != nil {
			return err
		}
	}
	if err := world.startAll(); err != nil {
		return err
	}
	end := time.Now().Add(time.Duration(seconds) * time.Second)
	var group sync.WaitGroup
	group.Add(1)
	rate := 12.0
	fmt.Sscan(os.Getenv("RIG_RATE"), &rate)
	go func() {
		defer group.Done()
		clients := rand.New(rand.NewPCG(seed, 9))
		for time.Now().Before(end) {
			time.Sleep(time.Duration(clients.ExpFloat64() / rate * float64(time.Second)))
			var job *Job
			switch clients.IntN(5) {
			case 0:
				job = newJob("60", Step{Count: 1 + clients.IntN(8), CPU: 4000 + clients.IntN(4000), Mem: 64, EstimateMs: 60})
			case 1:
				job = newJob("900", Step{Count: 1 + clients.IntN(4), CPU: 3000 + clients.IntN(6000), Mem: 6000, EstimateMs: 900})
			case 2:
				job = newJob("300,700", Step{Count: 2, CPU: 5000, Mem: 512, EstimateMs: 300, Requirements: "b"}, Step{Count: 3, CPU: 5000, Mem: 512, EstimateMs: 700, DependsOn: []int{0}, AntiAffinity: 1})
			case 3:
				job = newJob("1800", Step{Count: 1 + clients.IntN(3), CPU: 2000, Mem: 12000, GPU: 1, EstimateMs: 1800, AntiAffinity: 1})
			case 4:
				job = newJob("200,200,1200", Step{Count: 2, CPU: 7000, Mem: 64, EstimateMs: 200}, Step{Count: 2, CPU: 7000, Mem: 64, EstimateMs: 200, DependsOn: []int{0}}, Step{Count: 1, CPU: 7000, Mem: 64, EstimateMs: 1200, DependsOn: []int{0, 1}})
			}
			at := clients.IntN(len(world.procs))
			group.Add(1)
			go func() {
				defer group.Done()
				world.submit(job, at, 12*time.Second, 3)
			}()
			if clients.IntN(8) == 0 {
				where, after := clients.IntN(len(world.procs)), time.Duration(clients.IntN(2000))*time.Millisecond
				if os.Getenv("RIG_CANCEL") == "1" {
					group.Add(1)
					go func() {
						defer group.Done()
						time.Sleep(after)
						world.cancel(job, where)
					}()
				}
			}
		}
	}()
	time.Sleep(4 * time.Second)
	span := func(low, high int) time.Duration { return time.Duration(low+random.IntN(high-low)) * time.Millisecond }
	for trouble && time.Now().Before(end.Add(-6*time.Second)) {
		fault := faults[random.IntN(len(faults))]
		proc := world.procs[random.IntN(len(world.procs))]
		if random.IntN(2) == 0 {
			if index := world.scheduler(); index >= 0 {
				proc = world.procs[index]
			}
		}
		worker := world.workers[random.IntN(len(world.workers))]
		world.record("fault %s at p%d or %s", fault, proc.index, worker.id)
		switch fault {
		case "kill":
			proc.kill()
			time.Sleep(span(300, 900))
			_ = proc.start()
		case "term":
			proc.signal(syscall.SIGTERM)
			go func() {
				time.Sleep(6500 * time.Millisecond)
				proc.kill()
				_ = proc.start()
			}()
			time.Sleep(span(500, 2000))
		case "freeze":
			proc.signal(syscall.SIGSTOP)
			time.Sleep(span(300, 4000))
			proc.signal(syscall.SIGCONT)
		case "nodecut":
			world.cutProcs([]int{proc.index}, world.others(proc.index), true)
			time.Sleep(span(300, 6000))
			world.cutProcs([]int{proc.index}, world.others(proc.index), false)
		case "zonecut":
			var inside, outside, insideWorkers, outsideWorkers []int
			for i, other := range world.procs {
				if other.zone == proc.zone {
					inside = append(inside, i)
				} else {
					outside = append(outside, i)
				}
			}
			for i, other := range world.workers {
				if other.zone == proc.zone {
					insideWorkers = append(insideWorkers, i)
				} else {
					outsideWorkers = append(outsideWorkers, i)
				}
			}
			world.cutProcs(inside, outside, true)
			world.cutWorkers(inside, outsideWorkers, true)
			world.cutWorkers(outside, insideWorkers, true)
			time.Sleep(span(300, 6000))
			world.cutProcs(inside, outside, false)
			world.cutWorkers(inside, outsideWorkers, false)
			world.cutWorkers(outside, insideWorkers, false)
		case "workercut":
			var all, some []int
			for i := range world.procs {
				all = append(all, i)
			}
			for i := range world.workers {
				if random.IntN(5) == 0 {
					some = append(some, i)
				}
			}
			world.cutWorkers(all, some, true)
			time.Sleep(span(300, 5000))
			world.cutWorkers(all, some, false)
		case "reboot":
			worker.mutex.Lock()
			worker.down = true
			worker.mutex.Unlock()
			worker.reboot()
			time.Sleep(span(50, 1500))
			worker.reboot()
			worker.mutex.Lock()
			worker.down = false
			worker.mutex.Unlock()
			worker.report(1)
		case "reset":
			world.proxies[proc.index].resetAll()
			proc.disturb()
		case "drain":
			worker.drain()
			time.Sleep(span(3000, 5000))
			worker.reboot()
			worker.report(1)
		}
		time.Sleep(span(200, 2500))
	}
	group.Wait()
	time.Sleep(time.Second)
	return nil
}
