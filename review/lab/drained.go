package main

import (
	"context"
	"sync"
	"syscall"
	"time"
)

// playDrained runs a region with long tasks. In each wave three workers report that they drain, as
// planned work, and exit when their tasks are done. The trouble is that they then lose the path to the store, so that their
// entries are removed while they go on, and that the process that schedules is killed.
func playDrained(options options, record *record) error {
	const (
		budget    = 20 * time.Second
		cutLength = 5 * time.Second
	)
	deployment, err := newDeployment(options.program, record)
	if err != nil {
		return err
	}
	defer deployment.close(options.keep)
	closeAtSignal(deployment)
	zones := []string{"ege-izmir", "ege-manisa", "ege-aydin"}
	for _, zone := range zones {
		if err := deployment.addWorkers(zone, 16, true); err != nil {
			return err
		}
	}
	deployment.publish([]route{{name: "uzun", timeoutMs: int(budget.Milliseconds()), targetMs: 60, stretch: 1.6, attempts: 2}}, true)
	if err := deployment.startVMs([]string{zones[0], zones[1], zones[2], zones[0], zones[1], zones[2], zones[0], zones[1], zones[2]}, machine{
		cpuShare: 0.4, memoryMb: 284, maxFds: 4100, linkMbps: 1000,
	}); err != nil {
		return err
	}
	if err := deployment.awaitReady(10 * time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	drained := make(map[*worker]bool)
	for range 3 {
		scheduler := deployment.scheduler("")
		var clients sync.WaitGroup
		for i := range 60 {
			job := &job{id: newID(), route: "uzun", tasks: 1, cpu: taskCPU, length: 8 * time.Second}
			vm := deployment.vms[i%len(deployment.vms)]
			if vm == scheduler {
				vm = deployment.vms[(i+1)%len(deployment.vms)]
			}
			clients.Go(func() { deployment.post(context.Background(), vm, job, budget) })
		}
		time.Sleep(500 * time.Millisecond)
		var leaving []*worker
		for _, worker := range deployment.workers {
			if len(leaving) < 3 && !drained[worker] && worker.running() > 0 {
				worker.drain(deployment.store)
				drained[worker] = true
				leaving = append(leaving, worker)
			}
		}
		time.Sleep(1430 * time.Millisecond)
		if options.trouble {
			for _, worker := range leaving {
				worker.cut(cutLength)
			}
		}
		time.Sleep(4350 * time.Millisecond)
		if scheduler != nil && options.trouble {
			scheduler.signal(syscall.SIGKILL, 500*time.Millisecond)
		}
		clients.Wait()
		for _, worker := range leaving {
			worker.exit(deployment.store)
		}
		time.Sleep(2 * time.Second)
	}
	return nil
}
