package worker

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"tanagerfall/shared/connection/upstream"
	"tanagerfall/standin/fault"
	"tanagerfall/standin/network"
)

// Defaults of Config for fields that are not positive.
const (
	DefaultSlots           = 8
	DefaultCores           = 16
	DefaultMemoryMb        = 32 << 10
	DefaultResultRetention = 5 * time.Minute
	DefaultMaxResults      = 50_000
	// DefaultMaxEvictedIDs bounds the task IDs that are remembered after their
	// results were evicted. Each takes about 300 bytes.
	DefaultMaxEvictedIDs = 500_000
	// DefaultMaxJournalEntries bounds the journal, which checkers read in one
	// piece.
	DefaultMaxJournalEntries = 2_000_000
	// RestartGrace is how long after a restart the worker reports an unknown
	// task as failed instead of never started, because the task may have
	// started before the restart. It is longer than any lease.
	RestartGrace = 60 * time.Second
)

// Reasons in the reports of tasks that were not started or did not finish.
const (
	ReasonBusy         = "busy"           // all slots are in use
	ReasonResources    = "resources"      // too few free cores, memory or accelerators
	ReasonDraining     = "draining"       // the worker starts no new tasks
	ReasonMalformed    = "malformed"      // the task ID or a number of the request is malformed
	ReasonCancelled    = "cancelled"      // a lease request cancelled the task, possibly before its start
	ReasonUnknown      = "unknown"        // a renewal names a task that the worker does not know
	ReasonOtherAttempt = "other-attempt"  // another attempt of the task is running
	ReasonLeaseExpired = "lease-lapsed"   // the lease expired while the task ran
	ReasonFault        = "fault"          // FailTasks was active when the task started
	ReasonRestarted    = "restarted"      // unknown, but possibly started before the restart
	ReasonEvicted      = "result-evicted" // the task finished, but its result was evicted
)

// Config configures a worker. Fields that are not positive take their
// defaults; Accelerators has none.
type Config struct {
	// Address is the IP:port on which Listen serves and which journal entries
	// name as the worker.
	Address string
	// Slots is the maximum number of concurrent tasks. Cores, MemoryMb (in MB)
	// and Accelerators are what the running tasks can use together.
	Slots        int
	Cores        int
	MemoryMb     int
	Accelerators int
	// Speed divides the run time of every task. Run times are given for a
	// worker of speed 1, which is the default.
	Speed float64
	// ResultRetention and MaxResults bound the age and the number of the
	// results that GET /v1/results and POST /v1/leases can return.
	ResultRetention time.Duration
	MaxResults      int
	// MaxEvictedIDs bounds the task IDs that are remembered after their
	// results were evicted.
	MaxEvictedIDs int
	// MaxJournalEntries bounds the journal. Further starts are only counted.
	MaxJournalEntries int
}

func (config *Config) setDefaults() {
	setDefault(&config.Slots, DefaultSlots)
	setDefault(&config.Cores, DefaultCores)
	setDefault(&config.MemoryMb, DefaultMemoryMb)
	setDefault(&config.Speed, 1)
	setDefault(&config.ResultRetention, DefaultResultRetention)
	setDefault(&config.MaxResults, DefaultMaxResults)
	setDefault(&config.MaxEvictedIDs, DefaultMaxEvictedIDs)
	setDefault(&config.MaxJournalEntries, DefaultMaxJournalEntries)
}

func setDefault[Value int | float64 | time.Duration](value *Value, fallback Value) {
	if *value <= 0 {
		*value = fallback
	}
}

// Worker is the stand-in for one worker. It is safe for concurrent use.
type Worker struct {
	config     Config
	handler    http.Handler
	server     *network.Server
	middleware fault.Middleware

	mutex sync.Mutex
	tasks taskStore
	// running holds the running tasks, and used the resources that they
	// occupy.
	running map[taskKey]*record
	used    resources
	// startedAt is when the uptime began. restartedAt is zero until the first
	// restart.
	startedAt   time.Time
	restartedAt time.Time
	draining    bool
	// journal and droppedEntries survive a restart, as do the counts of
	// requests.
	journal        []Start
	droppedEntries int64
	requests       RequestCounts
	// speedDivisor is 1 unless Straggle is active.
	speedDivisor    float64
	straggleWindow  fault.Window
	failWindow      fault.Window
	replyLossWindow fault.Window
	replyLossesLeft int
}

// resources counts slots and resources of the worker that tasks occupy.
type resources struct {
	slots        int
	cores        int
	memoryMb     int
	accelerators int
}

// New returns a worker that does not listen yet.
func New(config Config) *Worker {
	config.setDefaults()
	worker := &Worker{
		config:       config,
		running:      map[taskKey]*record{},
		startedAt:    time.Now(),
		speedDivisor: 1,
	}
	worker.tasks = newTaskStore(&worker.config)
	worker.handler = worker.middleware.Wrap(worker.routes())
	worker.server = network.New(worker.handler, &worker.middleware.Gate)
	return worker
}

// Handler returns the handler of the worker's protocol. Silence, Refuse and
// Stop act on the worker's own listener and have no effect on another server
// that uses this handler.
func (worker *Worker) Handler() http.Handler {
	return worker.handler
}

// Listen serves the protocol on Config.Address and returns the address in use,
// which differs from it if its port is 0.
func (worker *Worker) Listen() (string, error) {
	address, err := worker.server.Listen(worker.config.Address)
	if err != nil {
		return "", err
	}
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	worker.config.Address = address
	return address, nil
}

// Close closes the listener and all connections and drops all tasks and
// results, but not the journal. The worker does not restart.
func (worker *Worker) Close() {
	worker.server.Close()
	worker.dropTasks()
}

// Journal returns every recorded start of a task, across restarts, in order of
// time.
func (worker *Worker) Journal() []upstream.JournalEntry {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	entries := make([]upstream.JournalEntry, 0, len(worker.journal))
	for i := range worker.journal {
		entries = append(entries, worker.journal[i].JournalEntry)
	}
	return entries
}

// Starts returns the journal with the echoes of the tasks' payloads.
func (worker *Worker) Starts() []Start {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	return slices.Clone(worker.journal)
}

// Run implements POST /v1/tasks. It starts the task, or attaches to it if its
// ID is known, and returns the HTTP status and the report once the task has
// ended or was refused. If ctx ends first, Run returns its error and the task
// goes on. Run also returns an error if the worker stops before the task ends.
func (worker *Worker) Run(ctx context.Context, request upstream.StartRequest) (int, upstream.TaskReport, error) {
	worker.middleware.Gate.Wait()
	record, refusal := worker.startOrAttach(request)
	if refusal != nil {
		return refusal.status, refusal.report, nil
	}
	select {
	case <-record.done:
	case <-ctx.Done():
		return 0, upstream.TaskReport{}, ctx.Err()
	}
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	if record.dropped {
		return 0, upstream.TaskReport{}, errStopped
	}
	report := worker.report(record)
	return statusOf(report.State), report, nil
}

// statusOf returns the HTTP status with which POST /v1/tasks reports a task in
// a final state.
func statusOf(state upstream.TaskState) int {
	if state == upstream.NeverStarted {
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}

// Start is a journal entry with the field "echo" of the task's payload. The
// caller chooses this value, and a checker finds the job of the task by it.
type Start struct {
	upstream.JournalEntry
	Echo json.RawMessage `json:"echo,omitempty"`
}

// RequestCounts counts the requests that the worker processed, by path.
type RequestCounts struct {
	Tasks   int64 `json:"tasks"`
	Leases  int64 `json:"leases"`
	Results int64 `json:"results"`
}

// refusal is the response to a request whose task was not started.
type refusal struct {
	status int
	report upstream.TaskReport
}

// startOrAttach starts the task of request, or returns the existing record of
// its ID. It returns a refusal if the task is unknown and cannot start.
func (worker *Worker) startOrAttach(request upstream.StartRequest) (*record, *refusal) {
	taskID, err := upstream.ParseTaskID(request.TaskID)
	if err != nil || request.RunMs < 0 || request.LeaseMs <= 0 {
		return nil, &refusal{
			status: http.StatusBadRequest,
			report: upstream.TaskReport{
				TaskID: request.TaskID,
				State:  upstream.NeverStarted,
				Reason: ReasonMalformed,
			},
		}
	}
	payload := parsePayload(request.Payload)
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	worker.requests.Tasks++
	now := time.Now()
	worker.tasks.expire(now)
	if existing := worker.tasks.get(request.TaskID); existing != nil {
		return existing, nil
	}
	if reason := worker.refusalReason(taskID, &request); reason != "" {
		record := worker.tasks.addNeverStarted(request.TaskID, reason, now)
		return nil, &refusal{
			status: http.StatusServiceUnavailable,
			report: worker.report(record),
		}
	}
	return worker.startTask(now, taskID, &request, payload), nil
}

// refusalReason returns the reason why a task cannot start now, or "" if it
// can.
func (worker *Worker) refusalReason(taskID upstream.TaskID, request *upstream.StartRequest) string {
	if worker.draining {
		return ReasonDraining
	}
	if worker.running[taskKeyOf(taskID)] != nil {
		return ReasonOtherAttempt
	}
	if worker.used.slots >= worker.config.Slots {
		return ReasonBusy
	}
	if worker.used.cores+request.Cores > worker.config.Cores ||
		worker.used.memoryMb+request.MemoryMb > worker.config.MemoryMb ||
		worker.used.accelerators+request.Accelerators > worker.config.Accelerators {
		return ReasonResources
	}
	return ""
}

// startTask occupies the resources of a task, records its start in the journal
// and sets the timer for its end. If FailTasks is active the task fails at
// once.
func (worker *Worker) startTask(now time.Time, taskID upstream.TaskID, request *upstream.StartRequest, payload payload) *record {
	record := &record{
		id:             request.TaskID,
		taskKey:        taskKeyOf(taskID),
		owner:          request.Owner,
		state:          upstream.StillRunning,
		startedAt:      now,
		completesAt:    now.Add(worker.runTime(request, payload)),
		leaseExpiresAt: now.Add(time.Duration(request.LeaseMs) * time.Millisecond),
		echo:           payload.Echo,
		done:           make(chan struct{}),
		resources: resources{
			slots:        1,
			cores:        request.Cores,
			memoryMb:     request.MemoryMb,
			accelerators: request.Accelerators,
		},
	}
	worker.tasks.add(record)
	worker.running[record.taskKey] = record
	worker.addUsed(record.resources, 1)
	worker.appendJournal(Start{
		JournalEntry: upstream.JournalEntry{
			TaskID: request.TaskID,
			AtMs:   now.UnixMilli(),
			Worker: worker.config.Address,
			Kind:   request.Kind,
		},
		Echo: payload.Echo,
	})
	if worker.failWindow.Active(now) {
		worker.endTask(record, upstream.TaskFailed, ReasonFault, now)
		return record
	}
	record.timer = time.AfterFunc(record.endTime().Sub(now), func() {
		worker.middleware.Gate.Wait()
		worker.endOrRearm(record)
	})
	return record
}

// runTime returns how long the task takes at the worker's current speed.
func (worker *Worker) runTime(request *upstream.StartRequest, payload payload) time.Duration {
	runMs := float64(request.RunMs)
	if payload.ActualRunMs != nil {
		runMs = *payload.ActualRunMs
	}
	return time.Duration(runMs * float64(time.Millisecond) / worker.currentSpeed())
}

// currentSpeed returns the configured speed, reduced while Straggle is active.
func (worker *Worker) currentSpeed() float64 {
	return worker.config.Speed / worker.speedDivisor
}

// appendJournal records a start. Beyond MaxJournalEntries it only counts it.
func (worker *Worker) appendJournal(entry Start) {
	if len(worker.journal) >= worker.config.MaxJournalEntries {
		worker.droppedEntries++
		return
	}
	worker.journal = append(worker.journal, entry)
}

// endOrRearm handles the timer of a task. It ends the task if its run time is
// over or its lease has expired, and otherwise sets the timer again.
func (worker *Worker) endOrRearm(record *record) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	if record.dropped || record.state != upstream.StillRunning {
		return
	}
	now := time.Now()
	end := record.endTime()
	if now.Before(end) {
		record.timer.Reset(end.Sub(now))
		return
	}
	if record.leaseExpiresAt.Before(record.completesAt) {
		worker.endTask(record, upstream.Stopped, ReasonLeaseExpired, now)
		return
	}
	worker.endTask(record, upstream.Finished, "", now)
}

// endTask ends a running task and frees its resources.
func (worker *Worker) endTask(record *record, state upstream.TaskState, reason string, now time.Time) {
	record.state = state
	record.reason = reason
	record.runDuration = now.Sub(record.startedAt)
	if record.timer != nil {
		record.timer.Stop()
	}
	delete(worker.running, record.taskKey)
	worker.addUsed(record.resources, -1)
	worker.tasks.markEnded(record, now)
	close(record.done)
}

// addUsed adds amount to the resources in use if sign is 1 and subtracts it if
// sign is -1.
func (worker *Worker) addUsed(amount resources, sign int) {
	worker.used.slots += sign * amount.slots
	worker.used.cores += sign * amount.cores
	worker.used.memoryMb += sign * amount.memoryMb
	worker.used.accelerators += sign * amount.accelerators
}

// Lease implements POST /v1/leases: it renews leases, cancels tasks and
// reports their states, and lists the running tasks if the request asks for
// it.
func (worker *Worker) Lease(request upstream.LeaseRequest) upstream.LeaseResponse {
	worker.middleware.Gate.Wait()
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	worker.requests.Leases++
	now := time.Now()
	worker.tasks.expire(now)
	response := upstream.LeaseResponse{
		Draining: worker.draining,
		Slots:    worker.config.Slots,
		UptimeMs: now.Sub(worker.startedAt).Milliseconds(),
	}
	for _, id := range request.Renew {
		response.Tasks = append(response.Tasks, worker.renew(id, &request, now))
	}
	for _, id := range request.Cancel {
		response.Tasks = append(response.Tasks, worker.cancel(id, now))
	}
	response.Used = worker.used.slots
	if request.ListTasks {
		response.Occupancy = worker.occupancy(now)
	}
	return response
}

// renew extends the lease of a running task and returns the task's report.
func (worker *Worker) renew(id string, request *upstream.LeaseRequest, now time.Time) upstream.TaskReport {
	record := worker.tasks.get(id)
	if record == nil {
		return worker.reportUnknown(id, ReasonUnknown, now)
	}
	if record.state == upstream.StillRunning && request.LeaseMs > 0 {
		record.leaseExpiresAt = now.Add(time.Duration(request.LeaseMs) * time.Millisecond)
		record.owner = request.Owner
		record.timer.Reset(record.endTime().Sub(now))
	}
	return worker.report(record)
}

// cancel stops a running task and returns its report. An unknown ID is
// recorded as never started, so that a later start of it is refused.
func (worker *Worker) cancel(id string, now time.Time) upstream.TaskReport {
	record := worker.tasks.get(id)
	if record == nil {
		return worker.reportUnknown(id, ReasonCancelled, now)
	}
	if record.state == upstream.StillRunning {
		worker.endTask(record, upstream.Stopped, ReasonCancelled, now)
	}
	return worker.report(record)
}

// reportUnknown records and reports an unknown task as never started. Within
// RestartGrace after a restart it reports a failed task instead, because the
// task may have started before the restart.
func (worker *Worker) reportUnknown(id, reason string, now time.Time) upstream.TaskReport {
	if _, err := upstream.ParseTaskID(id); err != nil {
		return upstream.TaskReport{
			TaskID: id,
			State:  upstream.NeverStarted,
			Reason: ReasonMalformed,
		}
	}
	record := worker.tasks.addNeverStarted(id, reason, now)
	if !worker.restartedAt.IsZero() && now.Sub(worker.restartedAt) < RestartGrace {
		record.state = upstream.TaskFailed
		record.reason = ReasonRestarted
	}
	return worker.report(record)
}

// occupancy lists the running tasks in order of their IDs.
func (worker *Worker) occupancy(now time.Time) []upstream.Occupant {
	occupants := make([]upstream.Occupant, 0, len(worker.running))
	for _, record := range worker.running {
		occupants = append(occupants, upstream.Occupant{
			TaskID:  record.id,
			Owner:   record.owner,
			LeaseMs: max(0, record.leaseExpiresAt.Sub(now).Milliseconds()),
		})
	}
	slices.SortFunc(occupants, func(a, b upstream.Occupant) int {
		return cmp.Compare(a.TaskID, b.TaskID)
	})
	return occupants
}

// Result returns the report of a task. ok is false if its ID is unknown.
func (worker *Worker) Result(id string) (report upstream.TaskReport, ok bool) {
	worker.middleware.Gate.Wait()
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	worker.requests.Results++
	worker.tasks.expire(time.Now())
	record := worker.tasks.get(id)
	if record == nil {
		return upstream.TaskReport{}, false
	}
	return worker.report(record), true
}

// report returns the task's state in its wire form.
func (worker *Worker) report(record *record) upstream.TaskReport {
	report := upstream.TaskReport{
		TaskID:   record.id,
		State:    record.state,
		Reason:   record.reason,
		RunMs:    roundUpMs(record.runDuration),
		Draining: worker.draining,
	}
	if record.state == upstream.Finished {
		report.Output = encodeOutput(record.echo)
	}
	return report
}

// roundUpMs returns duration in milliseconds, rounded up so that a positive
// run time is never reported as 0.
func roundUpMs(duration time.Duration) int64 {
	return int64((duration + time.Millisecond - 1) / time.Millisecond)
}
