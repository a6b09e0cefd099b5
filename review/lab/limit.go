package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// leaveShare is the share of clients that leave early, leaveTime how long that lasts, and
	// leaveWithin the time within which they leave: less than half of the objective of any job.
	leaveShare  = 0.25
	leaveTime   = 5500 * time.Millisecond
	leaveWithin = 150 * time.Millisecond
	// leaveLead is how long clients have been leaving when a VM is stopped.
	leaveLead = 1500 * time.Millisecond
)

// playLimit runs a loaded region whose workers don't guard their capacity. The trouble is that
// clients leave early, and that the entry VM that schedules is meanwhile stopped with SIGTERM and
// started again, one VM after the other.
func playLimit(options options, record *record) error {
	deployment, err := newDeployment(options.program, record)
	if err != nil {
		return err
	}
	defer deployment.close(options.keep)
	closeAtSignal(deployment)
	zones := []string{"ege-izmir", "ege-manisa", "ege-aydin"}
	for _, zone := range zones {
		if err := deployment.addWorkers(zone, 16, false); err != nil {
			return err
		}
	}
	deployment.publish([]route{
		{name: "hat", timeoutMs: 1500, targetMs: 60, stretch: 1.6, attempts: 2, priority: 2},
		{name: "stok", timeoutMs: 1500, targetMs: 60, stretch: 1.6, attempts: 3, priority: 1},
	}, false)
	if err := deployment.startVMs([]string{zones[0], zones[1], zones[2], zones[0], zones[1], zones[2], zones[0]}, machine{
		cpuShare: 0.4, memoryMb: 284, maxFds: 4100, linkMbps: 1000,
	}); err != nil {
		return err
	}
	if err := deployment.awaitReady(10 * time.Second); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go deployment.checkReadiness(ctx)
	var clients sync.WaitGroup
	var leaves atomic.Bool
	clients.Go(func() {
		for ctx.Err() == nil {
			clients.Go(func() { deployment.limitClient(ctx, leaves.Load() && rand.Float64() < leaveShare) })
			time.Sleep(time.Duration(rand.ExpFloat64() * float64(7*time.Millisecond)))
		}
	})
	time.Sleep(5 * time.Second)
	for range 8 {
		if options.trouble {
			record.add("leave", "a share of %g of the clients from now on, for %v", leaveShare, leaveTime)
		}
		leaves.Store(options.trouble)
		time.Sleep(leaveLead)
		if scheduler := deployment.scheduler(""); scheduler != nil && options.trouble {
			scheduler.signal(syscall.SIGTERM, restartDelay)
		}
		time.Sleep(leaveTime - leaveLead)
		leaves.Store(false)
		time.Sleep(1500 * time.Millisecond)
	}
	cancel()
	clients.Wait()
	time.Sleep(time.Second)
	return nil
}

// limitClient hands in one job, at a VM in rotation. The client may leave early.
func (deployment *deployment) limitClient(ctx context.Context, leaves bool) {
	job := &job{id: newID(), route: "stok", tasks: 1 + rand.IntN(3), cpu: taskCPU, length: time.Duration(150+rand.IntN(100)) * time.Millisecond}
	if rand.IntN(4) == 0 {
		job.route, job.tasks, job.length = "hat", 2+rand.IntN(4), time.Duration(700+rand.IntN(400))*time.Millisecond
	}
	if leaves {
		var leave context.CancelFunc
		ctx, leave = context.WithTimeout(ctx, rand.N(leaveWithin))
		defer leave()
	}
	if vm := deployment.inRotation(); vm != nil {
		deployment.post(ctx, vm, job, 1500*time.Millisecond)
	}
}
