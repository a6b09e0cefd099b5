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
	maxLease = time.Second
	tickInterval     = 5 * time.Millisecond
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

	mutex sync.Mutex
	startTime  time.Time
	fencingToken int64
	// clockRate is how fast the worker's clock runs; leaseEnd is a time on it.
	clockRate     float64
	leaseEndMs int64
	running  map[string]*task
	endedRuns  map[string]int
	finishedRuns    [][]any
	faults   Faults
	drainingSince  time.Time
	unreachable     bool
}

type task struct {
	number   int
	startTime time.Time
	duration  time.Duration
}

// NewWorker returns a worker that has just started.
func NewWorker(id string, seed uint64, checker *check.Checker) *Worker {
	worker := &Worker{
		ID:      id,
		checker: checker,
		random:  rand.New(rand.NewPCG(seed, 7)),
		clockRate:    1,
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
	for taskID, held := range worker.running {
		switch {
		case worker.clockMs(now) > worker.leaseEndMs:
			worker.endRun(taskID, "lapsed")
		case !worker.faults.HangTasks && now.Sub(held.startTime) >= held.duration:
			worker.endRun(taskID, "done")
		}
	}
}

func (worker *Worker) endRun(taskID, outcome string) {
	held := worker.running[taskID]
	delete(worker.running, taskID)
	worker.endedRuns[taskID] = max(worker.endedRuns[taskID], held.number)
	worker.finishedRuns = append(worker.finishedRuns, []any{len(worker.finishedRuns) + 1, taskID, held.number, outcome, ""})
	worker.checker.RecordEnd(worker.ID, jobOf(taskID), taskID, outcome == "done")
}

func jobOf(taskID string) string { return strings.SplitN(taskID, ".", 2)[0] }

type order struct {
	Task  string `json:"task"`
	Run   int    `json:"run"`
	Spec  string `json:"spec"`
	DeadlineMs int64  `json:"deadline-ms"`
	FencingToken int64  `json:"fencing-token"`
	LastSeen  int    `json:"last-seen"`
	WaitMs  int    `json:"wait-ms"`
}

// ServeHTTP carries orders out, as far as the faults let it.
func (worker *Worker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	var given order
	if err := json.NewDecoder(request.Body).Decode(&given); err != nil {
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
		time.AfterFunc(delay, func() { worker.execute(path, given, startTime) })
		<-request.Context().Done()
		return
	}
	status, reply := worker.execute(path, given, startTime)
	for waited := time.Duration(0); status == http.StatusOK && waited < time.Duration(given.WaitMs)*time.Millisecond &&
		len(reply["finished-runs"].([][]any)) == 0; waited += tickInterval {
		time.Sleep(tickInterval)
		reply = worker.immediatePoll(given.LastSeen)
	}
	if loseReply {
		<-request.Context().Done()
		return
	}
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(reply)
}

// execute applies an order that was meant for the process born at a time.
func (worker *Worker) execute(path string, given order, startTime time.Time) (int, map[string]any) {
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
	if given.FencingToken < worker.fencingToken {
		return refuse("fence")
	}
	worker.fencingToken = given.FencingToken
	switch {
	case strings.HasSuffix(path, "run-start"):
		if reason := worker.startRun(given, now); reason != "" {
			return refuse(reason)
		}
	case strings.HasSuffix(path, "run-stop"):
		if held, isRunning := worker.running[given.Task]; isRunning && held.number <= given.Run {
			worker.endRun(given.Task, "stopped")
		}
		worker.endedRuns[given.Task] = max(worker.endedRuns[given.Task], given.Run)
	default:
		worker.renewLease(given.DeadlineMs, now)
		if given.LastSeen > len(worker.finishedRuns) {
			given.LastSeen = 0
		}
	}
	return http.StatusOK, worker.status(given.LastSeen, now)
}

// startRun begins a run, or returns why not.
func (worker *Worker) startRun(given order, now time.Time) string {
	held, isRunning := worker.running[given.Task]
	switch {
	case isRunning && held.number == given.Run:
		return ""
	case given.Run <= worker.endedRuns[given.Task] || isRunning:
		worker.renewLease(given.DeadlineMs, now)
		return "old"
	case given.DeadlineMs <= worker.clockMs(now):
		return "late"
	case len(worker.running) >= taskCapacity:
		worker.renewLease(given.DeadlineMs, now)
		return "room"
	}
	worker.renewLease(given.DeadlineMs, now)
	drainedTooLong := !worker.drainingSince.IsZero() && now.Sub(worker.drainingSince) > drainGrace
	worker.checker.RecordStart(worker.ID, jobOf(given.Task), given.Task, drainedTooLong)
	worker.running[given.Task] = &task{
		number:   given.Run,
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
	for taskID, held := range worker.running {
		percent := min(99, int(100*now.Sub(held.startTime)/held.duration))
		if worker.faults.HangTasks {
			percent = 0
		}
		running = append(running, []any{taskID, held.number, "", percent, 0})
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
