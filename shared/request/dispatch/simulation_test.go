package dispatch_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"tanagerfall/shared/connection/upstream"
	"tanagerfall/shared/request/dispatch"
	"tanagerfall/shared/request/estimate"
	"tanagerfall/shared/request/job"
	"tanagerfall/shared/request/placement"
	"tanagerfall/shared/request/submission"
)

// oneWayDelay is the time that a message takes in one direction.
const oneWayDelay = 250 * time.Microsecond

var epoch = time.Unix(1_700_000_000, 0)

// fault is what happens to one start and its connection.
type fault int

const (
	faultNone fault = iota
	// faultDialRefused: the upstream refuses the connection.
	faultDialRefused
	// faultLostBeforeStart: the connection breaks before the worker gets the task.
	faultLostBeforeStart
	// faultLostAfterStart: the connection breaks after the worker started the task.
	faultLostAfterStart
	// faultReplyLost: the connection breaks when the worker sends the result.
	faultReplyLost
	// faultSilent: the connection stays open but delivers nothing.
	faultSilent
	// faultTaskFails: the task starts and fails at once.
	faultTaskFails
	faultCount
)

// scheduledCall is a function to call at a virtual time; calls at the same time are
// made in the order of their sequence.
type scheduledCall struct {
	at       time.Time
	sequence int
	action   func()
}

type callQueue []scheduledCall

func (callQueue callQueue) Len() int { return len(callQueue) }
func (callQueue callQueue) Less(i, j int) bool {
	if !callQueue[i].at.Equal(callQueue[j].at) {
		return callQueue[i].at.Before(callQueue[j].at)
	}
	return callQueue[i].sequence < callQueue[j].sequence
}

func (callQueue callQueue) Swap(i, j int) { callQueue[i], callQueue[j] = callQueue[j], callQueue[i] }
func (callQueue *callQueue) Push(x any)   { *callQueue = append(*callQueue, x.(scheduledCall)) }
func (callQueue *callQueue) Pop() any {
	last := (*callQueue)[len(*callQueue)-1]
	*callQueue = (*callQueue)[:len(*callQueue)-1]
	return last
}

// execution is a task that runs on a fake worker.
type execution struct {
	task     upstream.TaskID
	fault    fault
	runMs    int64
	end      time.Time
	leaseEnd time.Time
}

// worker is a fake worker. It keeps leases, results and tombstones in memory and
// loses them when its process dies. incarnation counts its processes.
type worker struct {
	placement.Upstream
	incarnation  int
	bootedAt     time.Time
	dead         bool
	dropsAnswers bool // applies status queries but loses the answers
	failsFast    bool // fails every task after 1 ms
	running      map[upstream.TaskID]*execution
	ended        map[upstream.TaskID]upstream.TaskReport
	tombstones   map[upstream.TaskID]bool
	starts       int
}

// taskKey identifies a task by the key of its job and its index in the job.
type taskKey struct {
	key   submission.Key
	index int
}

// simulation runs a Core against fake workers on virtual time and checks the
// invariants with every decision.
type simulation struct {
	core        *dispatch.Core
	now         time.Time
	pausedUntil time.Time
	callQueue   callQueue
	sequence    int
	workers     []*worker
	// closed holds the upstreams that must get no new tasks, unlisted those that the
	// list of the platform leaves out.
	closed   map[string]bool
	unlisted map[string]bool
	fault    func() fault
	jobs     map[submission.Key]job.Job
	answers  map[submission.Key]job.Answer
	// startCounts holds the number of executions of each task.
	startCounts map[taskKey]int
	dropped     map[upstream.TaskID]bool
	// repeatable holds the single requests of idempotent kinds.
	repeatable map[submission.Key]bool
	queries    []dispatch.QueryUpstream
	starts     []dispatch.StartTask
	counter    uint64
	violations []string
	// runMs returns the work of a task at speed 1; nil means as declared.
	runMs func(task job.Task) int64
}

func newSimulation(seed uint64, workers ...*worker) *simulation {
	return newSimulationWith(dispatch.Config{Domain: "brest"}, placement.Greedy{}, seed, workers...)
}

func newSimulationWith(config dispatch.Config, policy placement.Policy, seed uint64, workers ...*worker) *simulation {
	config.Estimator = estimate.New()
	config.Random = rand.New(rand.NewPCG(seed, 1))
	config.Scheduler = placement.New(policy, config.Estimator, config.Random)
	simulation := &simulation{
		core:        dispatch.New(config),
		now:         epoch,
		workers:     workers,
		closed:      make(map[string]bool),
		unlisted:    make(map[string]bool),
		fault:       func() fault { return faultNone },
		jobs:        make(map[submission.Key]job.Job),
		answers:     make(map[submission.Key]job.Answer),
		startCounts: make(map[taskKey]int),
		dropped:     make(map[upstream.TaskID]bool),
		repeatable:  make(map[submission.Key]bool),
	}
	simulation.updateFleet()
	simulation.runUntil(epoch.Add(time.Second))
	return simulation
}

func newWorkers(count, slots int, speed float64) []*worker {
	workers := make([]*worker, count)
	for i := range workers {
		workers[i] = &worker{
			Upstream: placement.Upstream{ID: fmt.Sprintf("w%02d", i), Slots: slots, Speed: speed, Cores: 16},
			bootedAt: epoch.Add(-time.Hour),
		}
		workers[i].reset()
	}
	return workers
}

// reset discards what the worker holds in memory, as the end of its process does.
func (worker *worker) reset() {
	worker.incarnation++
	worker.running = make(map[upstream.TaskID]*execution)
	worker.ended = make(map[upstream.TaskID]upstream.TaskReport)
	worker.tombstones = make(map[upstream.TaskID]bool)
}

// updateFleet sends the list of the workers, without the unlisted ones.
func (simulation *simulation) updateFleet(leaving ...string) {
	event := dispatch.FleetChanged{Leaving: leaving}
	for _, worker := range simulation.workers {
		if !simulation.unlisted[worker.ID] {
			event.Upstreams = append(event.Upstreams, worker.Upstream)
		}
	}
	for _, id := range leaving {
		simulation.closed[id] = true
	}
	simulation.send(event)
}

func (simulation *simulation) callAt(callAt time.Time, action func()) {
	simulation.sequence++
	heap.Push(&simulation.callQueue, scheduledCall{at: callAt, sequence: simulation.sequence, action: action})
}

func (simulation *simulation) after(delay time.Duration, action func()) {
	simulation.callAt(simulation.now.Add(delay), action)
}

// runUntil advances the simulation to the given time.
func (simulation *simulation) runUntil(until time.Time) {
	for {
		wake, needed := simulation.core.Wake()
		wake = latest(wake, simulation.pausedUntil, simulation.now)
		next := until.Add(1)
		if len(simulation.callQueue) > 0 {
			next = simulation.callQueue[0].at
		}
		switch {
		case needed && wake.Before(next) && !wake.After(until):
			simulation.now = wake
			simulation.send(dispatch.Tick{})
		case !next.After(until):
			simulation.now = next
			heap.Pop(&simulation.callQueue).(scheduledCall).action()
		default:
			simulation.now = until
			return
		}
	}
}

func latest(times ...time.Time) time.Time { return slices.MaxFunc(times, time.Time.Compare) }

// send passes an event to the Core, or keeps it while the VM is paused.
func (simulation *simulation) send(event dispatch.Event) {
	if simulation.now.Before(simulation.pausedUntil) {
		simulation.callAt(simulation.pausedUntil, func() { simulation.send(event) })
		return
	}
	for _, decision := range simulation.core.Handle(simulation.now, event) {
		simulation.perform(decision)
	}
}

func (simulation *simulation) submit(spec job.Job) submission.Key {
	simulation.counter++
	key := submission.Key{Incarnation: 1, Counter: simulation.counter}
	simulation.jobs[key] = spec
	simulation.send(dispatch.JobAccepted{Key: key, Job: spec})
	return key
}

func (simulation *simulation) recordViolation(format string, values ...any) {
	simulation.violations = append(simulation.violations, fmt.Sprintf(format, values...))
}

func (simulation *simulation) worker(id string) *worker {
	for _, worker := range simulation.workers {
		if worker.ID == id {
			return worker
		}
	}
	return nil
}

// perform carries out a decision of the Core.
func (simulation *simulation) perform(decision dispatch.Decision) {
	switch decision := decision.(type) {
	case dispatch.StartTask:
		simulation.starts = append(simulation.starts, decision)
		if simulation.closed[decision.Upstream] {
			simulation.recordViolation("leaving: %s started at %s", decision.Task, decision.Upstream)
		}
		simulation.start(decision, simulation.fault())
	case dispatch.QueryUpstream:
		simulation.queries = append(simulation.queries, decision)
		simulation.after(oneWayDelay, func() { simulation.answerQuery(decision) })
	case dispatch.DropConnection:
		simulation.dropped[decision.Task] = true
	case dispatch.FinishJob:
		simulation.recordAnswer(decision)
	}
}

// recordAnswer records the answer of a job and checks that it is the only one;
// verify checks its content at the end.
func (simulation *simulation) recordAnswer(finish dispatch.FinishJob) {
	if _, twice := simulation.answers[finish.Key]; twice {
		simulation.recordViolation("one-answer: %s answered twice", finish.Key)
	}
	simulation.answers[finish.Key] = finish.Answer
}

// sendUnlessDropped sends the event of a start's connection, unless the Core
// dropped that connection.
func (simulation *simulation) sendUnlessDropped(task upstream.TaskID, event dispatch.Event) {
	simulation.after(oneWayDelay, func() {
		if !simulation.dropped[task] {
			simulation.send(event)
		}
	})
}

// start delivers a task to its worker, subject to the fault.
func (simulation *simulation) start(start dispatch.StartTask, fault fault) {
	worker := simulation.worker(start.Upstream)
	lost := dispatch.TaskLost{Task: start.Task, Upstream: start.Upstream}
	refusal := dispatch.TaskNotStarted{Task: start.Task, Upstream: start.Upstream, Proof: dispatch.ProofDialRefused}
	if worker.dead || fault == faultDialRefused {
		simulation.sendUnlessDropped(start.Task, refusal)
		return
	}
	if fault == faultLostBeforeStart {
		simulation.sendUnlessDropped(start.Task, lost)
		return
	}
	incarnation := worker.incarnation
	simulation.after(oneWayDelay, func() {
		refusal.Proof = dispatch.ProofRefused
		switch {
		case worker.incarnation != incarnation || worker.dead:
			simulation.sendUnlessDropped(start.Task, lost)
		case worker.tombstones[start.Task] || len(worker.running) >= worker.Slots:
			worker.tombstones[start.Task] = true
			simulation.sendUnlessDropped(start.Task, refusal)
		default:
			simulation.execute(worker, start, fault)
		}
	})
}

// execute starts a task on a worker and checks that it starts only once.
func (simulation *simulation) execute(worker *worker, start dispatch.StartTask, fault fault) {
	worker.starts++
	startedTask := taskKey{key: start.Task.Key, index: start.Task.Index}
	simulation.startCounts[startedTask]++
	if simulation.startCounts[startedTask] > 1 && !simulation.repeatable[start.Task.Key] {
		simulation.recordViolation("start-once: %s started %d times", start.Task, simulation.startCounts[startedTask])
	}
	runMs := start.Spec.RunMs
	if simulation.runMs != nil {
		runMs = simulation.runMs(start.Spec)
	}
	runMs = max(1, int64(float64(runMs)/worker.Speed))
	if fault == faultTaskFails || worker.failsFast {
		runMs = 1
	}
	execution := &execution{
		task:     start.Task,
		fault:    fault,
		runMs:    runMs,
		end:      simulation.now.Add(time.Duration(runMs) * time.Millisecond),
		leaseEnd: simulation.now.Add(start.Lease),
	}
	worker.running[start.Task] = execution
	if fault == faultLostAfterStart {
		simulation.sendUnlessDropped(start.Task, dispatch.TaskLost{Task: start.Task, Upstream: start.Upstream})
	}
	simulation.scheduleEnd(worker, execution)
}

// scheduleEnd ends an execution when it is done or when its lease expires.
func (simulation *simulation) scheduleEnd(worker *worker, execution *execution) {
	next := execution.end
	if execution.leaseEnd.Before(next) {
		next = execution.leaseEnd
	}
	simulation.callAt(next, func() {
		switch {
		case worker.running[execution.task] != execution:
		case !simulation.now.Before(execution.end) && (execution.fault == faultTaskFails || worker.failsFast):
			simulation.end(worker, execution, upstream.TaskFailed)
		case !simulation.now.Before(execution.end):
			simulation.end(worker, execution, upstream.Finished)
		case !simulation.now.Before(execution.leaseEnd):
			simulation.end(worker, execution, upstream.Stopped)
		default:
			simulation.scheduleEnd(worker, execution)
		}
	})
}

func (simulation *simulation) end(worker *worker, execution *execution, state upstream.TaskState) {
	delete(worker.running, execution.task)
	worker.ended[execution.task] = upstream.TaskReport{
		TaskID: execution.task.String(),
		State:  state,
		RunMs:  execution.runMs,
		Output: fmt.Appendf(nil, "%d", execution.task.Index),
	}
	simulation.deliver(worker, execution)
}

// deliver sends the end of an execution over its connection, subject to the fault.
func (simulation *simulation) deliver(worker *worker, execution *execution) {
	report := worker.ended[execution.task]
	switch execution.fault {
	case faultSilent, faultLostAfterStart:
	case faultReplyLost:
		simulation.sendUnlessDropped(execution.task, dispatch.TaskLost{Task: execution.task, Upstream: worker.ID})
	default:
		simulation.sendUnlessDropped(execution.task, dispatch.TaskEnded{
			Task:     execution.task,
			Upstream: worker.ID,
			OK:       report.State == upstream.Finished,
			RunMs:    report.RunMs,
			Output:   report.Output,
		})
	}
}

func (simulation *simulation) kill(worker *worker) {
	worker.dead = true
	for _, execution := range worker.running {
		if execution.fault != faultSilent && execution.fault != faultLostAfterStart {
			simulation.sendUnlessDropped(execution.task, dispatch.TaskLost{Task: execution.task, Upstream: worker.ID})
		}
	}
	worker.reset()
}

func (simulation *simulation) restart(worker *worker) {
	worker.dead = false
	worker.bootedAt = simulation.now
}

// answerQuery applies a status query at its worker and sends the answer.
func (simulation *simulation) answerQuery(query dispatch.QueryUpstream) {
	worker := simulation.worker(query.Upstream)
	failed := dispatch.QueryFailed{Upstream: query.Upstream, Query: query}
	if worker.dead {
		simulation.after(oneWayDelay, func() { simulation.send(failed) })
		return
	}
	answer := dispatch.QueryAnswered{Upstream: query.Upstream, Query: query}
	for _, task := range query.Renew {
		if execution, runs := worker.running[task]; runs {
			execution.leaseEnd = simulation.now.Add(query.Lease)
		}
		answer.Response.Tasks = append(answer.Response.Tasks, worker.report(task))
	}
	for _, task := range query.Cancel {
		if execution, runs := worker.running[task]; runs {
			simulation.end(worker, execution, upstream.Stopped)
		}
		answer.Response.Tasks = append(answer.Response.Tasks, worker.report(task))
	}
	for task := range worker.running {
		answer.Response.Occupancy = append(answer.Response.Occupancy, upstream.Occupant{TaskID: task.String()})
	}
	answer.Response.UptimeMs = simulation.now.Sub(worker.bootedAt).Milliseconds()
	if worker.dropsAnswers {
		simulation.after(time.Second, func() { simulation.send(failed) })
		return
	}
	simulation.after(oneWayDelay, func() { simulation.send(answer) })
}

func (worker *worker) report(task upstream.TaskID) upstream.TaskReport {
	if _, runs := worker.running[task]; runs {
		return upstream.TaskReport{TaskID: task.String(), State: upstream.StillRunning}
	}
	if report, ended := worker.ended[task]; ended {
		return report
	}
	worker.tombstones[task] = true
	return upstream.TaskReport{TaskID: task.String(), State: upstream.NeverStarted}
}

// verify checks the invariants at the end, when all jobs and tasks are settled.
func (simulation *simulation) verify() []string {
	for key, spec := range simulation.jobs {
		answer, answered := simulation.answers[key]
		if !answered {
			simulation.recordViolation("one-answer: %s has no answer", key)
			continue
		}
		simulation.verifyAnswer(key, spec, answer)
	}
	dump := simulation.core.Dump()
	if dump.Jobs != 0 || dump.ActiveTasks != 0 || dump.WaitingTasks != 0 {
		simulation.recordViolation("left over: %d jobs, %d active and %d waiting tasks", dump.Jobs, dump.ActiveTasks, dump.WaitingTasks)
	}
	for _, upstream := range dump.Upstreams {
		if upstream.Used != 0 {
			simulation.recordViolation("left over: %s has %d slots in use", upstream.ID, upstream.Used)
		}
	}
	return simulation.violations
}

func (simulation *simulation) verifyAnswer(key submission.Key, spec job.Job, answer job.Answer) {
	started := 0
	for i := range spec.Tasks {
		started += simulation.startCounts[taskKey{key: key, index: i}]
	}
	switch answer.Outcome {
	case job.Complete:
		if len(answer.Results) != len(spec.Tasks) {
			simulation.recordViolation("whole-answer: %s has %d of %d results", key, len(answer.Results), len(spec.Tasks))
		}
		for i, result := range answer.Results {
			if result.Index != i || string(result.Output) != fmt.Sprint(i) || result.Upstream == "" {
				simulation.recordViolation("whole-answer: result %d of %s is %+v", i, key, result)
			}
		}
	case job.Refused:
		if started > 0 {
			simulation.recordViolation("true-refusal: %s was refused (%s) and started %d tasks", key, answer.Reason, started)
		}
	case job.Failed:
		if len(answer.Results) != 0 {
			simulation.recordViolation("whole-answer: %s failed with results", key)
		}
		if answer.Started == job.StartedYes && started == 0 || answer.Started == job.StartedNo && started > 0 {
			simulation.recordViolation("started: %s says %q and started %d tasks", key, answer.Started, started)
		}
	}
}
