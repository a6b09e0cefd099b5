package simulation

import (
	"fmt"
	"slices"
	"time"

	"tanagerfall/shared/request/cell"
)

const (
	// resendDelay is the time after which a caller sends a job again whose connection
	// broke.
	resendDelay = 1300 * time.Millisecond
	// longestNotice is how long a process may take to notice that a connection of a caller
	// broke, and longestUnnoticed how long with Options.UnnoticedBreaks.
	longestNotice    = 600 * time.Millisecond
	longestUnnoticed = 4 * time.Second
	// maxSends bounds how often a caller sends a job.
	maxSends = 4
)

// callers submits jobs and holds what is known of them.
type callers struct {
	lastJob int
	// jobs holds the jobs by ID.
	jobs map[string]*callerJob
}

// callerJob is a job of a caller.
type callerJob struct {
	job cell.Job
	// taskTime is the run time of the first task; those of the others are derived from it.
	taskTime time.Duration
	sends    int
	finished bool
	// refusals counts the requests that were answered as not run, the last at refusedAt.
	refusals  int
	refusedAt time.Duration
	// lastTarget is the process that the job was last sent to.
	lastTarget *process
	// starts counts the starts of its tasks, the last at startedAt on lastWorker.
	starts     int
	startedAt  time.Duration
	lastWorker string
	// toldNotRun is set while the last request was answered as not run, and falselyRefused if
	// a task had started then.
	toldNotRun     bool
	falselyRefused bool
}

// connection is a caller's connection to a process, for one job.
type connection struct {
	world   *world
	process *process
	job     *callerJob
	answer  chan cell.Answer
	closed  bool
}

// start submits jobs until the end of the series.
func (callers *callers) start(world *world) {
	callers.jobs = make(map[string]*callerJob)
	interval := world.between(60*time.Millisecond, 160*time.Millisecond)
	var next func()
	next = func() {
		callers.submitJob(world)
		world.after(world.between(0, 2*interval), next)
	}
	world.after(warmUpTime/2, next)
}

// submitJob sends a new job.
func (callers *callers) submitJob(world *world) {
	callers.lastJob++
	longest := 900 * time.Millisecond
	if world.overload != nil {
		longest = 400 * time.Millisecond
	}
	if world.hasLongTasks() {
		longest = longestTask
	}
	taskTime := world.between(60*time.Millisecond, longest)
	steps := []cell.Step{{
		Count: 2 + world.random.IntN(7),
		Need: cell.Resources{
			MilliCores: taskMilliCores,
		},
		Estimate: taskTime,
	}}
	if world.chance(0.2) {
		steps[0].Count = max(1, steps[0].Count/2)
		steps = append(steps, steps[0])
		steps[1].DependsOn = []int{0}
	}
	job := &callerJob{
		taskTime: taskTime,
		job: cell.Job{
			ID:          fmt.Sprintf("j%03d", callers.lastJob),
			Kind:        "kind",
			Service:     serviceName,
			Steps:       steps,
			MaxAttempts: 3,
			Stretch:     3,
			Objective:   500 * time.Millisecond,
		},
	}
	callers.jobs[job.job.ID] = job
	job.send(world)
	if world.chance(0.1) {
		world.after(world.between(20*time.Millisecond, 1500*time.Millisecond), func() { job.finished = true })
	}
}

// taskTime returns how long a run of a task takes. A few take much longer than expected.
func (callers *callers) taskTime(world *world, task cell.TaskName) time.Duration {
	job := callers.jobs[task.Job]
	if world.chance(0.02) {
		return 4 * job.taskTime
	}
	return time.Duration((0.7 + 0.6*world.random.Float64()) * float64(job.taskTime))
}

// send sends the job to any live process.
func (job *callerJob) send(world *world) {
	var live []*process
	for _, process := range world.processes {
		if process.alive && process.dispatcher.Ready() {
			live = append(live, process)
		}
	}
	if job.finished || job.sends >= maxSends || len(live) == 0 {
		return
	}
	job.sends++
	job.toldNotRun = false
	var target *process
	if world.overload != nil {
		target = world.overload.choose(job, live)
	} else {
		target = live[world.random.IntN(len(live))]
	}
	job.lastTarget = target
	opened := &connection{
		world:   world,
		process: target,
		job:     job,
		answer:  make(chan cell.Answer, 1),
	}
	target.callers = append(target.callers, opened)
	submitted := job.job
	if job.sends-1 > job.refusals {
		submitted.ResentAfter = resendDelay
	}
	submitted.TimeLeft = world.between(3*time.Second, 6*time.Second)
	if world.overload != nil && world.chance(0.3) {
		submitted.TimeLeft = world.between(500*time.Millisecond, 2*time.Second)
	}
	if world.hasLongTasks() {
		submitted.TimeLeft = world.between(2*longestTask, 4*longestTask)
	}
	world.trace("caller sends %s to %s (%d)", submitted.ID, target.node.name, job.sends)
	target.later(world.latency(), func() {
		target.receiveFrom(opened, func() { target.dispatcher.Accept(submitted, opened.answer) })
	})
	if world.chance(0.1) {
		target.later(world.between(20*time.Millisecond, 1500*time.Millisecond), func() { opened.leave(0) })
	}
}

// leave ends the connection from the caller's side for good. The process notices it after
// a time.
func (connection *connection) leave(noticedAfter time.Duration) {
	if connection.closed {
		return
	}
	connection.closed = true
	connection.job.finished = true
	connection.world.trace("caller of %s leaves %s, noticed after %v", connection.job.job.ID, connection.process.node.name, noticedAfter)
	connection.noticed(noticedAfter)
}

// broken ends the connection without an answer, so that the caller sends the job again.
// The process may notice it late, unless it has ended.
func (connection *connection) broken(processEnded bool) {
	if connection.closed {
		return
	}
	connection.closed = true
	world := connection.world
	noticedAfter := world.latency()
	if world.chance(0.2) {
		noticedAfter = world.between(0, longestNotice)
		if world.options.UnnoticedBreaks {
			noticedAfter = world.between(0, longestUnnoticed)
		}
	}
	if !processEnded {
		world.trace("connection of %s to %s breaks, noticed after %v", connection.job.job.ID, connection.process.node.name, noticedAfter)
		connection.noticed(noticedAfter)
	}
	world.after(resendDelay, func() { connection.job.send(world) })
}

// noticed makes the process notice after a time that the caller has left.
func (connection *connection) noticed(after time.Duration) {
	process := connection.process
	process.later(after, func() {
		process.receiveFrom(connection, func() { process.dispatcher.CallerLeft(connection.job.job.ID, connection.answer) })
	})
}

// takeAnswers takes the answers that the dispatcher has given.
func (process *process) takeAnswers() {
	process.callers = slices.DeleteFunc(process.callers, func(connection *connection) bool {
		select {
		case answer := <-connection.answer:
			connection.answered(answer)
			return true
		default:
			return connection.closed
		}
	})
}

// answered handles an answer. A caller whose job was interrupted sends it again.
func (connection *connection) answered(answer cell.Answer) {
	if connection.closed {
		return
	}
	connection.closed = true
	world := connection.world
	world.trace("caller of %s gets %s %s from %s", answer.ID, answer.Result, answer.Reason, connection.process.node.name)
	switch answer.Result {
	case cell.Completed:
		world.result.Completed++
		connection.job.finished = true
	case cell.Interrupted:
		world.after(resendDelay, func() { connection.job.send(world) })
	case cell.NotRun:
		world.result.Refused++
		connection.job.resendRefused(world)
	case cell.Failed:
		connection.job.finished = true
	}
}
