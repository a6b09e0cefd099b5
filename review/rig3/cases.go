package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

var scenarios = map[string]func(world *World, seed uint64, trouble bool) error{
	"cancel": cancelAcrossCut,
	"limit":  limitAfterCut,
}

func (world *World) setZones(zones ...string) {
	for i, zone := range zones {
		world.procs = append(world.procs, &Proc{world: world, index: i, zone: zone})
	}
}

// others returns the indexes of all processes but one.
func (world *World) others(one int) []int {
	var indexes []int
	for i := range world.procs {
		if i != one {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// cancelAcrossCut: the process that took a job is cut off from the other processes, not from the
// platform, the workers or its clients. The job is cancelled at another one.
func cancelAcrossCut(world *World, _ uint64, trouble bool) error {
	world.setZones("z-a", "z-a", "z-b", "z-b", "z-c", "z-c")
	world.timeoutMs = 25_000
	world.targetMs = 5000
	for i := range 12 {
		zone := []string{"z-a", "z-b", "z-c"}[i%3]
		if _, err := world.addWorker(zone, resources{16000, 32768, 0}, true, "a", "r1-1"); err != nil {
			return err
		}
	}
	if err := world.startAll(); err != nil {
		return err
	}
	time.Sleep(contactTime + time.Second)
	scheduler := world.scheduler()
	if scheduler < 0 {
		return fmt.Errorf("no process schedules")
	}
	holder, other := -1, -1
	for i := range world.procs {
		for j := range world.procs {
			if i != j && i != scheduler && world.procs[i].zone == world.procs[j].zone {
				holder, other = i, j
			}
		}
	}
	if holder < 0 {
		return fmt.Errorf("no zone with two processes")
	}
	world.record("p%d schedules, p%d takes the job, p%d the cancel", scheduler, holder, other)
	job := newJob("1500,300", Step{Count: 4, CPU: 4000, Mem: 64, EstimateMs: 1500}, Step{Count: 4, CPU: 4000, Mem: 64, EstimateMs: 300, DependsOn: []int{0}})
	ended := make(chan struct{})
	go func() {
		world.submit(job, holder, 25*time.Second, 0)
		close(ended)
	}()
	time.Sleep(300 * time.Millisecond)
	if trouble {
		world.record("cut between p%d and all other processes", holder)
		world.cutProcs([]int{holder}, world.others(holder), true)
	}
	time.Sleep(200 * time.Millisecond)
	status := world.cancel(job, other)
	if status != 200 {
		return fmt.Errorf("the cancel got %d", status)
	}
	time.Sleep(8 * time.Second)
	if trouble {
		world.record("the cut ends")
		world.cutProcs([]int{holder}, world.others(holder), false)
	}
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
	}
	return nil
}

// limitAfterCut: a zone is cut off for a while. Its machines choose a scheduler of their own, which
// steps down when the cut ends. The workers don't guard their capacity.
func limitAfterCut(world *World, _ uint64, trouble bool) error {
	world.setZones("z-a", "z-b", "z-c", "z-a", "z-b", "z-c", "z-a", "z-b", "z-c")
	world.enforces = false
	world.timeoutMs, world.targetMs = 12_000, 4000
	for i := range 18 {
		if _, err := world.addWorker([]string{"z-a", "z-b", "z-c"}[i%3], resources{16000, 32768, 0}, false, "a"); err != nil {
			return err
		}
	}
	if err := world.startAll(); err != nil {
		return err
	}
	end := time.Now().Add(22 * time.Second)
	var group sync.WaitGroup
	group.Add(1)
	go func() {
		defer group.Done()
		for time.Now().Before(end) {
			time.Sleep(time.Duration(rand.ExpFloat64() / 17 * float64(time.Second)))
			job := newJob("2000", Step{Count: 1 + rand.IntN(4), CPU: 4000, Mem: 64, EstimateMs: 2000})
			at := rand.IntN(len(world.procs))
			group.Add(1)
			go func() {
				defer group.Done()
				world.submit(job, at, 12*time.Second, 3)
			}()
		}
	}()
	time.Sleep(contactTime + 2*time.Second)
	scheduler := world.scheduler()
	if scheduler < 0 {
		return fmt.Errorf("no process schedules")
	}
	zone := "z-a"
	if world.procs[scheduler].zone == zone {
		zone = "z-b"
	}
	if trouble {
		world.record("%s is cut off from the other zones", zone)
		world.cutZone(zone, true)
	}
	time.Sleep(5500 * time.Millisecond)
	if trouble {
		world.record("the cut ends")
		world.cutZone(zone, false)
	}
	group.Wait()
	return nil
}

// cutZone cuts the processes and workers of a zone off from those of the others, or ends the cut.
func (world *World) cutZone(zone string, isCut bool) {
	var inside, outside, insideWorkers, outsideWorkers []int
	for i, proc := range world.procs {
		if proc.zone == zone {
			inside = append(inside, i)
		} else {
			outside = append(outside, i)
		}
	}
	for i, worker := range world.workers {
		if worker.zone == zone {
			insideWorkers = append(insideWorkers, i)
		} else {
			outsideWorkers = append(outsideWorkers, i)
		}
	}
	world.cutProcs(inside, outside, isCut)
	world.cutWorkers(inside, outsideWorkers, isCut)
	world.cutWorkers(outside, insideWorkers, isCut)
}
