package region

import (
	"context"
	"syscall"
	"time"

	"tanagerfall/soak/standin"
)

// The bounds of the random time between the starts of two faults, and of the random
// duration of a fault: a minimum and the range above it. Faults overlap.
const (
	minFaultInterval   = 200 * time.Millisecond
	faultIntervalRange = 900 * time.Millisecond
	minFaultDuration   = 300 * time.Millisecond
	faultDurationRange = 2500 * time.Millisecond
)

// injectFaults starts the faults of the seed one after the other until ctx ends.
// Each fault ends after its own duration, also after ctx.
func (region *region) injectFaults(ctx context.Context) {
	sleepContext(ctx, settleTime)
	for ctx.Err() == nil {
		kind := region.random.IntN(region.faultKinds())
		process := region.processes[region.random.IntN(len(region.processes))]
		workerIndex := region.random.IntN(len(region.workers))
		worker := region.workers[workerIndex]
		duration := minFaultDuration + time.Duration(region.random.Int64N(int64(faultDurationRange)))
		share := 0.02 + 0.1*region.random.Float64()
		switch kind {
		case 0:
			go restartProcess(process, syscall.SIGKILL, duration)
		case 1:
			go restartProcess(process, syscall.SIGTERM, duration)
		case 2:
			go pauseProcess(process, duration)
		case 3:
			region.setWorkerFaults(worker, standin.Faults{
				LateOrderShare: share,
			}, duration)
		case 4:
			region.setWorkerFaults(worker, standin.Faults{
				LostReplyShare: share,
			}, duration)
		case 5:
			region.setWorkerFaults(worker, standin.Faults{
				HangTasks: true,
			}, duration)
		case 6:
			worker.SetUnreachable(true)
			time.AfterFunc(duration, func() { worker.SetUnreachable(false) })
		case 7:
			worker.Restart()
		case 8:
			region.mutex.Lock()
			region.publishConfig()
			region.mutex.Unlock()
			region.store.SetOutage(region.nextOutage())
			time.AfterFunc(duration, func() { region.store.SetOutage(standin.OutageNone) })
		default:
			region.injectExtendedFault(kind, workerIndex, duration)
		}
		sleepContext(ctx, minFaultInterval+time.Duration(region.random.Int64N(int64(faultIntervalRange))))
	}
}

// setWorkerFaults sets the faults of a worker for the duration.
func (region *region) setWorkerFaults(worker *standin.Worker, faults standin.Faults, duration time.Duration) {
	worker.SetFaults(faults)
	time.AfterFunc(duration, func() { worker.SetFaults(standin.Faults{}) })
}

// restartProcess stops a process with a signal and starts it again after the
// downtime.
func restartProcess(process *process, signal syscall.Signal, downtime time.Duration) {
	if done := process.signal(signal); done != nil {
		<-done
	}
	time.Sleep(downtime)
	process.start()
}

// pauseProcess suspends a process for the duration. It then continues from where it
// was suspended.
func pauseProcess(process *process, duration time.Duration) {
	process.pauses.Add(1)
	defer process.pauses.Add(-1)
	process.signal(syscall.SIGSTOP)
	time.Sleep(duration)
	process.signal(syscall.SIGCONT)
}

// sleepContext waits for the duration or until ctx ends.
func sleepContext(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
