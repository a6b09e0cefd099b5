package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	holdMax   = time.Second
	stopGrace = 50 * time.Millisecond
)

type resources struct{ cpu, mem, gpu int }

// Worker stands in for a worker of the platform.
type Worker struct {
	world *World
	index int
	id    string
	// addresses holds, by process, the address at which it reaches the worker: that of a proxy
	// between the two. servers holds the proxies.
	addresses []string
	servers   []*http.Server
	service   string
	zone      string
	room      resources
	labels    []string
	guards    bool
	slots     int
	// stopTime draws how long a stop takes.
	stopTime func() time.Duration

	mutex     sync.Mutex
	born      time.Time
	down      bool
	token     int64
	leaseEnd  int64
	running   map[string]*workerRun
	endedRun  map[string]int
	finished  [][]any
	seq       int
	state     string
	drainedAt time.Time
	entryGone bool
	changed   chan struct{}
	clockRate float64
	lateShare float64
	lostShare float64
}

type workerRun struct {
	task     string
	number   int
	startAt  time.Time
	duration time.Duration
	stopAt   time.Time
	need     resources
}

func (worker *Worker) clock(now time.Time) int64 {
	return 1 + int64(float64(now.Sub(worker.born).Milliseconds())*worker.clockRate)
}

func (worker *Worker) reboot() {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	for _, run := range worker.running {
		worker.world.checker.ended(worker, run, "lost", time.Now())
	}
	worker.born = time.Now()
	worker.token, worker.leaseEnd = 0, 0
	worker.running = map[string]*workerRun{}
	worker.endedRun = map[string]int{}
	worker.finished = nil
	worker.seq = 0
	worker.state = "ready"
	worker.drainedAt = time.Time{}
}

// advance ends the runs that are due.
func (worker *Worker) advance(now time.Time) {
	for name, run := range worker.running {
		switch {
		case worker.clock(now) > worker.leaseEnd:
			worker.end(name, run, "lapsed", now)
		case !run.stopAt.IsZero() && !now.Before(run.stopAt):
			worker.end(name, run, "stopped", now)
		case run.stopAt.IsZero() && now.Sub(run.startAt) >= run.duration:
			worker.end(name, run, "done", now)
		}
	}
}

func (worker *Worker) end(name string, run *workerRun, how string, now time.Time) {
	delete(worker.running, name)
	worker.endedRun[name] = max(worker.endedRun[name], run.number)
	worker.seq++
	worker.finished = append(worker.finished, []any{worker.seq, name, run.number, how, ""})
	worker.world.checker.ended(worker, run, how, now)
	close(worker.changed)
	worker.changed = make(chan struct{})
}

func (worker *Worker) loop() {
	for range time.Tick(4 * time.Millisecond) {
		worker.mutex.Lock()
		if !worker.down {
			worker.advance(time.Now())
		}
		worker.mutex.Unlock()
	}
}

type orderBody struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Token    int64  `json:"fencing-token"`
	LastSeen int    `json:"last-seen"`
	Wait     int    `json:"wait-ms"`
}

func (worker *Worker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if worker.world.workerCut(request, worker.index) || worker.isDown() {
		<-request.Context().Done()
		return
	}
	var order orderBody
	if json.NewDecoder(request.Body).Decode(&order) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != worker.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if late := worker.lateAfter(); late > 0 {
		born := worker.bornAt()
		time.AfterFunc(late, func() {
			if worker.bornAt().Equal(born) {
				worker.execute(request.URL.Path, order, request)
			}
		})
		<-request.Context().Done()
		return
	}
	status, body, changed := worker.execute(request.URL.Path, order, request)
	deadline := time.Now().Add(time.Duration(min(order.Wait, 2000)) * time.Millisecond)
	for status == http.StatusOK && order.Wait > 0 && time.Now().Before(deadline) {
		if ends, ok := body["finished-runs"].([][]any); !ok || len(ends) > 0 {
			break
		}
		select {
		case <-changed:
		case <-time.After(time.Until(deadline)):
		case <-request.Context().Done():
			return
		}
		worker.mutex.Lock()
		body, changed = worker.lists(order.LastSeen, time.Now()), worker.changed
		worker.mutex.Unlock()
	}
	if worker.world.workerCut(request, worker.index) || worker.isDown() || worker.loses() {
		<-request.Context().Done()
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

func (worker *Worker) bornAt() time.Time {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	return worker.born
}

// lateAfter returns after how long an order is to be carried out without an answer, or 0.
func (worker *Worker) lateAfter() time.Duration {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	if rand.Float64() >= worker.lateShare {
		return 0
	}
	return 2*time.Second + time.Duration(rand.IntN(10_000))*time.Millisecond
}

// loses reports whether the answer to an order is to be lost.
func (worker *Worker) loses() bool {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	return rand.Float64() < worker.lostShare
}

func (worker *Worker) isDown() bool {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	return worker.down
}

func (worker *Worker) execute(path string, order orderBody, request *http.Request) (int, map[string]any, chan struct{}) {
	caller := -1
	if strings.HasSuffix(path, "run-start") {
		caller = callerOf(request)
	}
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	now := time.Now()
	worker.advance(now)
	refuse := func(reason string) (int, map[string]any, chan struct{}) {
		return http.StatusConflict, map[string]any{"clock-ms": worker.clock(now), "born": worker.born.UnixMilli(), "reason": reason}, worker.changed
	}
	if order.Token < worker.token {
		return refuse("fence")
	}
	worker.token = order.Token
	switch {
	case strings.HasSuffix(path, "run-start"):
		if reason := worker.start(order, caller, now); reason != "" {
			return refuse(reason)
		}
	case strings.HasSuffix(path, "run-stop"):
		if run, known := worker.running[order.Task]; known && run.number <= order.Run && run.stopAt.IsZero() {
			run.stopAt = now.Add(worker.stopTime())
			worker.world.record("%s stop of %s run %d", worker.id, order.Task, order.Run)
		}
		worker.endedRun[order.Task] = max(worker.endedRun[order.Task], order.Run)
	case strings.HasSuffix(path, "hold"):
		worker.extend(order.Deadline, now)
		kept := worker.finished[:0]
		for _, row := range worker.finished {
			if row[0].(int) > order.LastSeen {
				kept = append(kept, row)
			}
		}
		worker.finished = kept
		return http.StatusOK, worker.lists(order.LastSeen, now), worker.changed
	default:
		return http.StatusNotFound, map[string]any{}, worker.changed
	}
	return http.StatusOK, map[string]any{"clock-ms": worker.clock(now), "born": worker.born.UnixMilli()}, worker.changed
}

func (worker *Worker) extend(deadline int64, now time.Time) {
	if deadline > 0 {
		worker.leaseEnd = max(worker.leaseEnd, min(deadline, worker.clock(now)+holdMax.Milliseconds()))
	}
}

func (worker *Worker) start(order orderBody, caller int, now time.Time) string {
	run, known := worker.running[order.Task]
	if known && run.number == order.Run && run.stopAt.IsZero() {
		worker.extend(order.Deadline, now)
		return ""
	}
	if known || order.Run <= worker.endedRun[order.Task] {
		worker.extend(order.Deadline, now)
		return "old"
	}
	if order.Deadline <= worker.clock(now) {
		return "late"
	}
	job := worker.world.checker.job(jobOf(order.Task))
	need := resources{}
	if job != nil {
		need = job.need(order.Task)
	}
	used := need
	for _, other := range worker.running {
		used = resources{used.cpu + other.need.cpu, used.mem + other.need.mem, used.gpu + other.need.gpu}
	}
	over := used.cpu > worker.room.cpu || used.mem > worker.room.mem || used.gpu > worker.room.gpu
	if worker.guards && (over || len(worker.running) >= worker.slots) {
		worker.extend(order.Deadline, now)
		return "room"
	}
	worker.extend(order.Deadline, now)
	started := &workerRun{task: order.Task, number: order.Run, startAt: now, duration: taskTime(order.Spec, order.Task), need: need}
	worker.world.checker.started(worker, started, order, caller, over, now)
	worker.running[order.Task] = started
	return ""
}

// taskTime returns the run time of a task: the entry of its step in a spec like "100,2000".
func taskTime(spec, task string) time.Duration {
	step, _ := strconv.Atoi(strings.Split(task, ".")[2])
	parts := strings.Split(spec, ",")
	ms, err := strconv.Atoi(parts[min(step, len(parts)-1)])
	if err != nil {
		ms = 100
	}
	return time.Duration(ms) * time.Millisecond
}

func jobOf(task string) string { return strings.SplitN(task, ".", 2)[0] }

func (worker *Worker) lists(lastSeen int, now time.Time) map[string]any {
	worker.advance(now)
	running := [][]any{}
	for name, run := range worker.running {
		if !run.stopAt.IsZero() {
			continue
		}
		running = append(running, []any{name, run.number, "", min(99, int(100*now.Sub(run.startAt)/run.duration)), run.need.cpu})
	}
	ended := [][]any{}
	for _, row := range worker.finished {
		if row[0].(int) > lastSeen && len(ended) < 500 {
			ended = append(ended, row)
		}
	}
	return map[string]any{"clock-ms": worker.clock(now), "born": worker.born.UnixMilli(), "running": running, "finished-runs": ended}
}

// placeholder stands for the address in the worker's entry, until the store passes it on.
func (worker *Worker) placeholder() string { return fmt.Sprintf("@w%d@", worker.index) }

// refuse ends the connections of a process to the worker and refuses others.
func (worker *Worker) refuse(proc int) { _ = worker.servers[proc].Close() }

// accept ends refuse.
func (worker *Worker) accept(proc int) error {
	listener, err := net.Listen("tcp", worker.addresses[proc])
	if err != nil {
		return err
	}
	worker.servers[proc] = worker.world.newServer(proc, worker)
	go func() { _ = worker.servers[proc].Serve(listener) }()
	return nil
}

// setSilent cuts the worker off from the store, or ends the cut.
func (worker *Worker) setSilent(silent bool) {
	worker.mutex.Lock()
	worker.entryGone = silent
	worker.mutex.Unlock()
}

// removeEntry removes the worker's entry from the store.
func (worker *Worker) removeEntry() { worker.world.store.append("keyed.servers", worker.id, "") }

// report writes the worker's entry.
func (worker *Worker) report(seq int) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	if worker.down || worker.entryGone {
		return
	}
	worker.world.store.append("keyed.servers", worker.id, worker.entry(`"version":"v1","cold-remaining-ms":0,`, worker.labels, seq))
}

// entry returns an entry of the worker with the given fields before the others.
func (worker *Worker) entry(fields string, labels []string, seq int) string {
	encoded, _ := json.Marshal(labels)
	return fmt.Sprintf(`{%s"service":%q,"address":%q,"zone":%q,"slots":%d,"state":%q,`+
		`"capacity":{"cpu":%d,"mem-mb":%d,"gpu":%d},"labels":%s,"clock-ms":%d,"born":%d,"seq":%d}`,
		fields, worker.service, worker.placeholder(), worker.zone, worker.slots, worker.state, worker.room.cpu, worker.room.mem, worker.room.gpu,
		encoded, worker.clock(time.Now()), worker.born.UnixMilli(), seq)
}

// writeForeignEntry writes an entry under the worker's key as another writer: without the fields
// version and cold-remaining-ms, and with other labels.
func (worker *Worker) writeForeignEntry(labels ...string) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	worker.world.store.append("keyed.servers", worker.id, worker.entry("", labels, 3))
	worker.world.record("another writer's entry for %s, without version and cold-remaining-ms: labels %v", worker.id, labels)
}

// drain makes the worker report that it drains, and records when the store accepted it.
func (worker *Worker) drain() {
	worker.mutex.Lock()
	worker.state = "draining"
	worker.mutex.Unlock()
	worker.report(1000)
	worker.mutex.Lock()
	worker.drainedAt = time.Now()
	worker.mutex.Unlock()
	worker.world.record("%s draining, accepted by the store", worker.id)
}

func randomStop() time.Duration { return time.Duration(rand.IntN(int(stopGrace))) }
