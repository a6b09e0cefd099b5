package region

import (
	"context"
	"syscall"
	"time"

	"tanagerfall/soak/standin"
)

// The times between two faults, and how long one lasts. Faults overlap.
const (
	minGap  = 200 * time.Millisecond
	gapSpan = 900 * time.Millisecond
	minLong = 300 * time.Millisecond
	span    = 2500 * time.Millisecond
)

// disturb plays the seed's faults until ctx ends, and then ends them all.
func (region *region) disturb(ctx context.Context) {
	wait(ctx, settle)
	for ctx.Err() == nil {
		kind := region.random.IntN(region.kinds())
		process := region.processes[region.random.IntN(len(region.processes))]
		number := region.random.IntN(len(region.workers))
		worker := region.workers[number]
		long := minLong + time.Duration(region.random.Int64N(int64(span)))
		share := 0.02 + 0.1*region.random.Float64()
		switch kind {
		case 0:
			go restart(process, syscall.SIGKILL, long)
		case 1:
			go restart(process, syscall.SIGTERM, long)
		case 2:
			go pause(process, long)
		case 3:
			region.faults(worker, standin.Faults{
				LateOrders: share,
			}, long)
		case 4:
			region.faults(worker, standin.Faults{
				LostAnswers: share,
			}, long)
		case 5:
			region.faults(worker, standin.Faults{
				Hang: true,
			}, long)
		case 6:
			worker.SetDown(true)
			time.AfterFunc(long, func() { worker.SetDown(false) })
		case 7:
			worker.Restart()
		case 8:
			region.mutex.Lock()
			region.publish()
			region.mutex.Unlock()
			region.store.SetOutage(region.outage())
			time.AfterFunc(long, func() { region.store.SetOutage(standin.None) })
		default:
			region.disturbMore(kind, number, long)
		}
		wait(ctx, minGap+time.Duration(region.random.Int64N(int64(gapSpan))))
	}
}

func (region *region) faults(worker *standin.Worker, faults standin.Faults, long time.Duration) {
	worker.SetFaults(faults)
	time.AfterFunc(long, func() { worker.SetFaults(standin.Faults{}) })
}

// restart stops a process and starts it again after a time.
func restart(process *process, signal syscall.Signal, long time.Duration) {
	if done := process.signal(signal); done != nil {
		<-done
	}
	time.Sleep(long)
	process.start()
}

// pause stops a process for a time. It goes on wherever it was.
func pause(process *process, long time.Duration) {
	process.signal(syscall.SIGSTOP)
	time.Sleep(long)
	process.signal(syscall.SIGCONT)
}

func wait(ctx context.Context, long time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(long):
	}
}
