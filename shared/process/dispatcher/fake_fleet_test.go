package dispatcher_test

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"tanagerfall/shared/request/cell"
)

// fakeUpstream runs tasks under a lease and a fencing token, as the workers of the
// platform do.
type fakeUpstream struct {
	token       int64
	leaseExpiry time.Time
	running     map[cell.RunName]time.Time
	stopped     map[cell.RunName]bool
	ended       []cell.EndedRun
	// lastSequence is the number of the last ended run.
	lastSequence int64
}

// fakeFleet executes orders on upstreams in memory and detects two concurrent runs
// of one task.
type fakeFleet struct {
	mutex     sync.Mutex
	startedAt time.Time
	upstreams map[string]*fakeUpstream
	// taskTime is how long the run of each task takes.
	taskTime time.Duration
	// relayFrom is the number of upstreams from which relays are used.
	relayFrom int
	// weight is the processor time of each process in cores.
	weight         float64
	concurrentRuns []string
	completedRuns  map[cell.TaskName]int
}

// newFleet returns a fleet with count upstreams that uses no relays.
func newFleet(taskTime time.Duration, count int) *fakeFleet {
	fleet := &fakeFleet{
		startedAt: time.Now(),
		upstreams: make(map[string]*fakeUpstream),
		taskTime:  taskTime,
		// Only the tests of relays lower this number.
		relayFrom:     math.MaxInt,
		weight:        1,
		completedRuns: make(map[cell.TaskName]int),
	}
	for number := range count {
		fleet.upstreams[fmt.Sprintf("w%d", number)] = &fakeUpstream{
			running: make(map[cell.RunName]time.Time),
			stopped: make(map[cell.RunName]bool),
		}
	}
	return fleet
}

func (fleet *fakeFleet) upstreamList() []cell.Upstream {
	var list []cell.Upstream
	for number := range len(fleet.upstreams) {
		list = append(list, cell.Upstream{
			ID:      fmt.Sprintf("w%d", number),
			Address: fmt.Sprintf("w%d:1", number),
			Service: "orders",
			Domain:  fmt.Sprintf("domain-%d", number%3),
			Slots:   8,
			Capacity: cell.Resources{
				MilliCores: 16_000,
			},
			Incarnation: 1,
		})
	}
	return list
}

// clockMs returns the time on the clock that all upstreams share, in ms from 1.
func (fleet *fakeFleet) clockMs(now time.Time) int64 {
	return 1 + now.Sub(fleet.startedAt).Milliseconds()
}

// receiveOrder advances an upstream to now and checks the fencing token of an
// order. A token below the highest one seen is fenced.
func (fleet *fakeFleet) receiveOrder(order cell.Order) (*fakeUpstream, cell.Reply) {
	now := time.Now()
	upstream := fleet.upstreams[order.Upstream]
	reply := cell.Reply{
		Order:      order,
		Clock:      fleet.clockMs(now),
		SentAt:     now,
		ReceivedAt: now,
	}
	fleet.advance(upstream, now)
	if order.Token < upstream.token {
		reply.Outcome = cell.OutcomeFenced
		return upstream, reply
	}
	upstream.token = order.Token
	return upstream, reply
}

// advance ends the runs of an upstream that are done or whose lease has expired.
func (fleet *fakeFleet) advance(upstream *fakeUpstream, now time.Time) {
	for run, runStart := range upstream.running {
		switch {
		case now.Sub(runStart) >= fleet.taskTime && !runStart.Add(fleet.taskTime).After(upstream.leaseExpiry):
			fleet.endRun(upstream, run, cell.EndDone)
			fleet.completedRuns[run.Task]++
		case now.After(upstream.leaseExpiry):
			fleet.endRun(upstream, run, cell.EndStopped)
		}
	}
}

func (fleet *fakeFleet) endRun(upstream *fakeUpstream, run cell.RunName, end cell.End) {
	delete(upstream.running, run)
	upstream.stopped[run] = true
	upstream.lastSequence++
	upstream.ended = append(upstream.ended, cell.EndedRun{
		Run:      run,
		Sequence: upstream.lastSequence,
		End:      end,
	})
}

// renewLease extends the lease of an upstream to the clock time in ms.
func (fleet *fakeFleet) renewLease(upstream *fakeUpstream, leaseEndMs int64) {
	leaseExpiry := fleet.startedAt.Add(time.Duration(leaseEndMs) * time.Millisecond)
	if leaseEndMs > 0 && leaseExpiry.After(upstream.leaseExpiry) {
		upstream.leaseExpiry = leaseExpiry
	}
}

func (fleet *fakeFleet) Start(_ context.Context, order cell.StartRun) cell.StartReplied {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	upstream, reply := fleet.receiveOrder(order.Order)
	now := time.Now()
	switch {
	case reply.Outcome != cell.OutcomeDone:
	case upstream.stopped[order.Run]:
		reply.Outcome = cell.OutcomeStale
	case fleet.clockMs(now) > order.Order.LeaseEnd:
		reply.Outcome = cell.OutcomeLate
	default:
		for otherID, otherUpstream := range fleet.upstreams {
			fleet.advance(otherUpstream, now)
			for run := range otherUpstream.running {
				if run.Task == order.Run.Task {
					fleet.concurrentRuns = append(fleet.concurrentRuns, fmt.Sprintf("%v on %s and %v on %s", run, otherID, order.Run, order.Order.Upstream))
				}
			}
		}
		fleet.renewLease(upstream, order.Order.LeaseEnd)
		upstream.running[order.Run] = now
	}
	return cell.StartReplied{
		Reply: reply,
		Run:   order.Run,
	}
}

func (fleet *fakeFleet) Stop(_ context.Context, order cell.StopRun) cell.StopReplied {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	upstream, reply := fleet.receiveOrder(order.Order)
	if reply.Outcome == cell.OutcomeDone {
		if _, isRunning := upstream.running[order.Run]; isRunning {
			fleet.endRun(upstream, order.Run, cell.EndStopped)
		}
		upstream.stopped[order.Run] = true
	}
	return cell.StopReplied{
		Reply: reply,
		Run:   order.Run,
	}
}

func (fleet *fakeFleet) Poll(ctx context.Context, order cell.Poll) cell.PollReplied {
	deadline := time.Now().Add(order.Wait)
	for {
		pollReplied := fleet.pollOnce(order)
		if pollReplied.Reply.Outcome != cell.OutcomeDone || len(pollReplied.Ended) > 0 || !time.Now().Before(deadline) {
			return pollReplied
		}
		select {
		case <-ctx.Done():
			return pollReplied
		case <-time.After(2 * time.Millisecond):
		}
	}
}

// pollOnce returns the runs of an upstream without waiting.
func (fleet *fakeFleet) pollOnce(order cell.Poll) cell.PollReplied {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	upstream, reply := fleet.receiveOrder(order.Order)
	pollReplied := cell.PollReplied{
		Reply:       reply,
		Immediate:   order.Immediate,
		Incarnation: 1,
	}
	if reply.Outcome != cell.OutcomeDone {
		return pollReplied
	}
	fleet.renewLease(upstream, order.Order.LeaseEnd)
	for run, runStart := range upstream.running {
		pollReplied.Running = append(pollReplied.Running, cell.RunningRun{
			Run:     run,
			Percent: int(100 * time.Since(runStart) / fleet.taskTime),
		})
	}
	for _, endedRun := range upstream.ended {
		if endedRun.Sequence > order.Acknowledged {
			pollReplied.Ended = append(pollReplied.Ended, endedRun)
		}
	}
	return pollReplied
}
