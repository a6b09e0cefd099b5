package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// crashingWorkers is the number of workers that crash, the only ones of kind b.
const crashingWorkers = 3

// twoKinds returns the labels of a worker of kind b or a.
func twoKinds(index int) []string {
	if index < crashingWorkers {
		return []string{"b", "r1-1"}
	}
	return []string{"a", "r1-2"}
}

// otherKind plays ROUTE: workers of kind b crash, and each starts again under its id
// and address as one of kind a, which its entry in the store says before it takes
// the first order. Jobs that require kind b must not start there.
func otherKind(system *system, trouble bool) (result, error) {
	var requiring sync.Map
	ctx, stop := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	clients.Go(func() {
		for index := 0; ctx.Err() == nil; index++ {
			id := newID()
			requirement := ""
			if index%2 == 0 {
				requirement = `,"requirements":"b"`
				requiring.Store(id, true)
			}
			body := fmt.Sprintf(`{"spec":"100","best-effort":true,"steps":[{"count":2,"cpu":6800,"mem-mb":64,"estimate-ms":100%s}]}`, requirement)
			node := system.forward(zones[index%len(zones)], nil)
			clients.Go(func() {
				system.call(context.Background(), node, http.MethodPost, prefix+id, body, 1500*time.Millisecond)
			})
			time.Sleep(100 * time.Millisecond)
		}
	})
	time.Sleep(3 * time.Second)
	var crashes sync.WaitGroup
	for index, worker := range system.workers[:crashingWorkers] {
		if !trouble {
			break
		}
		crashes.Go(func() {
			worker.crash()
			time.Sleep(1500*time.Millisecond + time.Duration(index)*130*time.Millisecond)
			if err := worker.boot([]string{"a", "r1-1"}); err != nil {
				system.recorder.add("can't run: %v", err)
			}
		})
	}
	crashes.Wait()
	time.Sleep(4 * time.Second)
	stop()
	clients.Wait()
	wrong := 0
	for _, start := range system.journal.all() {
		if _, requires := requiring.Load(start.job()); requires && !slices.Contains(start.labels, "b") {
			wrong++
			system.recorder.add("ROUTE: %s requires b and was started on %s with the labels %v", start.task, start.worker, start.labels)
		}
	}
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}
