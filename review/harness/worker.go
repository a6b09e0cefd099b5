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
	leaseMax      = time.Second
	stopGrace     = 50 * time.Millisecond
	beatInterval  = 1500 * time.Millisecond
	maxHoldWait   = 2 * time.Second
	maxEndsListed = 500
)

// start is a task that a worker has begun on an order.
type start struct {
	task   string
	run    int
	worker string
	labels []string
	at     time.Time
}

// job returns the ID of the start's job.
func (start start) job() string { return strings.SplitN(start.task, ".", 2)[0] }

// journal collects the starts on all workers.
type journal struct {
	mutex  sync.Mutex
	starts []start
}

func (journal *journal) add(start start) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	journal.starts = append(journal.starts, start)
}

func (journal *journal) all() []start {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	return append([]start(nil), journal.starts...)
}

// run is a run that has not ended.
type run struct {
	task     string
	number   int
	begun    time.Time
	duration time.Duration
	// stopAt is when a run that is being stopped ends; zero if it is not.
	stopAt time.Time
}

// worker is a stand-in worker: it runs tasks under one lease, guards its capacity
// and fences orders. The spec of a job is the run time of its tasks in ms.
type worker struct {
	id, zone string
	store    *store
	journal  *journal
	recorder *recorder
	address  string

	mutex    sync.Mutex
	up       bool
	labels   []string
	born     time.Time
	sequence int
	token    int64
	lease    time.Time
	runs     map[string]*run
	// closed holds the highest run number of each task that was stopped or ended.
	closed  map[string]int
	ends    [][]any
	changed chan struct{}
	server  *http.Server
}

const (
	workerCpu = 16000
	workerMem = 32768
	taskCpu   = 6800
)

// boot starts the worker's process, with nothing of an earlier one. Its entry is in
// the store before it takes the first order.
func (worker *worker) boot(labels []string) error {
	address := worker.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	worker.mutex.Lock()
	worker.address = listener.Addr().String()
	worker.labels = labels
	worker.born = time.Now()
	worker.sequence = 0
	worker.token = 0
	worker.lease = time.Time{}
	worker.runs = make(map[string]*run)
	worker.closed = make(map[string]int)
	worker.ends = nil
	worker.changed = make(chan struct{})
	worker.up = true
	worker.server = &http.Server{Handler: http.HandlerFunc(worker.serve)}
	server := worker.server
	worker.mutex.Unlock()
	worker.beat()
	worker.recorder.add("worker %s boots: labels %v, born %d", worker.id, labels, worker.born.UnixMilli())
	go func() { _ = server.Serve(listener) }()
	return nil
}

// crash ends the worker's process.
func (worker *worker) crash() {
	worker.mutex.Lock()
	worker.up = false
	for _, run := range worker.runs {
		worker.recorder.add("worker %s crashes while it runs %s run %d", worker.id, run.task, run.number)
	}
	worker.runs = make(map[string]*run)
	server := worker.server
	worker.mutex.Unlock()
	worker.recorder.add("worker %s crashes", worker.id)
	_ = server.Close()
}

// live writes the worker's entry and ends its runs, until the case ends.
func (worker *worker) live() {
	lastBeat := time.Now()
	for range time.Tick(2 * time.Millisecond) {
		worker.mutex.Lock()
		up := worker.up
		if up {
			worker.advance(time.Now())
		}
		worker.mutex.Unlock()
		if up && time.Since(lastBeat) > beatInterval {
			lastBeat = time.Now()
			worker.beat()
		}
	}
}

// beat writes the worker's entry to the store.
func (worker *worker) beat() {
	worker.mutex.Lock()
	worker.sequence++
	entry, _ := json.Marshal(map[string]any{
		"service": "tezgah", "address": worker.address, "zone": worker.zone, "version": "v1", "slots": 8,
		"state": "ready", "cold-remaining-ms": 0,
		"capacity": map[string]int{"cpu": workerCpu, "mem-mb": workerMem, "gpu": 0},
		"labels":   worker.labels, "clock-ms": worker.clock(time.Now()), "seq": worker.sequence,
		"born": worker.born.UnixMilli(),
	})
	worker.mutex.Unlock()
	worker.store.put("keyed.servers", worker.id, string(entry))
}

// clock returns the worker's clock in ms, which starts anew with each process.
func (worker *worker) clock(now time.Time) int64 { return now.Sub(worker.born).Milliseconds() + 1 }

// advance ends the runs that are due.
func (worker *worker) advance(now time.Time) {
	for _, run := range worker.runs {
		switch {
		case now.After(worker.lease):
			worker.end(run, "lapsed")
		case !run.stopAt.IsZero() && !now.Before(run.stopAt):
			worker.end(run, "stopped")
		case run.stopAt.IsZero() && now.Sub(run.begun) >= run.duration:
			worker.end(run, "done")
		}
	}
}

func (worker *worker) end(run *run, how string) {
	delete(worker.runs, run.task)
	worker.closed[run.task] = max(worker.closed[run.task], run.number)
	worker.ends = append(worker.ends, []any{len(worker.ends) + 1, run.task, run.number, how, ""})
	worker.recorder.add("worker %s: %s run %d ends: %s", worker.id, run.task, run.number, how)
	close(worker.changed)
	worker.changed = make(chan struct{})
}

// order is the body of an order.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Token    int64  `json:"fencing-token"`
	LastSeen int    `json:"last-seen"`
	WaitMs   int64  `json:"wait-ms"`
}

func (worker *worker) serve(writer http.ResponseWriter, request *http.Request) {
	var order order
	if request.Method != http.MethodPost || json.NewDecoder(request.Body).Decode(&order) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != worker.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status, body := worker.execute(request.URL.Path, order)
	if status == http.StatusOK && strings.HasSuffix(request.URL.Path, "/hold") {
		body = worker.list(request, order)
	}
	worker.mutex.Lock()
	up := worker.up
	worker.mutex.Unlock()
	if !up {
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

// execute applies an order.
func (worker *worker) execute(path string, order order) (int, map[string]any) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	now := time.Now()
	worker.advance(now)
	body := map[string]any{"clock-ms": worker.clock(now)}
	refuse := func(reason string) (int, map[string]any) {
		body["reason"] = reason
		return http.StatusConflict, body
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
		if run := worker.runs[order.Task]; run != nil && run.number <= order.Run && run.stopAt.IsZero() {
			run.stopAt = now.Add(stopGrace / 2)
		}
		worker.closed[order.Task] = max(worker.closed[order.Task], order.Run)
	case strings.HasSuffix(path, "/hold"):
		worker.renew(order, now)
	default:
		return http.StatusNotFound, body
	}
	return http.StatusOK, body
}

func (worker *worker) renew(order order, now time.Time) {
	if order.Deadline <= 0 {
		return
	}
	until := worker.born.Add(time.Duration(order.Deadline-1) * time.Millisecond)
	if latest := now.Add(leaseMax); until.After(latest) {
		until = latest
	}
	if until.After(worker.lease) {
		worker.lease = until
	}
}

// start starts a run, or returns the reason for which it is refused.
func (worker *worker) start(order order, now time.Time) string {
	present := worker.runs[order.Task]
	switch {
	case present != nil && present.number == order.Run:
		return ""
	case present != nil || order.Run <= worker.closed[order.Task]:
		worker.renew(order, now)
		return "old"
	case order.Deadline < worker.clock(now):
		return "late"
	case (len(worker.runs)+1)*taskCpu > workerCpu:
		worker.renew(order, now)
		return "room"
	}
	worker.renew(order, now)
	ms, _ := strconv.Atoi(strings.Fields(order.Spec + " 100")[0])
	worker.runs[order.Task] = &run{
		task:     order.Task,
		number:   order.Run,
		begun:    now,
		duration: time.Duration(ms) * time.Millisecond,
	}
	worker.journal.add(start{
		task:   order.Task,
		run:    order.Run,
		worker: worker.id,
		labels: worker.labels,
		at:     now,
	})
	worker.recorder.add("worker %s (%s): %s run %d starts, token %d", worker.id, strings.Join(worker.labels, ","), order.Task, order.Run, order.Token)
	return ""
}

// list returns the answer to a hold, which waits for an end.
func (worker *worker) list(request *http.Request, order order) map[string]any {
	wait := min(time.Duration(order.WaitMs)*time.Millisecond, maxHoldWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		worker.mutex.Lock()
		ended := [][]any{}
		for _, row := range worker.ends {
			if row[0].(int) > order.LastSeen && len(ended) < maxEndsListed {
				ended = append(ended, row)
			}
		}
		now := time.Now()
		running := [][]any{}
		for _, run := range worker.runs {
			percent := min(99, int(100*now.Sub(run.begun)/run.duration))
			running = append(running, []any{run.task, run.number, "", percent, taskCpu})
		}
		body := map[string]any{
			"clock-ms": worker.clock(now), "born": worker.born.UnixMilli(),
			"running": running, "finished-runs": ended,
		}
		changed := worker.changed
		worker.mutex.Unlock()
		if len(ended) > 0 || wait <= 0 {
			return body
		}
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-request.Context().Done():
			return body
		}
	}
}

// workerID returns the ID of the worker with an index.
func workerID(index int) string { return fmt.Sprintf("i-%010x", 0x7f3a91c200+index) }
