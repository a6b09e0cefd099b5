package main

import (
	"context"
	"sync"
	"syscall"
	"time"
)

const (
	// restartDelay is how long after the end of a process the next one starts.
	restartDelay = 100 * time.Millisecond
	// slowStore is how many times as long a slow store takes for its answers.
	slowStore = 60
)

// playDeclined runs a region that is divided by failure domain. In each wave, jobs fill the
// workers of one zone for a quarter of a second, so that the next ones are handed to the other
// zone. The trouble is that the platform's store is slow, and that the process that schedules the
// other zone is killed and starts again after a short delay.
func playDeclined(options options, record *record) error {
	deployment, err := newDeployment(options.program, record)
	if err != nil {
		return err
	}
	defer deployment.close(options.keep)
	closeAtSignal(deployment)
	zones := []string{"ege-izmir", "ege-manisa"}
	if err := deployment.addWorkers(zones[0], 10, true); err != nil {
		return err
	}
	if err := deployment.addWorkers(zones[1], 110, true); err != nil {
		return err
	}
	deployment.publish([]route{
		{name: "stok", timeoutMs: 3000, targetMs: 60, stretch: 1.6, attempts: 3},
		{name: "hat", timeoutMs: 3000, targetMs: 60, stretch: 1.6, attempts: 2},
	}, true)
	if err := deployment.startVMs([]string{zones[0], zones[1], zones[0], zones[1], zones[0], zones[1]}, weakMachine); err != nil {
		return err
	}
	if err := deployment.awaitDivided(); err != nil {
		return err
	}
	for range 6 {
		if options.trouble {
			deployment.store.slow(slowStore)
			time.Sleep(300 * time.Millisecond)
		}
		scheduler := deployment.scheduler(zones[1])
		var clients sync.WaitGroup
		handIn := func(count int, route string, tasks int, length time.Duration) {
			for i := range count {
				job := &job{id: newID(), route: route, tasks: tasks, cpu: taskCPU, length: length}
				vm := deployment.vms[2*(i%3)]
				clients.Go(func() { deployment.post(context.Background(), vm, job, 3*time.Second) })
			}
		}
		handIn(10, "stok", 2, 250*time.Millisecond)
		time.Sleep(25 * time.Millisecond)
		handIn(6, "hat", 3, 900*time.Millisecond)
		time.Sleep(100 * time.Millisecond)
		if scheduler != nil && options.trouble {
			scheduler.signal(syscall.SIGKILL, restartDelay)
		}
		clients.Wait()
		deployment.store.slow(1)
		time.Sleep(6 * time.Second)
	}
	return nil
}
