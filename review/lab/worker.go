package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxLease = time.Second
	// entryInterval is the time between two reports of a worker to the store.
	entryInterval = 1500 * time.Millisecond
	// entryLifetime is the silence after which the store removes an entry.
	entryLifetime = 3 * entryInterval
	// workerTick is the resolution of the ends of runs.
	workerTick = 2 * time.Millisecond
)

// worker is a stand-in for a worker. It runs tasks whose spec is "cpu=N ms=N".
type worker struct {
	id, service, zone string
	address           string
	cpu, memMb, slots int
	// guards says whether the worker rejects what does not fit.
	guards bool
	record *record

	mutex     sync.Mutex
	born      time.Time
	token     int64
	leaseEnd  int64
	runs      map[string]*run
	ended     map[string]int
	finished  [][]any
	forgotten int
	changed   chan struct{}
	state     string
	sequence  int
	// reportedAt is when the worker last reported to the store.
	reportedAt time.Time
	// cutUntil is when the worker reaches the store again; zero if it does.
	cutUntil time.Time
	// exited is set once the worker has left.
	exited bool
}

// run is a run that exists on a worker.
type run struct {
	task    string
	number  int
	cpu     int
	started time.Time
	length  time.Duration
	// stopAt is when a stop that was ordered is over; zero if none was. The run is not listed
	// meanwhile, and its end is listed afterwards.
	stopAt time.Time
	token  int64
}

func startWorker(id, service, zone string, cpu int, guards bool, record *record) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	worker := &worker{
		id: id, service: service, zone: zone, address: listener.Addr().String(),
		cpu: cpu, memMb: 32768, slots: 8, guards: guards, record: record,
		born: time.Now(), runs: make(map[string]*run), ended: make(map[string]int),
		changed: make(chan struct{}), state: "ready",
	}
	go func() { _ = http.Serve(listener, worker) }()
	go func() {
		for range time.Tick(workerTick) {
			worker.mutex.Lock()
			worker.advance(time.Now())
			worker.mutex.Unlock()
		}
	}()
	return worker, nil
}

// entry returns the worker's entry in the store.
func (worker *worker) entry() string {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	worker.sequence++
	worker.reportedAt = time.Now()
	entry, _ := json.Marshal(map[string]any{
		"service": worker.service, "address": worker.address, "zone": worker.zone, "version": "v1",
		"slots": worker.slots, "state": worker.state, "cold-remaining-ms": 0, "seq": worker.sequence,
		"born": worker.born.UnixMilli(), "labels": []string{"a", "r" + worker.id},
		"capacity": map[string]int{"cpu": worker.cpu, "mem-mb": worker.memMb, "gpu": 0},
	})
	return string(entry)
}

// report writes the worker's entry to the store periodically. After entryLifetime of silence the
// store removes it.
func (worker *worker) report(store *store) {
	listed := false
	for {
		worker.mutex.Lock()
		isCut := time.Now().Before(worker.cutUntil)
		reportedAt, exited := worker.reportedAt, worker.exited
		worker.mutex.Unlock()
		if exited {
			return
		}
		switch {
		case !isCut && (!listed || time.Since(reportedAt) >= entryInterval):
			store.append("keyed.servers", worker.id, worker.entry())
			listed = true
		case isCut && listed && time.Since(reportedAt) >= entryLifetime:
			store.append("keyed.servers", worker.id, "")
			listed = false
			worker.record.add("removed", "the entry of worker=%s", worker.id)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// cut keeps the worker from the store for a time. Others reach it.
func (worker *worker) cut(length time.Duration) {
	worker.mutex.Lock()
	worker.cutUntil = time.Now().Add(length)
	worker.mutex.Unlock()
	worker.record.add("cut", "worker=%s from the store for %v", worker.id, length)
}

// exit ends the worker. What runs on it is terminated, and its entry is removed.
func (worker *worker) exit(store *store) {
	now := time.Now()
	worker.mutex.Lock()
	worker.exited = true
	for task := range worker.runs {
		worker.end(task, "terminated", now)
	}
	worker.mutex.Unlock()
	store.append("keyed.servers", worker.id, "")
	worker.record.add("exit", "worker=%s", worker.id)
}

// running returns the number of runs.
func (worker *worker) running() int {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	return len(worker.runs)
}

// drain reports that the worker drains, and records when the store accepted it.
func (worker *worker) drain(store *store) {
	worker.mutex.Lock()
	worker.state = "draining"
	worker.mutex.Unlock()
	store.append("keyed.servers", worker.id, worker.entry())
	worker.record.add("draining", "worker=%s", worker.id)
}

func (worker *worker) clockMs(now time.Time) int64 { return now.Sub(worker.born).Milliseconds() + 1 }

// advance ends the runs that are over.
func (worker *worker) advance(now time.Time) {
	for task, run := range worker.runs {
		switch {
		case worker.clockMs(now) > worker.leaseEnd:
			worker.end(task, "lapsed", now)
		case !run.stopAt.IsZero():
			if !now.Before(run.stopAt) {
				worker.end(task, "stopped", now)
			}
		case now.Sub(run.started) >= run.length:
			worker.end(task, "done", now)
		}
	}
}

func (worker *worker) end(task, how string, now time.Time) {
	run := worker.runs[task]
	delete(worker.runs, task)
	worker.ended[task] = max(worker.ended[task], run.number)
	worker.finished = append(worker.finished, []any{len(worker.finished) + 1, task, run.number, how, ""})
	worker.record.runEnded(worker.id, run, how, now)
	close(worker.changed)
	worker.changed = make(chan struct{})
}

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadline-ms"`
	Token      int64  `json:"fencing-token"`
	LastSeen   int    `json:"last-seen"`
	WaitMs     int    `json:"wait-ms"`
}

// ServeHTTP executes an order.
func (worker *worker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	worker.mutex.Lock()
	exited := worker.exited
	worker.mutex.Unlock()
	if exited {
		panic(http.ErrAbortHandler)
	}
	var order order
	if err := json.NewDecoder(request.Body).Decode(&order); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if instance := request.Header.Get("Expect-Instance"); instance != "" && instance != worker.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status, body := worker.execute(request.URL.Path, order)
	if strings.HasSuffix(request.URL.Path, "/hold") && status == http.StatusOK && order.WaitMs > 0 {
		body = worker.awaitEnd(request, order)
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

// awaitEnd waits for an end that the sender has not seen, and returns the lists as they are then.
func (worker *worker) awaitEnd(request *http.Request, order order) map[string]any {
	timer := time.NewTimer(time.Duration(min(order.WaitMs, 2000)) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; ; {
		worker.mutex.Lock()
		changed := worker.changed
		body := worker.lists(order.LastSeen, time.Now())
		worker.mutex.Unlock()
		if len(body["finished-runs"].([][]any)) > 0 || !waiting {
			return body
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-request.Context().Done():
			waiting = false
		}
	}
}

func (worker *worker) execute(path string, order order) (int, map[string]any) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	now := time.Now()
	worker.advance(now)
	refuse := func(reason string) (int, map[string]any) {
		return http.StatusConflict, map[string]any{"clock-ms": worker.clockMs(now), "reason": reason}
	}
	if order.Token < worker.token {
		return refuse("fence")
	}
	worker.token = order.Token
	switch {
	case strings.HasSuffix(path, "/run-start"):
		if reason := worker.start(order, now); reason != "" {
			return refuse(reason)
		}
	case strings.HasSuffix(path, "/run-stop"):
		if run, exists := worker.runs[order.Task]; exists && run.number <= order.Run && run.stopAt.IsZero() {
			run.stopAt = now.Add(stopTime)
		}
		worker.ended[order.Task] = max(worker.ended[order.Task], order.Run)
	default:
		worker.renew(order.DeadlineMs, now)
		if order.LastSeen <= len(worker.finished) {
			worker.forgotten = max(worker.forgotten, order.LastSeen)
		}
		return http.StatusOK, worker.lists(order.LastSeen, now)
	}
	return http.StatusOK, map[string]any{"clock-ms": worker.clockMs(now)}
}

// start starts a run, or returns why it is refused.
func (worker *worker) start(order order, now time.Time) string {
	if existing, exists := worker.runs[order.Task]; exists && existing.number == order.Run && existing.stopAt.IsZero() {
		worker.renew(order.DeadlineMs, now)
		return ""
	}
	cpu, length := parseSpec(order.Spec)
	used, stopping := 0, 0
	for _, run := range worker.runs {
		used += run.cpu
		if !run.stopAt.IsZero() {
			stopping += run.cpu
		}
	}
	_, exists := worker.runs[order.Task]
	switch {
	case order.Run <= worker.ended[order.Task] || exists:
		worker.renew(order.DeadlineMs, now)
		return "old"
	case order.DeadlineMs <= worker.clockMs(now):
		return "late"
	case worker.guards && (used+cpu > worker.cpu || len(worker.runs) >= worker.slots):
		worker.renew(order.DeadlineMs, now)
		return "room"
	}
	worker.renew(order.DeadlineMs, now)
	started := &run{task: order.Task, number: order.Run, cpu: cpu, started: now, length: length, token: order.Token}
	worker.runs[order.Task] = started
	worker.record.runStarted(worker, started, order.Spec, used+cpu, stopping, now)
	return ""
}

func (worker *worker) renew(until int64, now time.Time) {
	if until > 0 {
		worker.leaseEnd = max(worker.leaseEnd, min(until, worker.clockMs(now)+maxLease.Milliseconds()))
	}
}

// lists returns the runs, without those that are being stopped, and the ends that were
// not seen.
func (worker *worker) lists(lastSeen int, now time.Time) map[string]any {
	running := [][]any{}
	for _, run := range worker.runs {
		if run.stopAt.IsZero() {
			percent := min(99, int(100*now.Sub(run.started)/run.length))
			running = append(running, []any{run.task, run.number, "", percent, run.cpu})
		}
	}
	finished := [][]any{}
	for _, row := range worker.finished[min(worker.forgotten, len(worker.finished)):] {
		if row[0].(int) > lastSeen && len(finished) < 500 {
			finished = append(finished, row)
		}
	}
	return map[string]any{
		"clock-ms": worker.clockMs(now), "born": worker.born.UnixMilli(),
		"running": running, "finished-runs": finished,
	}
}

// parseSpec returns what a task of the stand-in's clients needs and takes.
func parseSpec(spec string) (cpu int, length time.Duration) {
	for _, field := range strings.Fields(spec) {
		name, value, _ := strings.Cut(field, "=")
		number, _ := strconv.Atoi(value)
		switch name {
		case "cpu":
			cpu = number
		case "ms":
			length = time.Duration(number) * time.Millisecond
		}
	}
	return cpu, length
}

func formatSpec(cpu int, length time.Duration) string {
	return fmt.Sprintf("cpu=%d ms=%d", cpu, length.Milliseconds())
}
