package simulation

import (
	"container/heap"
	"fmt"
	"io"
	"math/rand/v2"
	"regexp"
	"slices"
	"strings"
	"time"

	"tanagerfall/shared/process/dispatcher"
	"tanagerfall/shared/request/cell"
	"tanagerfall/shared/version/region"
	"tanagerfall/shared/version/routing"
)

const (
	domainCount = 3
	// serviceName is the service of all workers and jobs.
	serviceName = "tasks"
	// warmUpTime is how long the processes of a series take to elect a scheduler.
	warmUpTime = 1500 * time.Millisecond
	// coolDownTime is how long jobs arrive after the last trouble of a series.
	coolDownTime = 1500 * time.Millisecond
)

// epoch is the time of day at the start of each series.
var epoch = time.Unix(1_800_000_000, 0)

// Options configures a series.
type Options struct {
	Seed uint64
	// UnnoticedBreaks makes processes notice some broken connections of callers only
	// after the caller has sent its job again.
	UnnoticedBreaks bool
	// LateOrdersSurvive makes new processes of workers carry out orders that were sent to
	// earlier ones. Series before FirstScenarioSeed do so in any case.
	LateOrdersSurvive bool
	// Log, if set, receives the log lines of all processes and the events of the
	// workers, callers and troubles.
	Log io.Writer
}

// Result is the result of a series.
type Result struct {
	Seed uint64
	// Starts, Completed and Takeovers count runs, completed jobs and processes that
	// began to schedule.
	Starts    int
	Completed int
	Takeovers int
	// Refused counts requests that were answered as not run.
	Refused int
	// Violations holds the cases in which a rule was broken.
	Violations []Violation
}

// Violation is a case in which a rule was broken.
type Violation struct {
	Rule Rule
	Job  string
	Text string
}

// node is a participant of the network.
type node struct {
	name   string
	domain int
	// isProcess and isWorker are false for the log.
	isProcess bool
	isWorker  bool
}

// cut blocks messages for a time.
type cut struct {
	blocks func(from, to *node) bool
	// refuses is set if the cut refuses connections instead of losing their packets.
	refuses bool
}

// world is the state of a series.
type world struct {
	options Options
	random  *rand.Rand
	now     time.Duration
	events  eventQueue
	// lastEvent numbers the events, so that those of the same time keep their order.
	lastEvent int

	cuts []*cut
	// linkDelay, if set, returns how much longer messages between processes take.
	linkDelay func(from, to *node) time.Duration
	log       *platformLog
	processes []*process
	workers   []*worker
	callers   callers
	// runsByTask holds the runs that have not ended.
	runsByTask map[cell.TaskName][]*simulatedRun
	// faultsEnd is when the last trouble begins, and end when the series ends.
	faultsEnd time.Duration
	end       time.Duration
	// aimedTroubles counts the troubles that were aimed at a new scheduler.
	aimedTroubles int
	routes        *routing.Table
	// evacuations is nil in series before FirstEvacuationSeed.
	evacuations *evacuations
	overload    *overload
	result      Result
}

// Run plays a series.
func Run(options Options) Result {
	world := newWorld(options)
	for len(world.events) > 0 {
		next := heap.Pop(&world.events).(scheduledEvent)
		if next.at > world.end {
			break
		}
		world.now = next.at
		next.action()
	}
	world.checkRefusals()
	return world.result
}

func newWorld(options Options) *world {
	world := &world{
		options:    options,
		random:     rand.New(rand.NewPCG(options.Seed, 0x7a6e)),
		runsByTask: make(map[cell.TaskName][]*simulatedRun),
		result: Result{
			Seed: options.Seed,
		},
	}
	world.routes = (&routing.Table{
		Version: 1,
		Services: []routing.Service{{
			Name:             serviceName,
			EnforcesCapacity: true,
		}},
	}).Index()
	world.log = newPlatformLog(world)
	isOverloaded := options.Seed >= FirstOverloadSeed
	fewestWorkers := 9
	if isOverloaded {
		world.overload = newOverload(world)
		fewestWorkers = world.overload.fewestWorkers()
	}
	for range fewestWorkers + world.random.IntN(8) {
		world.addWorker()
	}
	for number := range 4 + world.random.IntN(4) {
		world.processes = append(world.processes, newProcess(world, number))
	}
	for _, process := range world.processes {
		world.after(world.between(0, 150*time.Millisecond), process.start)
	}
	length := world.between(3*time.Second, 7*time.Second)
	if world.chance(0.1) {
		length = world.between(20*time.Second, 32*time.Second)
	}
	switch {
	case isOverloaded:
		length = world.between(2*time.Second, 6*time.Second)
		if world.hasLongTasks() {
			length = world.between(8*time.Second, 16*time.Second)
		}
	case options.Seed >= FirstScenarioSeed && world.scenario() == forgottenWorkers:
		length = longSeriesLength
	}
	world.faultsEnd = warmUpTime + length
	world.end = world.faultsEnd + coolDownTime
	switch {
	case isOverloaded:
		world.end += settleTime
		world.overload.start()
	case options.Seed >= FirstScenarioSeed:
		world.scheduleScenario()
	default:
		world.scheduleTroubles()
	}
	if options.Seed >= FirstEvacuationSeed && (!isOverloaded || options.Seed%5 == 0) {
		world.startEvacuations()
	}
	if isOverloaded {
		world.overload.submitJobs()
	} else {
		world.callers.start(world)
	}
	return world
}

// lateOrdersSurvive reports whether an order may reach a worker that has restarted since.
func (world *world) lateOrdersSurvive() bool {
	return world.options.LateOrdersSurvive || world.options.Seed < FirstScenarioSeed
}

// time returns the present time on the elapsed clocks of the processes.
func (world *world) time() time.Time { return epoch.Add(world.now) }

// after schedules an action.
func (world *world) after(delay time.Duration, action func()) {
	world.lastEvent++
	heap.Push(&world.events, scheduledEvent{
		at:     world.now + max(delay, 0),
		number: world.lastEvent,
		action: action,
	})
}

// between returns a random duration.
func (world *world) between(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(world.random.Int64N(int64(longest-shortest)+1))
}

func (world *world) chance(share float64) bool { return world.random.Float64() < share }

// latency returns the transit time of a message or an order.
func (world *world) latency() time.Duration {
	if world.chance(0.03) {
		return world.between(2*time.Millisecond, 30*time.Millisecond)
	}
	return world.between(100*time.Microsecond, 1500*time.Microsecond)
}

// blocked reports whether a cut blocks messages from one node to another.
func (world *world) blocked(from, to *node) bool {
	for _, cut := range world.cuts {
		if cut.blocks(from, to) {
			return true
		}
	}
	return false
}

// refused reports whether a cut refuses connections from one node to another.
func (world *world) refused(from, to *node) bool {
	return slices.ContainsFunc(world.cuts, func(cut *cut) bool { return cut.refuses && cut.blocks(from, to) })
}

// trace writes an event of the series to the log of the options.
func (world *world) trace(format string, arguments ...any) {
	if world.options.Log != nil {
		fmt.Fprintf(world.options.Log, "%9.3f %s\n", world.now.Seconds(), fmt.Sprintf(format, arguments...))
	}
}

// realTime is the field of a log line that holds the real time.
var realTime = regexp.MustCompile(` at=\d+`)

// processWriter writes the log lines of one process to the log of the options.
type processWriter struct {
	world *world
	name  string
}

// Write writes one line, without the real time at its start.
func (writer processWriter) Write(data []byte) (int, error) {
	line := strings.TrimSpace(string(data))
	if _, rest, found := strings.Cut(line, "E"); found {
		line = "E" + realTime.ReplaceAllString(rest, "")
	}
	writer.world.trace("%s %s", writer.name, line)
	return len(data), nil
}

// checkStart records a violation for each other run of the task of a run that starts.
func (world *world) checkStart(started *simulatedRun) {
	world.result.Starts++
	world.callers.recordStart(started.name.Task, started.worker)
	for _, other := range world.runsByTask[started.name.Task] {
		text := fmt.Sprintf("job %s task %d.%d: run %d on %s (token %d, started %.3f, still runs) and run %d on %s (token %d, started %.3f)",
			started.name.Task.Job, started.name.Task.Step, started.name.Task.Index,
			other.name.Number, other.worker.node.name, other.token, other.startedAt.Seconds(),
			started.name.Number, started.worker.node.name, started.token, started.startedAt.Seconds())
		world.recordViolation(RuleTwoRuns, started.name.Task.Job, text)
	}
	world.runsByTask[started.name.Task] = append(world.runsByTask[started.name.Task], started)
}

// recordEnd removes a run that has ended.
func (world *world) recordEnd(ended *simulatedRun) {
	runs := world.runsByTask[ended.name.Task]
	for i, other := range runs {
		if other == ended {
			runs = append(runs[:i:i], runs[i+1:]...)
			break
		}
	}
	if len(runs) == 0 {
		delete(world.runsByTask, ended.name.Task)
		return
	}
	world.runsByTask[ended.name.Task] = runs
}

// members returns what the processes announce of themselves.
func (world *world) members() []region.Member {
	var members []region.Member
	for _, process := range world.processes {
		members = append(members, process.member())
	}
	return members
}

// schedulers returns the live processes that schedule.
func (world *world) schedulers() []*process {
	var schedulers []*process
	for _, process := range world.processes {
		if process.alive && process.role == dispatcher.RoleScheduler {
			schedulers = append(schedulers, process)
		}
	}
	return schedulers
}

// scheduledEvent is an action at a time.
type scheduledEvent struct {
	at     time.Duration
	number int
	action func()
}

// eventQueue is a heap of events by time.
type eventQueue []scheduledEvent

func (queue eventQueue) Len() int { return len(queue) }
func (queue eventQueue) Less(i, j int) bool {
	if queue[i].at != queue[j].at {
		return queue[i].at < queue[j].at
	}
	return queue[i].number < queue[j].number
}
func (queue eventQueue) Swap(i, j int) { queue[i], queue[j] = queue[j], queue[i] }

// Push appends an event.
func (queue *eventQueue) Push(event any) { *queue = append(*queue, event.(scheduledEvent)) }

// Pop removes the last event.
func (queue *eventQueue) Pop() any {
	last := len(*queue) - 1
	event := (*queue)[last]
	(*queue)[last] = scheduledEvent{}
	*queue = (*queue)[:last]
	return event
}
