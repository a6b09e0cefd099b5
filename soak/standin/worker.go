package standin

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"tanagerfall/soak/check"
)

const (
	// maxLease is the longest lease, and tick the resolution of its end.
	maxLease     = time.Second
	tickInterval = 5 * time.Millisecond
	// drainGrace is how long after its report a draining worker may get tasks:
	// the platform's bound, and the longest fault that may keep a process from
	// hearing of it.
	drainGrace = 2*time.Second + 3*time.Second
	// taskCapacity is the number of tasks that fit on a worker.
	taskCapacity = 2
)

// Faults are the shares of a worker's orders that go wrong.
type Faults struct {
	// LostReplyShare are carried out and get no answer.
	LostReplyShare float64
	// LateOrderShare get no answer and are carried out seconds later.
	LateOrderShare float64
	// HangTasks keeps tasks from making progress.
	HangTasks bool
}

// Worker runs tasks under leases and a fencing token.
type Worker struct {
	ID      string
	checker *check.Checker
	random  *rand.Rand

	mutex        sync.Mutex
	startTime    time.Time
	fencingToken int64
	// clockRate is how fast the worker's clock runs; leaseEnd is a time on it.
	clockRate     float64
	leaseEndMs    int64
	running       map[string]*task
	endedRuns     map[string]int
	finishedRuns  [][]any
	faults        Faults
	drainingSince time.Time
	unreachable   bool
}

type task struct {
	number    int
	startTime time.Time
	duration  time.Duration
}

// NewWorker returns a worker that has just started.
func NewWorker(id string, seed uint64, checker *check.Checker) *Worker {
	worker := &Worker{
		ID:        id,
		checker:   checker,
		random:    rand.New(rand.NewPCG(seed, 7)),
		clockRate: 1,
	}
	worker.restart()
	go worker.run()
	return worker
}

func (worker *Worker) restart() {
	for taskID := range worker.running {
		worker.checker.RecordEnd(worker.ID, jobOf(taskID), taskID, false)
	}
	worker.startTime = time.Now()
	worker.fencingToken = 0
	worker.leaseEndMs = 0
	worker.drainingSince = time.Time{}
	worker.running = make(map[string]*task)
	worker.endedRuns = make(map[string]int)
	worker.finishedRuns = nil
}

// Restart kills the worker's process and starts another.
func (worker *Worker) Restart() {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	worker.restart()
}

// SetFaults changes what goes wrong.
func (worker *Worker) SetFaults(faults Faults) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	worker.faults = faults
}

// SetUnreachable makes the worker silent while its tasks run on.
func (worker *Worker) SetUnreachable(unreachable bool) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	worker.unreachable = unreachable
}

// SetClockRate changes how fast the worker's clock runs. It is called before the
// first order.
func (worker *Worker) SetClockRate(rate float64) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	worker.clockRate = rate
}

// MarkDraining takes note that the worker reports that it drains.
func (worker *Worker) MarkDraining() {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	if worker.drainingSince.IsZero() {
		worker.drainingSince = time.Now()
	}
}

// StartUnixMs returns the start of the worker's process in Unix ms.
func (worker *Worker) StartUnixMs() int64 {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	return worker.startTime.UnixMilli()
}

func (worker *Worker) run() {
	for range time.Tick(tickInterval) {
		worker.mutex.Lock()
		worker.advance(time.Now())
		worker.mutex.Unlock()
	}
}

func (worker *Worker) advance(now time.Time) {
	for taskID, task := range worker.running {
		switch {
		case worker.clockMs(now) > worker.leaseEndMs:
			worker.endRun(taskID, "lapsed")
		case !worker.faults.HangTasks && now.Sub(task.startTime) >= task.duration:
			worker.endRun(taskID, "done")
		}
	}
}

func (worker *Worker) endRun(taskID, outcome string) {
	task := worker.running[taskID]
	delete(worker.running, taskID)
	worker.endedRuns[taskID] = max(worker.endedRuns[taskID], task.number)
	worker.finishedRuns = append(worker.finishedRuns, []any{len(worker.finishedRuns) + 1, taskID, task.number, outcome, ""})
	worker.checker.RecordEnd(worker.ID, jobOf(taskID), taskID, outcome == "done")
}

func jobOf(taskID string) string { return strings.SplitN(taskID, ".", 2)[0] }

type order struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadline-ms"`
	FencingToken int64  `json:"fencing-token"`
	LastSeen     int    `json:"last-seen"`
	WaitMs       int    `json:"wait-ms"`
}

// ServeHTTP carries orders out, as far as the faults let it.
func (worker *Worker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	var order order
	if err := json.NewDecoder(request.Body).Decode(&order); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	path := request.URL.Path
	worker.mutex.Lock()
	unreachable := worker.unreachable
	startTime := worker.startTime
	executeLate := worker.random.Float64() < worker.faults.LateOrderShare
	loseReply := worker.random.Float64() < worker.faults.LostReplyShare
	delay := time.Duration(2000+worker.random.IntN(4000)) * time.Millisecond
	worker.mutex.Unlock()
	if unreachable {
		<-request.Context().Done()
		return
	}
	if executeLate {
		time.AfterFunc(delay, func() { worker.execute(path, order, startTime) })
		<-request.Context().Done()
		return
	}
	status, reply := worker.execute(path, order, startTime)
	for waited := time.Duration(0); status == http.StatusOK && waited < time.Duration(order.WaitMs)*time.Millisecond &&
		len(reply["finished-runs"].([][]any)) == 0; waited += tickInterval {
		time.Sleep(tickInterval)
		reply = worker.immediatePoll(order.LastSeen)
	}
	if loseReply {
		<-request.Context().Done()
		return
	}
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(reply)
}

// execute applies an order that was meant for the process born at a time.
func (worker *Worker) execute(path string, order order, startTime time.Time) (int, map[string]any) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	now := time.Now()
	if startTime != worker.startTime {
		return http.StatusMisdirectedRequest, nil
	}
	worker.advance(now)
	refuse := func(reason string) (int, map[string]any) {
		return http.StatusConflict, map[string]any{
			"clock-ms": worker.clockMs(now),
			"reason":   reason,
		}
	}
	if order.FencingToken < worker.fencingToken {
		return refuse("fence")
	}
	worker.fencingToken = order.FencingToken
	switch {
	case strings.HasSuffix(path, "run-start"):
		if reason := worker.startRun(order, now); reason != "" {
			return refuse(reason)
		}
	case strings.HasSuffix(path, "run-stop"):
		if task, isRunning := worker.running[order.Task]; isRunning && task.number <= order.Run {
			worker.endRun(order.Task, "stopped")
		}
		worker.endedRuns[order.Task] = max(worker.endedRuns[order.Task], order.Run)
	default:
		worker.renewLease(order.DeadlineMs, now)
		if order.LastSeen > len(worker.finishedRuns) {
			order.LastSeen = 0
		}
	}
	return http.StatusOK, worker.status(order.LastSeen, now)
}

// startRun begins a run, or returns why not.
func (worker *Worker) startRun(order order, now time.Time) string {
	current, isRunning := worker.running[order.Task]
	switch {
	case isRunning && current.number == order.Run:
		return ""
	case order.Run <= worker.endedRuns[order.Task] || isRunning:
		worker.renewLease(order.DeadlineMs, now)
		return "old"
	case order.DeadlineMs <= worker.clockMs(now):
		return "late"
	case len(worker.running) >= taskCapacity:
		worker.renewLease(order.DeadlineMs, now)
		return "room"
	}
	worker.renewLease(order.DeadlineMs, now)
	drainedTooLong := !worker.drainingSince.IsZero() && now.Sub(worker.drainingSince) > drainGrace
	worker.checker.RecordStart(worker.ID, jobOf(order.Task), order.Task, drainedTooLong)
	worker.running[order.Task] = &task{
		number:    order.Run,
		startTime: now,
		duration:  time.Duration(50+worker.random.IntN(250)) * time.Millisecond,
	}
	return ""
}

func (worker *Worker) renewLease(untilMs int64, now time.Time) {
	if untilMs > 0 {
		worker.leaseEndMs = max(worker.leaseEndMs, min(untilMs, worker.clockMs(now)+maxLease.Milliseconds()))
	}
}

// clockMs returns the time on the worker's clock in ms.
func (worker *Worker) clockMs(now time.Time) int64 {
	return int64(worker.clockRate*float64(now.Sub(worker.startTime).Milliseconds())) + 1
}

func (worker *Worker) immediatePoll(lastSeen int) map[string]any {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	return worker.status(lastSeen, time.Now())
}

func (worker *Worker) status(lastSeen int, now time.Time) map[string]any {
	running := [][]any{}
	for taskID, task := range worker.running {
		percent := min(99, int(100*now.Sub(task.startTime)/task.duration))
		if worker.faults.HangTasks {
			percent = 0
		}
		running = append(running, []any{taskID, task.number, "", percent, 0})
	}
	ended := [][]any{}
	for _, row := range worker.finishedRuns {
		if row[0].(int) > lastSeen {
			ended = append(ended, row)
		}
	}
	return map[string]any{
		"clock-ms":      worker.clockMs(now),
		"born":          worker.startTime.UnixMilli(),
		"running":       running,
		"finished-runs": ended,
	}
}
