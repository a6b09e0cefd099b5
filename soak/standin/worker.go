package standin

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"tanagerfall/soak/check"
)

const (
	// maxLease is the longest duration of a lease.
	maxLease = time.Second
	// tickInterval is the time between two checks for expired leases and
	// completed tasks.
	tickInterval = 5 * time.Millisecond
	// drainGrace is the time for which a draining worker may still get tasks after
	// it reported that it drains: the platform's bound of 2 s, and 3 s for the
	// longest fault that may keep a process from receiving the report.
	drainGrace = 2*time.Second + 3*time.Second
	// stopGrace is the longest time that a worker takes to stop a run. It does not list the
	// run meanwhile.
	stopGrace = 50 * time.Millisecond
	// taskCapacity is the number of tasks that a worker runs at the same time.
	taskCapacity = 2
)

// Faults holds the faults of a worker. A share is the probability, from 0 to 1,
// that an order is affected.
type Faults struct {
	// LostReplyShare is the share of orders that are executed but get no reply.
	LostReplyShare float64
	// LateOrderShare is the share of orders that get no reply and are executed
	// later: MinLateOrder later and up to LateOrderRange more, or 2 to 6 s if they are 0.
	LateOrderShare float64
	MinLateOrder   time.Duration
	LateOrderRange time.Duration
	// HangTasks stops the progress of tasks.
	HangTasks bool
}

// lateOrderDelay returns the time after which an order is executed late.
func (faults Faults) lateOrderDelay(random *rand.Rand) time.Duration {
	shortest, delayRange := faults.MinLateOrder, faults.LateOrderRange
	if delayRange == 0 {
		shortest, delayRange = 2*time.Second, 4*time.Second
	}
	return shortest + time.Duration(random.IntN(int(delayRange/time.Millisecond)))*time.Millisecond
}

// Worker is a stand-in worker that runs tasks under one lease and rejects orders
// with an outdated fencing token. It is safe for concurrent use.
type Worker struct {
	ID      string
	checker *check.Checker
	random  *rand.Rand
	// stopTimes draws how long stops take, apart from the other random numbers, so that
	// these stay the same for a seed.
	stopTimes *rand.Rand

	mutex        sync.Mutex
	startTime    time.Time
	fencingToken int64
	// clockRate is the speed of the worker's clock relative to real time.
	clockRate float64
	// leaseEndMs is a time on the worker's clock.
	leaseEndMs int64
	// leaseEnd is the same time as UnixNano.
	leaseEnd atomic.Int64
	// hasLease is set until the expiry of the lease has been recorded.
	hasLease bool
	running  map[string]*taskRun
	// endedRuns holds the highest run number of each task that ended or was
	// stopped. Runs up to that number don't start again.
	endedRuns map[string]int
	// finishedRuns holds the rows of finished-runs in replies: sequence number,
	// task, run, outcome, output.
	finishedRuns [][]any
	faults       Faults
	// minTaskTime and taskTimeRange bound the run time of a task.
	minTaskTime   time.Duration
	taskTimeRange time.Duration
	drainingSince time.Time
	unreachable   bool
}

// taskRun is the current run of a task.
type taskRun struct {
	number    int
	startTime time.Time
	duration  time.Duration
	// stopEnd is when the run ends because it was stopped, as UnixNano; 0 if it was not.
	stopEnd atomic.Int64
}

// isStopped reports whether a stop of the run has ended it at a time.
func (taskRun *taskRun) isStopped(at time.Time) bool {
	stopEnd := taskRun.stopEnd.Load()
	return stopEnd != 0 && at.UnixNano() >= stopEnd
}

// NewWorker starts a Worker that reports its runs to the checker. The seed
// determines its random numbers.
func NewWorker(id string, seed uint64, checker *check.Checker) *Worker {
	worker := &Worker{
		ID:        id,
		checker:   checker,
		random:    rand.New(rand.NewPCG(seed, 7)),
		stopTimes: rand.New(rand.NewPCG(seed, 11)),
		clockRate: 1,

		minTaskTime:   50 * time.Millisecond,
		taskTimeRange: 250 * time.Millisecond,
	}
	worker.restart()
	go worker.advancePeriodically()
	return worker
}

func (worker *Worker) restart() {
	worker.checker.RecordStop(worker.process())
	worker.startTime = time.Now()
	worker.fencingToken = 0
	worker.leaseEndMs = 0
	worker.leaseEnd.Store(0)
	worker.hasLease = false
	worker.drainingSince = time.Time{}
	worker.running = make(map[string]*taskRun)
	worker.endedRuns = make(map[string]int)
	worker.finishedRuns = nil
}

// process identifies the worker's process to the checker.
func (worker *Worker) process() check.Worker {
	return check.Worker{
		ID:   worker.ID,
		Boot: worker.startTime.UnixMilli(),
	}
}

// Restart replaces the worker's process: its tasks end without an outcome, and the
// new process has no lease, fencing token or finished runs.
func (worker *Worker) Restart() {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	worker.restart()
}

// SetFaults replaces the worker's faults.
func (worker *Worker) SetFaults(faults Faults) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	worker.faults = faults
}

// SetUnreachable makes the worker ignore new orders while its tasks continue to
// run, or ends this.
func (worker *Worker) SetUnreachable(unreachable bool) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	worker.unreachable = unreachable
}

// SetClockRate sets the speed of the worker's clock relative to real time. It is
// called before the first order.
func (worker *Worker) SetClockRate(rate float64) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	worker.clockRate = rate
}

// SetTaskTime sets the shortest run time of a task and the range above it. It is called
// before the first order.
func (worker *Worker) SetTaskTime(shortest, taskTimeRange time.Duration) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	worker.minTaskTime = shortest
	worker.taskTimeRange = taskTimeRange
}

// MarkDraining records the time at which the worker first reports that it drains.
func (worker *Worker) MarkDraining() {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	if worker.drainingSince.IsZero() {
		worker.drainingSince = time.Now()
	}
}

// StartUnixMs returns the start time of the worker's process in Unix milliseconds.
func (worker *Worker) StartUnixMs() int64 {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	return worker.startTime.UnixMilli()
}

func (worker *Worker) advancePeriodically() {
	for range time.Tick(tickInterval) {
		worker.mutex.Lock()
		worker.advance(time.Now())
		worker.mutex.Unlock()
	}
}

// advance ends all runs if the lease has expired, and otherwise the runs that are
// completed.
func (worker *Worker) advance(now time.Time) {
	// The ends of the runs that the lapse kills come after it, so that they can be noted.
	if worker.hasLease && worker.clockMs(now) > worker.leaseEndMs {
		worker.hasLease = false
		worker.checker.RecordLapse(worker.process())
	}
	for taskID, taskRun := range worker.running {
		switch {
		case worker.clockMs(now) > worker.leaseEndMs:
			worker.endRun(taskID, "lapsed", now)
		case taskRun.stopEnd.Load() != 0:
			if taskRun.isStopped(now) {
				worker.endRun(taskID, "stopped", now)
			}
		case !worker.faults.HangTasks && now.Sub(taskRun.startTime) >= taskRun.duration:
			worker.endRun(taskID, "done", now)
		}
	}
}

func (worker *Worker) endRun(taskID, outcome string, now time.Time) {
	taskRun := worker.running[taskID]
	delete(worker.running, taskID)
	worker.endedRuns[taskID] = max(worker.endedRuns[taskID], taskRun.number)
	worker.finishedRuns = append(worker.finishedRuns, []any{len(worker.finishedRuns) + 1, taskID, taskRun.number, outcome, ""})
	worker.checker.RecordEnd(check.End{
		Worker:   worker.process(),
		Job:      jobOf(taskID),
		Task:     taskID,
		Number:   taskRun.number,
		Sequence: len(worker.finishedRuns),
		Outcome:  outcome,
		Time:     now,
	})
}

// jobOf returns the job's part of a task ID.
func jobOf(taskID string) string { return strings.SplitN(taskID, ".", 2)[0] }

// order is the body of a request to a worker. DeadlineMs is the requested end of the
// lease on the worker's clock. LastSeen is the sequence number of the last finished
// run that the sender knows.
type order struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadline-ms"`
	FencingToken int64  `json:"fencing-token"`
	LastSeen     int    `json:"last-seen"`
	WaitMs       int    `json:"wait-ms"`
}

// ServeHTTP executes an order and replies with the runs of the worker, unless a
// fault prevents it. A reply without finished runs waits for up to wait-ms.
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
	delay := worker.faults.lateOrderDelay(worker.random)
	worker.mutex.Unlock()
	if unreachable {
		<-request.Context().Done()
		return
	}
	if executeLate {
		time.AfterFunc(delay, func() { worker.execute(path, order, startTime, true) })
		<-request.Context().Done()
		return
	}
	status, reply := worker.execute(path, order, startTime, false)
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

// execute applies an order and returns the status and body of the reply. An order
// that was sent to a process with another start time is rejected. isLate means that the
// worker held the order back.
func (worker *Worker) execute(path string, order order, startTime time.Time, isLate bool) (int, map[string]any) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	now := time.Now()
	if startTime != worker.startTime {
		return http.StatusMisdirectedRequest, nil
	}
	worker.advance(now)
	refuse := func(reason string) (int, map[string]any) {
		worker.checker.Count("orders-refused-" + reason)
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
		if reason := worker.startRun(order, now, isLate); reason != "" {
			return refuse(reason)
		}
	case strings.HasSuffix(path, "run-stop"):
		if taskRun, isRunning := worker.running[order.Task]; isRunning && taskRun.number <= order.Run && taskRun.stopEnd.Load() == 0 {
			taskRun.stopEnd.Store(now.Add(time.Duration(worker.stopTimes.Int64N(int64(stopGrace)))).UnixNano())
		}
		worker.endedRuns[order.Task] = max(worker.endedRuns[order.Task], order.Run)
	default:
		worker.renewLease(order.DeadlineMs, now)
		if order.LastSeen > len(worker.finishedRuns) {
			order.LastSeen = 0
		}
		worker.checker.RecordNote(worker.process(), order.LastSeen, now)
	}
	return http.StatusOK, worker.status(order.LastSeen, now)
}

// startRun starts a run, or returns the reason for which it is refused.
func (worker *Worker) startRun(order order, now time.Time, isLate bool) string {
	current, isRunning := worker.running[order.Task]
	switch {
	case isRunning && current.number == order.Run && current.stopEnd.Load() == 0:
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
	started := &taskRun{
		number:    order.Run,
		startTime: now,
		duration:  worker.taskTime(order.Spec),
	}
	worker.checker.RecordStart(check.Run{
		Worker:         worker.process(),
		Job:            jobOf(order.Task),
		Task:           order.Task,
		Number:         order.Run,
		FencingToken:   order.FencingToken,
		StartTime:      now,
		ExecutedLate:   isLate,
		DrainedTooLong: drainedTooLong,
		IsOver:         func(at time.Time) bool { return worker.leaseIsOver(at) || started.isStopped(at) },
	})
	worker.running[order.Task] = started
	return ""
}

// taskTimeDeviation is the largest relative deviation of a task's run time from the mean
// that its spec states.
const taskTimeDeviation = 0.4

// taskTime returns the run time of a task. A spec that is a duration states the mean.
func (worker *Worker) taskTime(spec string) time.Duration {
	if mean, err := time.ParseDuration(spec); err == nil {
		return time.Duration(float64(mean) * (1 + taskTimeDeviation*(2*worker.random.Float64()-1)))
	}
	return worker.minTaskTime + time.Duration(worker.random.IntN(int(worker.taskTimeRange/time.Millisecond)))*time.Millisecond
}

// renewLease extends the lease up to a time on the worker's clock, by at most
// maxLease from now.
func (worker *Worker) renewLease(untilMs int64, now time.Time) {
	if untilMs > 0 {
		worker.leaseEndMs = max(worker.leaseEndMs, min(untilMs, worker.clockMs(now)+maxLease.Milliseconds()))
		worker.hasLease = true
		remaining := float64(worker.leaseEndMs-worker.clockMs(now)+1) / worker.clockRate
		worker.leaseEnd.Store(now.Add(time.Duration(remaining * float64(time.Millisecond))).UnixNano())
	}
}

// leaseIsOver reports whether the lease has expired at a time, so that all runs are
// killed.
func (worker *Worker) leaseIsOver(at time.Time) bool { return at.UnixNano() > worker.leaseEnd.Load() }

// clockMs returns the time on the worker's clock: milliseconds since the start of
// its process, plus one.
func (worker *Worker) clockMs(now time.Time) int64 {
	return int64(worker.clockRate*float64(now.Sub(worker.startTime).Milliseconds())) + 1
}

func (worker *Worker) immediatePoll(lastSeen int) map[string]any {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	return worker.status(lastSeen, time.Now())
}

// status returns the body of a reply: the current runs, and the finished runs
// after the sequence number lastSeen.
func (worker *Worker) status(lastSeen int, now time.Time) map[string]any {
	running := [][]any{}
	for taskID, taskRun := range worker.running {
		if taskRun.stopEnd.Load() != 0 {
			continue
		}
		percent := min(99, int(100*now.Sub(taskRun.startTime)/taskRun.duration))
		if worker.faults.HangTasks {
			percent = 0
		}
		running = append(running, []any{taskID, taskRun.number, "", percent, 0})
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
