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
	world.timeoutMs, world.targetMs = 12_000, 4000
	if os.Getenv("RIG_LONG") == "1" {
		world.timeoutMs = 1500
	}
	world.setZones("z-a", "z-b", "z-c", "z-a", "z-b", "z-c", "z-a", "z-b", "z-c")
	workerCount := 18
	if os.Getenv("RIG_DIVIDED") == "1" {
		workerCount, world.linkMbps = 69, 4
		world.procs = nil
		world.setZones("z-a", "z-b", "z-c", "z-a", "z-b", "z-c", "z-a", "z-b", "z-c")
	}
	if os.Getenv("RIG_GROW") == "1" {
		workerCount, world.linkMbps = 60, 4
	}
	for i := range workerCount {
		kind := []string{"a", "b"}[i/3%2]
		if _, err := world.addWorker([]string{"z-a", "z-b", "z-c"}[i%3], resources{16000, 32768, 2}, guards, kind, fmt.Sprintf("r1-%d", i/4)); err != nil {
			return err
		}
	}
	for _, worker := range world.workers {
		if os.Getenv("RIG_SLOW") == "1" {
			worker.clockRate = 0.981
			worker.stopTime = func() time.Duration { return 48 * time.Millisecond }
		}
	}
	if err := world.startAll(); err != nil {
		return err
	}
	if os.Getenv("RIG_LEAVES") == "1" {
		// A third of the workers drain for long, one after the other.
		go func() {
			for i := 0; ; i++ {
				worker := world.workers[i%len(world.workers)]
				worker.drain()
				time.Sleep(1500 * time.Millisecond)
				go func() {
					time.Sleep(9 * time.Second)
					worker.reboot()
					worker.report(1)
				}()
			}
		}()
	}
	if os.Getenv("RIG_GROW") == "1" {
		go func() {
			time.Sleep(9 * time.Second)
			world.record("30 workers more")
			for i := range 30 {
				worker, err := world.addWorker([]string{"z-a", "z-b", "z-c"}[i%3], resources{16000, 32768, 2}, guards, "a", "r1-9")
				if err == nil {
					worker.report(1)
				}
			}
		}()
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
			if os.Getenv("RIG_SLOW") == "1" {
				job = newJob("4000", Step{Count: 1 + clients.IntN(4), CPU: 4000, Mem: 64, EstimateMs: 4000})
			}
			if os.Getenv("RIG_CHAIN") == "1" {
				chain := []Step{{Count: 2, CPU: 4000, Mem: 64, EstimateMs: 900}}
				for step := 1; step < 7; step++ {
					chain = append(chain, Step{Count: 2, CPU: 4000, Mem: 64, EstimateMs: 900, DependsOn: []int{step - 1}})
				}
				job = newJob("900", chain...)
			}
			at := clients.IntN(len(world.procs))
			if os.Getenv("RIG_SKEW") == "1" && clients.IntN(4) > 0 {
				at -= at % 3
			}
			group.Add(1)
			go func() {
				defer group.Done()
				world.submit(job, at, 12*time.Second, 3)
			}()
			if clients.IntN(8) == 0 || os.Getenv("RIG_CHAIN") == "1" {
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
		if os.Getenv("RIG_DIVIDED") == "1" && random.IntN(2) == 0 {
			proc = world.procs[random.IntN(len(world.procs)/3)*3]
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
		case "late", "lost":
			for _, other := range world.workers {
				other.mutex.Lock()
				if fault == "late" {
					other.lateShare = 0.3
				} else {
					other.lostShare = 0.27
				}
				other.mutex.Unlock()
			}
			time.Sleep(span(1000, 5500))
			for _, other := range world.workers {
				other.mutex.Lock()
				other.lateShare, other.lostShare = 0, 0
				other.mutex.Unlock()
			}
		case "paircut", "oneway":
			peer := world.procs[random.IntN(len(world.procs))]
			world.mutex.Lock()
			if peer != proc {
				world.cuts[[2]int{proc.index, peer.index}] = true
				world.cuts[[2]int{peer.index, proc.index}] = fault == "paircut"
			}
			world.mutex.Unlock()
			time.Sleep(span(300, 5000))
			world.cutProcs([]int{proc.index}, []int{peer.index}, false)
		case "storecut":
			world.mutex.Lock()
			world.storeCuts[proc.index] = true
			world.mutex.Unlock()
			time.Sleep(span(1000, 5000))
			world.mutex.Lock()
			delete(world.storeCuts, proc.index)
			world.mutex.Unlock()
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
