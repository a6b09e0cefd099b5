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

// The defaults of Config.
const (
	DefaultSlots       = 8
	DefaultCores       = 16
	DefaultMemoryMb    = 32 << 10
	DefaultResultsFor  = 5 * time.Minute
	DefaultResultsKept = 50_000
	// DefaultKnownKept bounds the IDs of tasks that are remembered without a
	// result; one takes about 300 bytes.
	DefaultKnownKept = 500_000
	// DefaultJournalKept bounds the journal, which checkers read whole.
	DefaultJournalKept = 2_000_000
	// RestartGrace is the time after a restart in which the worker does not
	// claim that an unknown task never started: it may have started before
	// the restart. It is longer than any lease.
	RestartGrace = 60 * time.Second
)

// The reasons in reports of tasks that did not end normally.
const (
	ReasonBusy         = "busy"
	ReasonResources    = "resources"
	ReasonDraining     = "draining"
	ReasonMalformed    = "malformed"
	ReasonCancelled    = "cancelled"
	ReasonUnknown      = "unknown"
	ReasonOtherAttempt = "other-attempt"
	ReasonLeaseLapsed  = "lease-lapsed"
	ReasonFault        = "fault"
	ReasonRestarted    = "restarted"
	ReasonEvicted      = "result-evicted"
)

// Config describes a worker. Zero values take the defaults.
type Config struct {
	// Address is the IP:port that Listen serves on and the journal names.
	Address string
	// Slots is the number of tasks that run at once.
	Slots        int
	Cores        int
	MemoryMb     int
	Accelerators int
	// Speed divides the run time of every task; 1 is the reference.
	Speed float64
	// ResultsFor and ResultsKept bound the age and the number of the results
	// kept for GET /v1/results and /v1/leases.
	ResultsFor  time.Duration
	ResultsKept int
	// KnownKept bounds the task IDs remembered without a result.
	KnownKept int
	// JournalKept bounds the entries of the journal.
	JournalKept int
}

func (config *Config) setDefaults() {
	setDefault(&config.Slots, DefaultSlots)
	setDefault(&config.Cores, DefaultCores)
	setDefault(&config.MemoryMb, DefaultMemoryMb)
	setDefault(&config.Speed, 1)
	setDefault(&config.ResultsFor, DefaultResultsFor)
	setDefault(&config.ResultsKept, DefaultResultsKept)
	setDefault(&config.KnownKept, DefaultKnownKept)
	setDefault(&config.JournalKept, DefaultJournalKept)
}

func setDefault[Value int | float64 | time.Duration](value *Value, fallback Value) {
	if *value <= 0 {
		*value = fallback
	}
}

// Worker is a stand-in for one worker. It is safe for concurrent use.
type Worker struct {
	config  Config
	handler http.Handler
	server  *network.Server
	path    fault.Path

	mutex        sync.Mutex
	tasks        memory
	running      map[place]*record
	used         resources
	startedAt    time.Time
	restartedAt  time.Time
	draining     bool
	journal      []Start
	journalLost  int64
	requests     Requests
	speedDivisor float64
	straggling   fault.Span
	failing      fault.Span
	losing       fault.Span
	loseLeft     int
}

// resources is what running tasks hold of the worker.
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
		running:      map[place]*record{},
		startedAt:    time.Now(),
		speedDivisor: 1,
	}
	worker.tasks = newMemory(&worker.config)
	worker.handler = worker.path.Wrap(worker.routes())
	worker.server = network.New(worker.handler, &worker.path.Gate)
	return worker
}

// Handler returns the handler of the worker's protocol. The faults of the
// listener (silence, refuse, stop) need Listen in place of another server.
func (worker *Worker) Handler() http.Handler {
	return worker.handler
}

// Listen serves the protocol on Config.Address and returns the address in
// use, which differs if the port was 0.
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

// Close stops the worker as Stop does, without a restart.
func (worker *Worker) Close() {
	worker.server.Close()
	worker.forget()
}

// Journal returns every start that the worker made, over all restarts, in
// order of time.
func (worker *Worker) Journal() []upstream.JournalEntry {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	entries := make([]upstream.JournalEntry, 0, len(worker.journal))
	for i := range worker.journal {
		entries = append(entries, worker.journal[i].JournalEntry)
	}
	return entries
}

// Starts returns the journal with the payloads' echoes.
func (worker *Worker) Starts() []Start {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	return slices.Clone(worker.journal)
}

// Run does what POST /v1/tasks does: it starts the task, or attaches to it if
// its ID is known, and returns the status and the report once the task has
// ended or is refused. It returns the error of ctx if ctx ends first; the task
// goes on.
func (worker *Worker) Run(ctx context.Context, request upstream.StartRequest) (int, upstream.TaskReport, error) {
	worker.path.Gate.Wait()
	record, refusal := worker.start(request)
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
		return 0, upstream.TaskReport{}, errRestarted
	}
	report := worker.report(record)
	return statusOf(report.State), report, nil
}

// statusOf returns the status of POST /v1/tasks for a task that is over.
func statusOf(state upstream.TaskState) int {
	if state == upstream.NeverStarted {
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}

// Start is an entry of the journal with the task's echo, by which a checker
// finds the job that the task belongs to.
type Start struct {
	upstream.JournalEntry
	Echo json.RawMessage `json:"echo,omitempty"`
}

// Requests counts the requests that reached the worker, by path.
type Requests struct {
	Tasks   int64 `json:"tasks"`
	Leases  int64 `json:"leases"`
	Results int64 `json:"results"`
}

// refusal is the answer to a start that was not made.
type refusal struct {
	status int
	report upstream.TaskReport
}

// start starts the task of request or returns the record of its ID. It
// returns a refusal if the task is neither started nor known.
func (worker *Worker) start(request upstream.StartRequest) (*record, *refusal) {
	task, err := upstream.ParseTaskID(request.TaskID)
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
	if known := worker.tasks.get(request.TaskID); known != nil {
		return known, nil
	}
	if reason := worker.obstacle(task, &request); reason != "" {
		record := worker.tasks.entomb(request.TaskID, reason, now)
		return nil, &refusal{
			status: http.StatusServiceUnavailable,
			report: worker.report(record),
		}
	}
	return worker.begin(now, task, &request, payload), nil
}

// obstacle returns the reason for which a task cannot start now, or "".
func (worker *Worker) obstacle(task upstream.TaskID, request *upstream.StartRequest) string {
	if worker.draining {
		return ReasonDraining
	}
	if worker.running[placeOf(task)] != nil {
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

// begin starts a task: it takes the slot, writes the journal and sets the
// timer.
func (worker *Worker) begin(now time.Time, task upstream.TaskID, request *upstream.StartRequest, payload payload) *record {
	record := &record{
		id:      request.TaskID,
		place:   placeOf(task),
		owner:   request.Owner,
		state:   upstream.StillRunning,
		started: now,
		ends:    now.Add(worker.runTime(request, payload)),
		lease:   now.Add(time.Duration(request.LeaseMs) * time.Millisecond),
		echo:    payload.Echo,
		done:    make(chan struct{}),
		held: resources{
			slots:        1,
			cores:        request.Cores,
			memoryMb:     request.MemoryMb,
			accelerators: request.Accelerators,
		},
	}
	worker.tasks.add(record)
	worker.running[record.place] = record
	worker.hold(record.held, 1)
	worker.write(Start{
		JournalEntry: upstream.JournalEntry{
			TaskID: request.TaskID,
			AtMs:   now.UnixMilli(),
			Worker: worker.config.Address,
			Kind:   request.Kind,
		},
		Echo: payload.Echo,
	})
	if worker.failing.In(now) {
		worker.end(record, upstream.TaskFailed, ReasonFault, now)
		return record
	}
	record.timer = time.AfterFunc(record.next().Sub(now), func() {
		worker.path.Gate.Wait()
		worker.wake(record)
	})
	return record
}

// runTime returns how long the task takes on this worker.
func (worker *Worker) runTime(request *upstream.StartRequest, payload payload) time.Duration {
	runMs := float64(request.RunMs)
	if payload.ActualRunMs != nil {
		runMs = *payload.ActualRunMs
	}
	return time.Duration(runMs * float64(time.Millisecond) / worker.currentSpeed())
}

// currentSpeed returns the speed with the straggling applied.
func (worker *Worker) currentSpeed() float64 {
	return worker.config.Speed / worker.speedDivisor
}

// write appends to the journal; beyond its bound it only counts.
func (worker *Worker) write(entry Start) {
	if len(worker.journal) >= worker.config.JournalKept {
		worker.journalLost++
		return
	}
	worker.journal = append(worker.journal, entry)
}

// wake ends the task if its time or its lease is over, and sets the timer
// again otherwise.
func (worker *Worker) wake(record *record) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	if record.dropped || record.state != upstream.StillRunning {
		return
	}
	now := time.Now()
	next := record.next()
	if now.Before(next) {
		record.timer.Reset(next.Sub(now))
		return
	}
	if record.lease.Before(record.ends) {
		worker.end(record, upstream.Stopped, ReasonLeaseLapsed, now)
		return
	}
	worker.end(record, upstream.Finished, "", now)
}

// end ends a running task and frees what it held.
func (worker *Worker) end(record *record, state upstream.TaskState, reason string, now time.Time) {
	record.state = state
	record.reason = reason
	record.ran = now.Sub(record.started)
	if record.timer != nil {
		record.timer.Stop()
	}
	delete(worker.running, record.place)
	worker.hold(record.held, -1)
	worker.tasks.finish(record, now)
	close(record.done)
}

// hold adds held times sign to the resources in use.
func (worker *Worker) hold(held resources, sign int) {
	worker.used.slots += sign * held.slots
	worker.used.cores += sign * held.cores
	worker.used.memoryMb += sign * held.memoryMb
	worker.used.accelerators += sign * held.accelerators
}

// Lease does what POST /v1/leases does.
func (worker *Worker) Lease(request upstream.LeaseRequest) upstream.LeaseResponse {
	worker.path.Gate.Wait()
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

func (worker *Worker) renew(id string, request *upstream.LeaseRequest, now time.Time) upstream.TaskReport {
	record := worker.tasks.get(id)
	if record == nil {
		return worker.reportUnknown(id, ReasonUnknown, now)
	}
	if record.state == upstream.StillRunning && request.LeaseMs > 0 {
		record.lease = now.Add(time.Duration(request.LeaseMs) * time.Millisecond)
		record.owner = request.Owner
		record.timer.Reset(record.next().Sub(now))
	}
	return worker.report(record)
}

func (worker *Worker) cancel(id string, now time.Time) upstream.TaskReport {
	record := worker.tasks.get(id)
	if record == nil {
		return worker.reportUnknown(id, ReasonCancelled, now)
	}
	if record.state == upstream.StillRunning {
		worker.end(record, upstream.Stopped, ReasonCancelled, now)
	}
	return worker.report(record)
}

// reportUnknown answers for a task that the worker does not know: it never
// started and never will, unless it may have started before a restart.
func (worker *Worker) reportUnknown(id, reason string, now time.Time) upstream.TaskReport {
	if _, err := upstream.ParseTaskID(id); err != nil {
		return upstream.TaskReport{
			TaskID: id,
			State:  upstream.NeverStarted,
			Reason: ReasonMalformed,
		}
	}
	record := worker.tasks.entomb(id, reason, now)
	if !worker.restartedAt.IsZero() && now.Sub(worker.restartedAt) < RestartGrace {
		record.state = upstream.TaskFailed
		record.reason = ReasonRestarted
	}
	return worker.report(record)
}

func (worker *Worker) occupancy(now time.Time) []upstream.Occupant {
	occupants := make([]upstream.Occupant, 0, len(worker.running))
	for _, record := range worker.running {
		occupants = append(occupants, upstream.Occupant{
			TaskID:  record.id,
			Owner:   record.owner,
			LeaseMs: max(0, record.lease.Sub(now).Milliseconds()),
		})
	}
	slices.SortFunc(occupants, func(a, b upstream.Occupant) int {
		return cmp.Compare(a.TaskID, b.TaskID)
	})
	return occupants
}

// Result returns the report of a task; ok is false if its ID is not known.
func (worker *Worker) Result(id string) (report upstream.TaskReport, ok bool) {
	worker.path.Gate.Wait()
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

// report returns the wire form of what is known of a task.
func (worker *Worker) report(record *record) upstream.TaskReport {
	report := upstream.TaskReport{
		TaskID:   record.id,
		State:    record.state,
		Reason:   record.reason,
		RunMs:    roundUpMs(record.ran),
		Draining: worker.draining,
	}
	if record.state == upstream.Finished {
		report.Output = output(record.echo)
	}
	return report
}

// roundUpMs returns duration in ms, rounded up so that no run time is 0.
func roundUpMs(duration time.Duration) int64 {
	return int64((duration + time.Millisecond - 1) / time.Millisecond)
}
