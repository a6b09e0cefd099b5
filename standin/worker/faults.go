package worker

import (
	"time"

	"github.com/rotisserie/eris"

	"tanagerfall/standin/fault"
)

// FailTasks makes every task that starts within duration fail at once. A
// duration of 0 lasts until Clear.
func (worker *Worker) FailTasks(duration time.Duration) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	worker.failWindow = fault.NewWindow(time.Now(), duration)
}

// Straggle divides the worker's speed by factor for duration; a duration of 0
// lasts until Clear. Running tasks slow down too. Straggle panics if factor is
// not positive.
func (worker *Worker) Straggle(factor float64, duration time.Duration) {
	if factor <= 0 {
		panic("worker: straggle factor must be positive")
	}
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	worker.straggleWindow = fault.NewWindow(time.Now(), duration)
	worker.setSpeedDivisor(factor)
	if duration > 0 {
		time.AfterFunc(duration, worker.endStraggling)
	}
}

// endStraggling restores the speed unless a later Straggle is still active.
func (worker *Worker) endStraggling() {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	if !worker.straggleWindow.Active(time.Now()) {
		worker.setSpeedDivisor(1)
	}
}

// setSpeedDivisor sets the divisor of the speed and reschedules the ends of
// running tasks.
func (worker *Worker) setSpeedDivisor(divisor float64) {
	now := time.Now()
	ratio := divisor / worker.speedDivisor
	worker.speedDivisor = divisor
	for _, record := range worker.running {
		remaining := max(0, record.completesAt.Sub(now))
		record.completesAt = now.Add(time.Duration(float64(remaining) * ratio))
		record.timer.Reset(record.endTime().Sub(now))
	}
}

// Freeze suspends all processing for duration, as if the process were paused.
// Tasks make no progress. Leases continue to run down, and tasks whose leases
// expired meanwhile are stopped when the worker resumes.
func (worker *Worker) Freeze(duration time.Duration) {
	extension := worker.middleware.Gate.Shut(duration)
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	for _, record := range worker.running {
		record.completesAt = record.completesAt.Add(extension)
	}
}

// Silence makes the open connections silent for the rest of their lives and
// returns their number. It only affects connections that Listen accepted.
func (worker *Worker) Silence() int {
	return worker.server.Silence()
}

// Refuse closes the listener for duration; a duration of 0 lasts until Clear.
// Open connections keep working. The error wraps fault.ErrNotListening if the
// worker does not serve on its own listener.
func (worker *Worker) Refuse(duration time.Duration) error {
	return worker.server.Refuse(duration)
}

// Drain makes the worker signal that it drains: it refuses new tasks and
// reports this in every response. Only Stop and Close end it.
func (worker *Worker) Drain() {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	worker.draining = true
}

// Stop closes the listener and all connections and drops all tasks and
// results, but not the journal. If duration is positive the worker listens
// again after it.
func (worker *Worker) Stop(duration time.Duration) {
	worker.server.Close()
	worker.dropTasks()
	if duration > 0 {
		time.AfterFunc(duration, worker.restart)
	}
}

// dropTasks drops all tasks and results, as the end of a process does.
func (worker *Worker) dropTasks() {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	for _, record := range worker.running {
		if record.timer != nil {
			record.timer.Stop()
		}
		record.dropped = true
		close(record.done)
	}
	worker.running = map[taskKey]*record{}
	worker.tasks = newTaskStore(&worker.config)
	worker.used = resources{}
	worker.draining = false
}

// restart listens again on the same address and retries while that fails.
func (worker *Worker) restart() {
	worker.mutex.Lock()
	worker.restartedAt = time.Now()
	worker.startedAt = worker.restartedAt
	address := worker.config.Address
	worker.mutex.Unlock()
	if worker.server.Address() == "" {
		return
	}
	if _, err := worker.server.Listen(address); err != nil {
		time.AfterFunc(listenRetryDelay, worker.restart)
	}
}

// listenRetryDelay is the delay between two attempts to listen after a
// restart.
const listenRetryDelay = 20 * time.Millisecond

// LoseReplies closes the connection instead of sending the response to the
// next count requests whose tasks end within duration. A count of 0 is
// unlimited, and a duration of 0 lasts until Clear.
func (worker *Worker) LoseReplies(count int, duration time.Duration) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	worker.replyLossWindow = fault.NewWindow(time.Now(), duration)
	worker.replyLossesLeft = count
	if count == 0 {
		worker.replyLossesLeft = unlimitedLosses
	}
}

// unlimitedLosses is the value of replyLossesLeft for an unlimited number.
const unlimitedLosses = -1

// consumeReplyLoss reports whether the current response must be lost, and
// counts it if so.
func (worker *Worker) consumeReplyLoss() bool {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	if !worker.replyLossWindow.Active(time.Now()) || worker.replyLossesLeft == 0 {
		return false
	}
	if worker.replyLossesLeft > 0 {
		worker.replyLossesLeft--
	}
	return true
}

// Slow delays every response by delay for duration; a duration of 0 lasts
// until Clear.
func (worker *Worker) Slow(delay, duration time.Duration) {
	worker.middleware.Slow(delay, duration)
}

// CutDomains leaves requests from the failure domains unanswered for duration;
// a duration of 0 lasts until Clear.
func (worker *Worker) CutDomains(domains []string, duration time.Duration) {
	worker.middleware.CutDomains(domains, duration)
}

// Clear ends every fault except Drain, Stop, Freeze and Silence.
func (worker *Worker) Clear() {
	worker.middleware.Clear()
	worker.server.Resume()
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	worker.failWindow = fault.Window{}
	worker.replyLossWindow = fault.Window{}
	worker.straggleWindow = fault.Window{}
	worker.setSpeedDivisor(1)
}

// Inject implements fault.Injector.
func (worker *Worker) Inject(command fault.Command) error {
	switch command.Fault {
	case fault.FailTasks:
		worker.FailTasks(command.Duration())
	case fault.Straggle:
		if command.Factor <= 0 {
			return eris.Wrap(fault.ErrParameter, "straggle: factor must be positive")
		}
		worker.Straggle(command.Factor, command.Duration())
	case fault.Freeze:
		if command.ForMs <= 0 {
			return eris.Wrap(fault.ErrParameter, "freeze: for-ms must be positive")
		}
		worker.Freeze(command.Duration())
	case fault.Silence:
		worker.Silence()
	case fault.Refuse:
		return worker.Refuse(command.Duration())
	case fault.Drain:
		worker.Drain()
	case fault.Stop:
		// Stop runs later, so that the command can be answered: its connection
		// may be one of those that Stop closes.
		time.AfterFunc(stopDelay, func() { worker.Stop(command.Duration()) })
	case fault.LoseReplies:
		worker.LoseReplies(command.Count, command.Duration())
	case fault.Slow:
		worker.Slow(command.Delay(), command.Duration())
	case fault.CutDomains:
		worker.CutDomains(command.Domains, command.Duration())
	case fault.Clear:
		worker.Clear()
	default:
		return eris.Wrapf(fault.ErrUnknown, "%.64q", string(command.Fault))
	}
	return nil
}

// stopDelay is the time for answering the command before the worker stops.
const stopDelay = 10 * time.Millisecond
