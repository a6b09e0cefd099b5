package simulation

import (
	"fmt"
	"slices"
	"time"

	"tanagerfall/shared/request/cell"
)

const (
	// maxLeaseMs is the longest lease from now on a worker's clock.
	maxLeaseMs = 1000
	// stopTime is the longest time that a worker takes to end a run after a stop.
	stopTime = 50 * time.Millisecond
	// workerSlots is the number of runs that a worker has room for, unless the region is
	// divided.
	workerSlots = 4
	// taskMilliCores is the need of each task.
	taskMilliCores = 1000
)

// worker is a stand-in worker. Its fields from life on are those of one process.
type worker struct {
	world  *world
	node   *node
	up     bool
	faults workerFaults
	// slots is the number of runs that the worker has room for.
	slots int

	// life counts the processes under the worker's ID.
	life        int
	bornMs      int64
	startedAt   time.Duration
	clockRate   float64
	token       int64
	leaseEndMs  int64
	runs        []*simulatedRun
	endedRuns   map[cell.TaskName]int
	ends        []cell.EndedRun
	lastEnd     int64
	draining    bool
	waitingPoll []*waitingPoll
}

// workerFaults holds the shares of orders that a fault affects.
type workerFaults struct {
	late       float64
	lostAnswer float64
	slowAnswer float64
	unhealthy  float64
}

// simulatedRun is a run on a worker.
type simulatedRun struct {
	name      cell.RunName
	worker    *worker
	token     int64
	startedAt time.Duration
	duration  time.Duration
	stopping  bool
	ended     bool
}

// waitingPoll is a poll that waits for the end of a run.
type waitingPoll struct {
	answer func()
	done   bool
}

// addWorker adds a worker under a new ID.
func (world *world) addWorker() *worker {
	added := &worker{
		world: world,
		node: &node{
			name:     fmt.Sprintf("w%d", len(world.workers)),
			domain:   len(world.workers) % domainCount,
			isWorker: true,
		},
		slots: workerSlots,
	}
	if world.overload.isDivided() {
		added.slots = 1
	}
	world.workers = append(world.workers, added)
	added.boot()
	world.after(0, added.register)
	return added
}

// boot starts a process of the worker, which knows nothing of earlier ones.
func (worker *worker) boot() {
	worker.up = true
	worker.life++
	worker.bornMs = worker.world.time().UnixMilli()
	worker.startedAt = worker.world.now
	worker.clockRate = 1 - 0.02*worker.world.random.Float64()
	worker.token = 0
	worker.leaseEndMs = 0
	worker.endedRuns = make(map[cell.TaskName]int)
	worker.ends = nil
	worker.lastEnd = 0
	worker.draining = false
}

// shutDown ends the process of the worker and all its runs.
func (worker *worker) shutDown(reason string) {
	worker.world.trace("%s %s", worker.node.name, reason)
	worker.up = false
	for _, run := range worker.runs {
		run.ended = true
		worker.world.recordEnd(run)
	}
	worker.runs = nil
	worker.waitingPoll = nil
}

// register writes the worker's entry to the log at intervals.
func (worker *worker) register() {
	if worker.up && !worker.world.blocked(worker.node, worker.world.log.node) {
		worker.world.log.write(worker)
	}
	worker.world.after(worker.world.between(800*time.Millisecond, time.Second), worker.register)
}

// entry returns the worker's entry in the log.
func (worker *worker) entry() cell.Upstream {
	return cell.Upstream{
		ID:      worker.node.name,
		Address: worker.node.name + ":1",
		Service: serviceName,
		Domain:  domainName(worker.node.domain),
		Slots:   worker.slots,
		Capacity: cell.Resources{
			MilliCores: worker.slots * taskMilliCores,
		},
		Leaving:     worker.draining,
		Incarnation: worker.bornMs,
	}
}

func domainName(domain int) string { return fmt.Sprintf("z%d", domain) }

// clockMs returns the time on the worker's clock.
func (worker *worker) clockMs() int64 {
	return 1 + int64(worker.clockRate*float64(worker.world.now-worker.startedAt)/float64(time.Millisecond))
}

// renewLease extends the lease, to at most maxLeaseMs from now.
func (worker *worker) renewLease(untilMs int64) {
	untilMs = min(untilMs, worker.clockMs()+maxLeaseMs)
	if untilMs <= worker.leaseEndMs {
		return
	}
	worker.leaseEndMs = untilMs
	life := worker.life
	remaining := time.Duration(float64(untilMs-worker.clockMs()+1) / worker.clockRate * float64(time.Millisecond))
	worker.world.after(remaining, func() {
		if worker.life == life && worker.leaseEndMs == untilMs {
			for _, run := range slices.Clone(worker.runs) {
				worker.endRun(run, cell.EndStopped, "lapsed")
			}
		}
	})
}

// endRun ends a run and answers the polls that wait.
func (worker *worker) endRun(run *simulatedRun, end cell.End, reason string) {
	if run.ended {
		return
	}
	run.ended = true
	worker.world.recordEnd(run)
	worker.runs = slices.DeleteFunc(worker.runs, func(other *simulatedRun) bool { return other == run })
	worker.endedRuns[run.name.Task] = max(worker.endedRuns[run.name.Task], run.name.Number)
	worker.lastEnd++
	worker.ends = append(worker.ends, cell.EndedRun{
		Run:      run.name,
		Sequence: worker.lastEnd,
		End:      end,
	})
	worker.world.trace("%s ends %s run %d: %s", worker.node.name, taskText(run.name.Task), run.name.Number, reason)
	waiting := worker.waitingPoll
	worker.waitingPoll = nil
	for _, poll := range waiting {
		if !poll.done {
			poll.done = true
			poll.answer()
		}
	}
}

func taskText(name cell.TaskName) string {
	return fmt.Sprintf("%s.%d.%d", name.Job, name.Step, name.Index)
}

// accept checks and records the token of an order.
func (worker *worker) accept(token int64) cell.Outcome {
	if token < worker.token {
		return cell.OutcomeFenced
	}
	worker.token = token
	return cell.OutcomeDone
}

// start carries out a start.
func (worker *worker) start(order cell.StartRun) cell.Outcome {
	if outcome := worker.accept(order.Order.Token); outcome != cell.OutcomeDone {
		return outcome
	}
	task := order.Run.Task
	for _, run := range worker.runs {
		if run.name == order.Run {
			return cell.OutcomeDone
		}
	}
	switch {
	case order.Run.Number <= worker.endedRuns[task]:
		worker.renewLease(order.Order.LeaseEnd)
		return cell.OutcomeStale
	case order.Order.LeaseEnd <= worker.clockMs():
		return cell.OutcomeLate
	case len(worker.runs) >= worker.slots:
		worker.renewLease(order.Order.LeaseEnd)
		return cell.OutcomeFull
	}
	worker.renewLease(order.Order.LeaseEnd)
	world := worker.world
	started := &simulatedRun{
		name:      order.Run,
		worker:    worker,
		token:     order.Order.Token,
		startedAt: world.now,
		duration:  world.callers.taskTime(world, task),
	}
	worker.runs = append(worker.runs, started)
	world.trace("%s starts %s run %d token %d", worker.node.name, taskText(task), order.Run.Number, order.Order.Token)
	world.checkStart(started)
	end := cell.EndDone
	if world.chance(0.01) {
		end = cell.EndFailed
	}
	world.after(started.duration, func() {
		if !started.stopping {
			worker.endRun(started, end, "done or failed")
		}
	})
	return cell.OutcomeDone
}

// stop carries out a stop. The run goes on for up to stopTime and is not listed.
func (worker *worker) stop(order cell.StopRun) cell.Outcome {
	if outcome := worker.accept(order.Order.Token); outcome != cell.OutcomeDone {
		return outcome
	}
	task := order.Run.Task
	worker.endedRuns[task] = max(worker.endedRuns[task], order.Run.Number)
	for _, run := range worker.runs {
		if run.name.Task == task && run.name.Number <= order.Run.Number && !run.stopping {
			run.stopping = true
			worker.world.trace("%s stops %s run %d token %d: %s", worker.node.name, taskText(task), run.name.Number, order.Order.Token, order.Reason)
			worker.world.after(worker.world.between(0, stopTime), func() { worker.endRun(run, cell.EndStopped, "stopped") })
		}
	}
	return cell.OutcomeDone
}

// poll accepts a poll and calls answer when its wait is over.
func (worker *worker) poll(order cell.Poll, answer func()) cell.Outcome {
	if outcome := worker.accept(order.Order.Token); outcome != cell.OutcomeDone {
		return outcome
	}
	if order.Order.LeaseEnd > 0 {
		worker.renewLease(order.Order.LeaseEnd)
	}
	worker.ends = slices.DeleteFunc(worker.ends, func(end cell.EndedRun) bool { return end.Sequence <= order.Acknowledged })
	if order.Wait <= 0 || len(worker.ends) > 0 {
		answer()
		return cell.OutcomeDone
	}
	waiting := &waitingPoll{
		answer: answer,
	}
	worker.waitingPoll = append(worker.waitingPoll, waiting)
	life := worker.life
	worker.world.after(order.Wait, func() {
		if worker.life == life && worker.up && !waiting.done {
			waiting.done = true
			worker.waitingPoll = slices.DeleteFunc(worker.waitingPoll, func(other *waitingPoll) bool { return other == waiting })
			answer()
		}
	})
	return cell.OutcomeDone
}

// list adds the runs and ends of the worker to the reply of a poll.
func (worker *worker) list(replied *cell.PollReplied) {
	replied.Reply.Clock = worker.clockMs()
	replied.Incarnation = worker.bornMs
	for _, run := range worker.runs {
		if !run.stopping {
			replied.Running = append(replied.Running, cell.RunningRun{
				Run:     run.name,
				Percent: int(min(99, 100*(worker.world.now-run.startedAt)/run.duration)),
			})
		}
	}
	replied.Ended = slices.Clone(worker.ends)
}
