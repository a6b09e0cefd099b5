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

const oneWay = 250 * time.Microsecond

var epoch = time.Unix(1_700_000_000, 0)

// fate is what happens to the connection of one start.
type fate int

const (
	fateNone fate = iota
	// fateRefused: the dial is refused.
	fateRefused
	// fateLostBefore: the connection breaks before the worker has the task.
	fateLostBefore
	// fateLostAfter: it breaks after the worker started the task.
	fateLostAfter
	// fateReplyLost: it breaks when the worker sends the result.
	fateReplyLost
	// fateSilent: it delivers nothing any more and never breaks.
	fateSilent
	// fateFails: the task starts and fails at once.
	fateFails
	fates
)

type call struct {
	at    time.Time
	order int
	do    func()
}

type calls []call

func (calls calls) Len() int { return len(calls) }
func (calls calls) Less(i, j int) bool {
	if !calls[i].at.Equal(calls[j].at) {
		return calls[i].at.Before(calls[j].at)
	}
	return calls[i].order < calls[j].order
}
func (calls calls) Swap(i, j int) { calls[i], calls[j] = calls[j], calls[i] }
func (calls *calls) Push(x any)   { *calls = append(*calls, x.(call)) }
func (calls *calls) Pop() any {
	last := (*calls)[len(*calls)-1]
	*calls = (*calls)[:len(*calls)-1]
	return last
}

// execution is a task at a fake worker.
type execution struct {
	task  upstream.Task
	fate  fate
	runMs int64
	end   time.Time
	lease time.Time
}

// worker is a fake worker: it keeps leases, results and tombstones in memory
// and loses them with its process.
type worker struct {
	placement.Upstream
	boot       int
	bootedAt   time.Time
	dead       bool
	unanswered bool // leases are applied, but their answers are lost
	fast       bool // fails every task after 1 ms
	running    map[upstream.Task]*execution
	ended      map[upstream.Task]upstream.TaskReport
	tombstones map[upstream.Task]bool
	starts     int
}

type index struct {
	key   submission.Key
	index int
}

// world runs a Core against fake workers on virtual time and checks the
// invariants with every decision.
type world struct {
	core        *dispatch.Core
	now         time.Time
	pausedUntil time.Time
	calls       calls
	order       int
	workers     []*worker
	closed      map[string]bool
	absent      map[string]bool
	fate        func() fate
	jobs        map[submission.Key]job.Job
	answers     map[submission.Key]job.Answer
	journal     map[index]int
	dropped     map[upstream.Task]bool
	// repeatable holds the single requests of idempotent kinds.
	repeatable map[submission.Key]bool
	asks       []dispatch.AskUpstream
	starts     []dispatch.StartTask
	counter    uint64
	errors     []string
	// runMs gives the work of a task at speed 1; nil means as declared.
	runMs func(task job.Task) int64
}

func newWorld(seed uint64, workers ...*worker) *world {
	return newWorldOf(dispatch.Config{Domain: "brest"}, placement.Greedy{}, seed, workers...)
}

func newWorldOf(config dispatch.Config, policy placement.Policy, seed uint64, workers ...*worker) *world {
	config.Estimator = estimate.New()
	config.Random = rand.New(rand.NewPCG(seed, 1))
	config.Scheduler = placement.New(policy, config.Estimator, config.Random)
	world := &world{
		core:       dispatch.New(config),
		now:        epoch,
		workers:    workers,
		closed:     make(map[string]bool),
		absent:     make(map[string]bool),
		fate:       func() fate { return fateNone },
		jobs:       make(map[submission.Key]job.Job),
		answers:    make(map[submission.Key]job.Answer),
		journal:    make(map[index]int),
		dropped:    make(map[upstream.Task]bool),
		repeatable: make(map[submission.Key]bool),
	}
	world.fleet()
	world.run(epoch.Add(time.Second))
	return world
}

func newWorkers(count, slots int, speed float64) []*worker {
	workers := make([]*worker, count)
	for i := range workers {
		workers[i] = &worker{
			Upstream: placement.Upstream{ID: fmt.Sprintf("w%02d", i), Slots: slots, Speed: speed, Cores: 16},
			bootedAt: epoch.Add(-time.Hour),
		}
		workers[i].forget()
	}
	return workers
}

func (worker *worker) forget() {
	worker.boot++
	worker.running = make(map[upstream.Task]*execution)
	worker.ended = make(map[upstream.Task]upstream.TaskReport)
	worker.tombstones = make(map[upstream.Task]bool)
}

func (world *world) fleet(leaving ...string) {
	event := dispatch.FleetChanged{Leaving: leaving}
	for _, worker := range world.workers {
		if !world.absent[worker.ID] {
			event.Upstreams = append(event.Upstreams, worker.Upstream)
		}
	}
	for _, id := range leaving {
		world.closed[id] = true
	}
	world.tell(event)
}

func (world *world) at(at time.Time, do func()) {
	world.order++
	heap.Push(&world.calls, call{at: at, order: world.order, do: do})
}

func (world *world) after(delay time.Duration, do func()) { world.at(world.now.Add(delay), do) }

// run advances the world to the given time.
func (world *world) run(until time.Time) {
	for {
		wake, needed := world.core.Wake()
		wake = latest(wake, world.pausedUntil, world.now)
		next := until.Add(1)
		if len(world.calls) > 0 {
			next = world.calls[0].at
		}
		switch {
		case needed && wake.Before(next) && !wake.After(until):
			world.now = wake
			world.tell(dispatch.Tick{})
		case !next.After(until):
			world.now = next
			heap.Pop(&world.calls).(call).do()
		default:
			world.now = until
			return
		}
	}
}

func latest(times ...time.Time) time.Time { return slices.MaxFunc(times, time.Time.Compare) }

// tell gives an event to the Core, or keeps it while the VM is paused.
func (world *world) tell(event dispatch.Event) {
	if world.now.Before(world.pausedUntil) {
		world.at(world.pausedUntil, func() { world.tell(event) })
		return
	}
	for _, decision := range world.core.Handle(world.now, event) {
		world.perform(decision)
	}
}

func (world *world) submit(spec job.Job) submission.Key {
	world.counter++
	key := submission.Key{Incarnation: 1, Counter: world.counter}
	world.jobs[key] = spec
	world.tell(dispatch.JobAccepted{Key: key, Job: spec})
	return key
}

func (world *world) fail(format string, values ...any) {
	world.errors = append(world.errors, fmt.Sprintf(format, values...))
}

func (world *world) worker(id string) *worker {
	for _, worker := range world.workers {
		if worker.ID == id {
			return worker
		}
	}
	return nil
}

func (world *world) perform(decision dispatch.Decision) {
	switch decision := decision.(type) {
	case dispatch.StartTask:
		world.starts = append(world.starts, decision)
		if world.closed[decision.Upstream] {
			world.fail("leaving: %s started at %s", decision.Task, decision.Upstream)
		}
		world.start(decision, world.fate())
	case dispatch.AskUpstream:
		world.asks = append(world.asks, decision)
		world.after(oneWay, func() { world.lease(decision) })
	case dispatch.DropConnection:
		world.dropped[decision.Task] = true
	case dispatch.FinishJob:
		world.check(decision)
	}
}

// check tests the answer against the journal at this moment; verify tests it
// again at the end.
func (world *world) check(finish dispatch.FinishJob) {
	if _, twice := world.answers[finish.Key]; twice {
		world.fail("one-answer: %s answered twice", finish.Key)
	}
	world.answers[finish.Key] = finish.Answer
}

// tellConnection tells the event of a start's connection unless it was dropped.
func (world *world) tellConnection(task upstream.Task, event dispatch.Event) {
	world.after(oneWay, func() {
		if !world.dropped[task] {
			world.tell(event)
		}
	})
}

func (world *world) start(start dispatch.StartTask, fate fate) {
	worker := world.worker(start.Upstream)
	lost := dispatch.TaskLost{Task: start.Task, Upstream: start.Upstream}
	refusal := dispatch.TaskNotStarted{Task: start.Task, Upstream: start.Upstream, Proof: dispatch.ProofDialRefused}
	if worker.dead || fate == fateRefused {
		world.tellConnection(start.Task, refusal)
		return
	}
	if fate == fateLostBefore {
		world.tellConnection(start.Task, lost)
		return
	}
	boot := worker.boot
	world.after(oneWay, func() {
		refusal.Proof = dispatch.ProofRefused
		switch {
		case worker.boot != boot || worker.dead:
			world.tellConnection(start.Task, lost)
		case worker.tombstones[start.Task] || len(worker.running) >= worker.Slots:
			worker.tombstones[start.Task] = true
			world.tellConnection(start.Task, refusal)
		default:
			world.execute(worker, start, fate)
		}
	})
}

func (world *world) execute(worker *worker, start dispatch.StartTask, fate fate) {
	worker.starts++
	name := index{key: start.Task.Key, index: start.Task.Index}
	world.journal[name]++
	if world.journal[name] > 1 && !world.repeatable[start.Task.Key] {
		world.fail("start-once: %s started %d times", start.Task, world.journal[name])
	}
	runMs := start.Spec.RunMs
	if world.runMs != nil {
		runMs = world.runMs(start.Spec)
	}
	runMs = max(1, int64(float64(runMs)/worker.Speed))
	if fate == fateFails || worker.fast {
		runMs = 1
	}
	execution := &execution{
		task:  start.Task,
		fate:  fate,
		runMs: runMs,
		end:   world.now.Add(time.Duration(runMs) * time.Millisecond),
		lease: world.now.Add(start.Lease),
	}
	worker.running[start.Task] = execution
	if fate == fateLostAfter {
		world.tellConnection(start.Task, dispatch.TaskLost{Task: start.Task, Upstream: start.Upstream})
	}
	world.watch(worker, execution)
}

// watch ends an execution at its end or at the end of its lease.
func (world *world) watch(worker *worker, execution *execution) {
	next := execution.end
	if execution.lease.Before(next) {
		next = execution.lease
	}
	world.at(next, func() {
		switch {
		case worker.running[execution.task] != execution:
		case !world.now.Before(execution.end) && (execution.fate == fateFails || worker.fast):
			world.end(worker, execution, upstream.TaskFailed)
		case !world.now.Before(execution.end):
			world.end(worker, execution, upstream.Finished)
		case !world.now.Before(execution.lease):
			world.end(worker, execution, upstream.Stopped)
		default:
			world.watch(worker, execution)
		}
	})
}

func (world *world) end(worker *worker, execution *execution, state upstream.TaskState) {
	delete(worker.running, execution.task)
	worker.ended[execution.task] = upstream.TaskReport{
		TaskID: execution.task.String(),
		State:  state,
		RunMs:  execution.runMs,
		Output: fmt.Appendf(nil, "%d", execution.task.Index),
	}
	world.deliver(worker, execution)
}

func (world *world) deliver(worker *worker, execution *execution) {
	report := worker.ended[execution.task]
	switch execution.fate {
	case fateSilent, fateLostAfter:
	case fateReplyLost:
		world.tellConnection(execution.task, dispatch.TaskLost{Task: execution.task, Upstream: worker.ID})
	default:
		world.tellConnection(execution.task, dispatch.TaskEnded{
			Task:     execution.task,
			Upstream: worker.ID,
			OK:       report.State == upstream.Finished,
			RunMs:    report.RunMs,
			Output:   report.Output,
		})
	}
}

func (world *world) kill(worker *worker) {
	worker.dead = true
	for _, execution := range worker.running {
		if execution.fate != fateSilent && execution.fate != fateLostAfter {
			world.tellConnection(execution.task, dispatch.TaskLost{Task: execution.task, Upstream: worker.ID})
		}
	}
	worker.forget()
}

func (world *world) restart(worker *worker) {
	worker.dead = false
	worker.bootedAt = world.now
}

func (world *world) lease(ask dispatch.AskUpstream) {
	worker := world.worker(ask.Upstream)
	failed := dispatch.LeaseFailed{Upstream: ask.Upstream, Ask: ask}
	if worker.dead {
		world.after(oneWay, func() { world.tell(failed) })
		return
	}
	answer := dispatch.LeaseAnswered{Upstream: ask.Upstream, Ask: ask}
	for _, task := range ask.Renew {
		if execution, runs := worker.running[task]; runs {
			execution.lease = world.now.Add(ask.Lease)
		}
		answer.Response.Tasks = append(answer.Response.Tasks, worker.report(task))
	}
	for _, task := range ask.Cancel {
		if execution, runs := worker.running[task]; runs {
			world.end(worker, execution, upstream.Stopped)
		}
		answer.Response.Tasks = append(answer.Response.Tasks, worker.report(task))
	}
	for task := range worker.running {
		answer.Response.Occupancy = append(answer.Response.Occupancy, upstream.Occupant{TaskID: task.String()})
	}
	answer.Response.UptimeMs = world.now.Sub(worker.bootedAt).Milliseconds()
	if worker.unanswered {
		world.after(time.Second, func() { world.tell(failed) })
		return
	}
	world.after(oneWay, func() { world.tell(answer) })
}

func (worker *worker) report(task upstream.Task) upstream.TaskReport {
	if _, runs := worker.running[task]; runs {
		return upstream.TaskReport{TaskID: task.String(), State: upstream.StillRunning}
	}
	if report, ended := worker.ended[task]; ended {
		return report
	}
	worker.tombstones[task] = true
	return upstream.TaskReport{TaskID: task.String(), State: upstream.NeverStarted}
}

// verify checks the invariants at the end, when nothing may be left.
func (world *world) verify() []string {
	for key, spec := range world.jobs {
		answer, answered := world.answers[key]
		if !answered {
			world.fail("one-answer: %s has no answer", key)
			continue
		}
		world.verifyAnswer(key, spec, answer)
	}
	dump := world.core.Dump()
	if dump.Jobs != 0 || dump.ActiveTasks != 0 || dump.WaitingTasks != 0 {
		world.fail("left over: %d jobs, %d active and %d waiting tasks", dump.Jobs, dump.ActiveTasks, dump.WaitingTasks)
	}
	for _, upstream := range dump.Upstreams {
		if upstream.Used != 0 {
			world.fail("left over: %s has %d slots in use", upstream.ID, upstream.Used)
		}
	}
	return world.errors
}

func (world *world) verifyAnswer(key submission.Key, spec job.Job, answer job.Answer) {
	started := 0
	for i := range spec.Tasks {
		started += world.journal[index{key: key, index: i}]
	}
	switch answer.Outcome {
	case job.Complete:
		if len(answer.Results) != len(spec.Tasks) {
			world.fail("whole-answer: %s has %d of %d results", key, len(answer.Results), len(spec.Tasks))
		}
		for i, result := range answer.Results {
			if result.Index != i || string(result.Output) != fmt.Sprint(i) || result.Upstream == "" {
				world.fail("whole-answer: result %d of %s is %+v", i, key, result)
			}
		}
	case job.Refused:
		if started > 0 {
			world.fail("true-refusal: %s was refused (%s) and started %d tasks", key, answer.Reason, started)
		}
	case job.Failed:
		if len(answer.Results) != 0 {
			world.fail("whole-answer: %s failed with results", key)
		}
		if answer.Started == job.StartedYes && started == 0 || answer.Started == job.StartedNo && started > 0 {
			world.fail("started: %s says %q and started %d tasks", key, answer.Started, started)
		}
	}
}
