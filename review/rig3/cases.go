package main

import (
	"encoding/binary"
	"fmt"
	"math/bits"
	"math/rand/v2"
	"os"
	"sync"
	"time"
)

var scenarios = map[string]func(world *World, seed uint64, trouble bool) error{
	"cancel":  cancelAcrossCut,
	"refused": refusedConnection,
	"foreign": foreignEntry,
	"limit":   limitAfterCut,
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
	for i := range 24 {
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

// xxhash64 returns the hash by which processes are ranked (shared/version/region/election.go), for
// texts of up to 31 bytes.
func xxhash64(text string) uint64 {
	const p1, p2, p3, p4, p5 = 11400714785074694791, 14029467366897019727, 1609587929392839161, 9650029242287828579, 2870177450012600261
	rotate := func(x uint64, n int) uint64 { return bits.RotateLeft64(x, n) }
	data := []byte(text)
	hash := uint64(p5) + uint64(len(data))
	for ; len(data) >= 8; data = data[8:] {
		hash ^= rotate(binary.LittleEndian.Uint64(data)*p2, 31) * p1
		hash = rotate(hash, 27)*p1 + p4
	}
	if len(data) >= 4 {
		hash ^= uint64(binary.LittleEndian.Uint32(data)) * p1
		hash = rotate(hash, 23)*p2 + p3
		data = data[4:]
	}
	for _, value := range data {
		hash ^= uint64(value) * p5
		hash = rotate(hash, 11) * p1
	}
	hash = (hash ^ hash>>33) * p2
	hash = (hash ^ hash>>29) * p3
	return hash ^ hash>>32
}

// successor returns the process that schedules next if another one is lost.
func (world *World) successor(lost int) int {
	best, bestHash := -1, uint64(0)
	for i, proc := range world.procs {
		hash := xxhash64(fmt.Sprintf("%s:%d/leader", proc.ip, world.callerPort+20)) >> 11
		if i != lost && (best < 0 || hash > bestHash) {
			best, bestHash = i, hash
		}
	}
	return best
}

// refusedConnection: two workers are cut off from the store, which removes their entries while they run
// tasks of the process that schedules. They refuse the connections of the next one. Then the first is killed.
func refusedConnection(world *World, _ uint64, trouble bool) error {
	world.proxied = false
	world.setZones("z-a", "z-b", "z-c", "z-a", "z-b", "z-c", "z-a")
	world.timeoutMs, world.targetMs = 20_000, 4000
	for i := range 12 {
		if _, err := world.addWorker([]string{"z-a", "z-b", "z-c"}[i%3], resources{16000, 32768, 0}, true, "a"); err != nil {
			return err
		}
	}
	if err := world.startAll(); err != nil {
		return err
	}
	time.Sleep(contactTime + time.Second)
	for wave := range 3 {
		scheduler := world.scheduler()
		if scheduler < 0 {
			return fmt.Errorf("no process schedules")
		}
		next := world.successor(scheduler)
		taker := world.others(scheduler)[0]
		for taker == next || taker == scheduler {
			taker++
		}
		cut := []*Worker{world.workers[wave*2], world.workers[wave*2+1]}
		world.record("wave %d: p%d schedules, p%d is next, p%d takes the jobs; %s and %s are cut off", wave, scheduler, next, taker, cut[0].id, cut[1].id)
		var group sync.WaitGroup
		for range 10 {
			job := newJob("8000", Step{Count: 2, CPU: 6800, Mem: 64, EstimateMs: 8000})
			group.Add(1)
			go func() {
				defer group.Done()
				world.submit(job, taker, 20*time.Second, 0)
			}()
		}
		time.Sleep(300 * time.Millisecond)
		if trouble {
			if err := world.loseScheduler(scheduler, next, cut, os.Getenv("CUTS") != "0"); err != nil {
				return err
			}
		}
		group.Wait()
		time.Sleep(3 * time.Second)
	}
	return nil
}

// loseScheduler kills the process that schedules and starts it again 0.5 s later. With cuts, workers lose
// their path to the store 4.6 s before, for 5 s, and refuse the next scheduler for the last 0.5 s of that.
func (world *World) loseScheduler(scheduler, next int, cut []*Worker, cuts bool) error {
	if cuts {
		for _, worker := range cut {
			worker.report(5000)
			worker.setSilent(true)
		}
	}
	time.Sleep(entryLifetime)
	if cuts {
		for _, worker := range cut {
			worker.removeEntry()
			worker.refuse(next)
		}
		world.record("the store has removed the entries; the workers refuse p%d", next)
	}
	time.Sleep(100 * time.Millisecond)
	world.record("p%d is killed", scheduler)
	world.procs[scheduler].kill()
	time.Sleep(380 * time.Millisecond)
	if cuts {
		for _, worker := range cut {
			worker.setSilent(false)
			worker.report(6000)
			if err := worker.accept(next); err != nil {
				return err
			}
		}
		world.record("both cuts end")
	}
	time.Sleep(120 * time.Millisecond)
	return world.procs[scheduler].start()
}

// entryLifetime is three report intervals, after which the store removes the entry of a worker that
// it does not hear.
const entryLifetime = 4500 * time.Millisecond

// foreignEntry: entries of another writer, with fields missing, name workers that lack a label as if they
// had it.
func foreignEntry(world *World, _ uint64, trouble bool) error {
	world.proxied = false
	world.setZones("z-a", "z-b", "z-c", "z-a", "z-b", "z-c", "z-a")
	world.timeoutMs, world.targetMs = 5000, 2000
	for i := range 12 {
		kind := "a"
		if i >= 9 {
			kind = "b"
		}
		if _, err := world.addWorker([]string{"z-a", "z-b", "z-c"}[i%3], resources{16000, 32768, 0}, true, kind, "r1-1"); err != nil {
			return err
		}
	}
	if err := world.startAll(); err != nil {
		return err
	}
	end := time.Now().Add(20 * time.Second)
	if trouble {
		go func() {
			time.Sleep(contactTime + 2*time.Second)
			for round := range 3 {
				world.workers[2*round].writeForeignEntry("b", "r1-1")
				world.workers[2*round+1].writeForeignEntry("b", "r1-1")
				time.Sleep(4 * time.Second)
			}
		}()
	}
	var group sync.WaitGroup
	for i := 0; time.Now().Before(end); i++ {
		time.Sleep(60 * time.Millisecond)
		step := Step{Count: 2, CPU: 6800, Mem: 64, EstimateMs: 250}
		if i%4 != 0 {
			step.Requirements = "b"
		}
		job := newJob("250", step)
		group.Add(1)
		go func() {
			defer group.Done()
			world.submit(job, rand.IntN(len(world.procs)), 5*time.Second, 0)
		}()
	}
	group.Wait()
	return nil
}
