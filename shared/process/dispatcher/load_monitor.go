package dispatcher

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerfall/shared/process/logevent"
	"tanagerfall/shared/request/cell"
)

const (
	// startTimeGain is the weight of one order in the average.
	startTimeGain = 0.05
	// slowStartTime is the time from the decision on a start to its answer that a
	// scheduler exceeds only when it lacks processor time. It takes 3 to 6 ms
	// on a sound VM, and tens of ms for a moment when many starts are due.
	slowStartTime = 40 * time.Millisecond
	// slowDuration is how long the average must stay above slowPace.
	slowDuration = 400 * time.Millisecond
	// warmUpDuration is the time after the start of a scheduler in which its pace does
	// not make it yield: it opens connections to all upstreams and takes over
	// all jobs at once, which is slow on any VM.
	warmUpDuration = 5 * time.Second
)

const (
	// shedStartTime is the time of a start from which the scheduler takes fewer
	// jobs. It lies between that of a sound VM and slowPace.
	shedStartTime = 20 * time.Millisecond
	// shedUpdateInterval spaces the changes of the share that is turned away: the
	// heartbeats that tell it take up to 0.4 s.
	shedUpdateInterval = 200 * time.Millisecond
	// shedIncrease and turnDown are the steps of that share, and maxTurned bounds it.
	// It rises fast, since a scheduler that falls behind serves nobody.
	shedIncrease = 0.08
	shedDecrease = 0.02
	maxShedShare = 0.8
	// fastShedDecrease is the step down while a start takes less than half of
	// fullPace. At 0.02 a region took 10 s to serve all again after a restart.
	fastShedDecrease = 0.06
	// healthyRateShare is the share of the rate at which a process kept up below
	// which it counts as slow, soundDecay forgets that rate within a minute, and
	// rateGain smooths the rate over half a second.
	healthyRateShare = 0.8
	healthyRateDecay = 0.997
	startRateGain    = 0.4
)

// loadMonitor is how fast this process schedules.
type loadMonitor struct {
	// shedShare is the share of new jobs that is turned away.
	shedShare     float64
	shedUpdatedAt time.Time
	// starts counts those since turnedAt, rate is that of the time before, and
	// soundRate the highest lately at which the process kept up.
	starts           int
	startRate        float64
	healthyStartRate float64

	schedulingSince  time.Time
	averageStartTime time.Duration
	// slowSince is when the average rose above slowPace; zero while it is
	// below.
	slowSince time.Time
}

// recordStartTime takes note of how long a start took.
func (loop *loop) recordStartTime(event cell.Event, sentAt time.Time) {
	startReplied, isStart := event.(cell.StartReplied)
	if !isStart || startReplied.Reply.Outcome != cell.OutcomeDone {
		return
	}
	loop.loadMonitor.recordStart(loop.now, loop.now.Sub(sentAt))
}

func (loadMonitor *loadMonitor) recordStart(now time.Time, startTime time.Duration) {
	loadMonitor.starts++
	loadMonitor.averageStartTime += time.Duration(startTimeGain * float64(startTime-loadMonitor.averageStartTime))
	switch {
	case loadMonitor.averageStartTime < slowStartTime || now.Sub(loadMonitor.schedulingSince) < warmUpDuration:
		loadMonitor.slowSince = time.Time{}
	case loadMonitor.slowSince.IsZero():
		loadMonitor.slowSince = now
	}
}

// tooSlow reports whether the process is too slow to schedule. One that makes as
// many starts as ever is not slow: it has more to do than it can.
func (loadMonitor *loadMonitor) tooSlow(now time.Time) bool {
	return !loadMonitor.slowSince.IsZero() && now.Sub(loadMonitor.slowSince) >= slowDuration &&
		loadMonitor.startRate < healthyRateShare*loadMonitor.healthyStartRate
}

// yield leaves the scheduling to another process while this one is slow.
func (loop *loop) yield() {
	if loop.cell == nil || !loop.loadMonitor.tooSlow(loop.now) || !loop.view.CanYield() {
		return
	}
	loop.log(logevent.SchedulerSlow, "average", loop.loadMonitor.averageStartTime)
	loop.stepDown("too slow")
	loop.view.Abstain(yieldAbstention)
	loop.sendHeartbeats(false)
	loop.elect()
}

// updateShedShare brings the share of new jobs that is turned away up to date.
func (loadMonitor *loadMonitor) updateShedShare(now time.Time) {
	elapsed := now.Sub(loadMonitor.shedUpdatedAt)
	if elapsed < shedUpdateInterval {
		return
	}
	loadMonitor.startRate += startRateGain * (float64(loadMonitor.starts)/elapsed.Seconds() - loadMonitor.startRate)
	loadMonitor.starts = 0
	loadMonitor.shedUpdatedAt = now
	loadMonitor.healthyStartRate *= healthyRateDecay
	if loadMonitor.averageStartTime < shedStartTime {
		loadMonitor.healthyStartRate = max(loadMonitor.healthyStartRate, loadMonitor.startRate)
	}
	switch {
	case loadMonitor.averageStartTime > shedStartTime:
		loadMonitor.shedShare = min(loadMonitor.shedShare+shedIncrease, maxShedShare)
	case loadMonitor.averageStartTime > shedStartTime/2:
		loadMonitor.shedShare = max(loadMonitor.shedShare-shedDecrease, 0)
	default:
		loadMonitor.shedShare = max(loadMonitor.shedShare-fastShedDecrease, 0)
	}
}

// shouldShed reports whether a job is among the share that is turned away. The
// same job always is or is not.
func shouldShed(id string, share float64) bool {
	return share > 0 && float64(xxhash.Sum64String(id)>>11)/(1<<53) < share
}
