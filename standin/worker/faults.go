package worker

import (
	"time"

	"github.com/rotisserie/eris"

	"tanagerfall/standin/fault"
)

// FailTasks lets every task that starts within duration fail at once; 0 means
// until Clear.
func (worker *Worker) FailTasks(duration time.Duration) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	worker.failWindow = fault.NewWindow(time.Now(), duration)
}

// Straggle divides the speed by factor for duration; 0 means until Clear.
// Running tasks slow down too. It panics if factor is not positive.
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

// endStraggling restores the speed unless a later fault prolonged the
// straggling.
func (worker *Worker) endStraggling() {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	if !worker.straggleWindow.Active(time.Now()) {
		worker.setSpeedDivisor(1)
	}
}

// setSpeedDivisor sets the divisor of the speed and moves the ends of running
// tasks accordingly.
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

// Freeze stops all processing for duration, as if the process were paused.
// Tasks make no progress; leases run on, and those that lapsed meanwhile stop
// their tasks on resuming.
func (worker *Worker) Freeze(duration time.Duration) {
	extension := worker.middleware.Gate.Shut(duration)
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	for _, record := range worker.running {
		record.completesAt = record.completesAt.Add(extension)
	}
}

// Silence makes the open connections silent for good. It returns their
// number. It needs Listen.
func (worker *Worker) Silence() int {
	return worker.server.Silence()
}

// Refuse closes the listener for duration; 0 means until Clear. The error
// wraps fault.ErrNotListening without Listen.
func (worker *Worker) Refuse(duration time.Duration) error {
	return worker.server.Refuse(duration)
}

// Drain gives the worker's own drain signal: it starts no new task and says
// so in every answer. It is final.
func (worker *Worker) Drain() {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	worker.draining = true
}

// Stop closes the listener and all connections, and drops all tasks and
// results, but not the journal. With a positive duration the worker listens
// again after it.
func (worker *Worker) Stop(duration time.Duration) {
	worker.server.Close()
	worker.dropTasks()
	if duration > 0 {
		time.AfterFunc(duration, worker.restart)
	}
}

// dropTasks drops all tasks as the end of a process does.
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

// listenRetryDelay is the pause between two attempts to listen after a restart.
const listenRetryDelay = 20 * time.Millisecond

// LoseReplies cuts the connection in place of the reply of the next count
// tasks that end within duration; 0 means no bound.
func (worker *Worker) LoseReplies(count int, duration time.Duration) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	worker.replyLossWindow = fault.NewWindow(time.Now(), duration)
	worker.replyLossesLeft = count
	if count == 0 {
		worker.replyLossesLeft = unlimitedLosses
	}
}

// unlimitedLosses stands for no bound on the number of lost replies.
const unlimitedLosses = -1

// consumeReplyLoss tells whether the reply at hand is to be lost.
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

// Slow delays every answer by delay for duration; 0 means until Clear.
func (worker *Worker) Slow(delay, duration time.Duration) {
	worker.middleware.Slow(delay, duration)
}

// CutDomains leaves requests from domains without an answer for duration; 0
// means until Clear.
func (worker *Worker) CutDomains(domains []string, duration time.Duration) {
	worker.middleware.CutDomains(domains, duration)
}

// Clear ends every fault but a drain, a stop, a freeze and the silence of
// connections.
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
		// Apart from this goroutine, so that the command can be answered on
		// one of the connections that end.
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

// stopDelay is the time left to answer the command that stops the worker.
const stopDelay = 10 * time.Millisecond
