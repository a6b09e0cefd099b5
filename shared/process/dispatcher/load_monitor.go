package dispatcher

import (
	"time"

	"tanagerfall/shared/process/logevent"
	"tanagerfall/shared/request/cell"
)

const (
	// startTimeGain is the weight of one start in the average start time.
	startTimeGain = 0.05
	// minSlowStartTime is the lowest average start time, from the decision on a
	// start to its reply, at which a scheduler counts as slow. A start takes 3 to 6
	// ms on a healthy VM, and briefly tens of ms when many starts are due.
	minSlowStartTime = 40 * time.Millisecond
	// slowDuration is how long the average must stay above the limit.
	slowDuration = 400 * time.Millisecond
	// warmUpDuration is the time after the start of a scheduler in which slow
	// starts don't make it yield: it connects to all upstreams and takes over all
	// jobs at once, which is slow on any VM.
	warmUpDuration = 5 * time.Second
)

const (
	// minShedStartTime is the lowest average start time above which the shed share
	// rises. It lies between that of a healthy VM and slowStartTime.
	minShedStartTime = 20 * time.Millisecond
	// baseFactor is how many times longer than at its best a start must take before
	// the shed share rises. On a link of 2 Mbit/s a start takes 30 to 45 ms at any
	// rate from 5 to 90 a second, so that shedding does not shorten it; with a fixed
	// limit of 20 ms, 68% of the jobs were refused while the upstreams were idle.
	baseFactor = 3
	// maxSlackShare is the share of the tightest slack of the callers' jobs that
	// starts may take at most before the shed share rises, whatever they take at
	// best.
	maxSlackShare = 0.6
	// minSlackShare is the share of the tightest slack that starts may take before the shed
	// share rises, however long they take at best. On a busy machine, starts of 25 ms made
	// a scheduler refuse jobs that had 1.6 s beside their run and free upstreams.
	minSlackShare = 0.05
	// baseSettleStarts is the number of starts after which the average counts as
	// a start time of this process.
	baseSettleStarts = 60
	// baseGrowth is the factor by which the best start time grows with each update,
	// so that it follows a lasting change within a minute.
	baseGrowth = 1.002
	// shedUpdateInterval is the time between changes of the shed share. The
	// heartbeats that report the share take up to 0.4 s.
	shedUpdateInterval = 200 * time.Millisecond
	// shedIncrease and shedDecrease are the steps of the shed share, and
	// maxShedShare is its maximum. The share rises fast, because a scheduler that
	// falls behind serves no caller in time.
	shedIncrease = 0.08
	shedDecrease = 0.02
	maxShedShare = 0.8
	// idleDecay is the part by which the average start time approaches the best one with
	// each update in which nothing waits and nothing starts.
	idleDecay = 0.4
	// fastShedDecrease is the step down while the average start time is at most
	// half of the limit for shedding. With 0.02, a region took 10 s after a restart until it
	// served all jobs again.
	fastShedDecrease = 0.06
	// healthyRateShare is the share of the healthy start rate below which a process
	// counts as too slow.
	healthyRateShare = 0.8
	// healthyRateDecay is the factor by which the healthy start rate decays with
	// each update, so that an old rate loses its effect within a minute.
	healthyRateDecay = 0.997
	// startRateGain smooths the start rate over half a second.
	startRateGain = 0.4
)

// loadMonitor measures how fast this process schedules. From the duration and the
// rate of starts it derives the share of new jobs to shed, and whether the process
// is too slow to schedule.
type loadMonitor struct {
	// shedShare is the share of new jobs to shed.
	shedShare     float64
	shedUpdatedAt time.Time
	// isIdle is set while no job waits for a start.
	isIdle bool
	// starts counts the starts since shedUpdatedAt.
	starts int
	// startRate is the smoothed number of starts per second before shedUpdatedAt.
	startRate float64
	// healthyStartRate is the highest recent startRate at which the average start
	// time was below the limit for shedding.
	healthyStartRate float64

	schedulingSince  time.Time
	averageStartTime time.Duration
	// baseStartTime is the lowest recent averageStartTime; 0 if it is not known.
	baseStartTime time.Duration
	// totalStarts counts the starts up to baseSettleStarts.
	totalStarts int
	// slack is the time that the tightest kind of job has for everything but its
	// run; 0 if it is not known.
	slack time.Duration
	// slowSince is when the average rose above the limit of a slow process; zero
	// while it is below, and during the warm-up.
	slowSince time.Time
}

// recordStartTime records how long a successful start took.
func (loop *loop) recordStartTime(event cell.Event, sentAt time.Time) {
	startReplied, isStart := event.(cell.StartReplied)
	if !isStart || startReplied.Reply.Outcome != cell.OutcomeDone {
		return
	}
	loop.loadMonitor.recordStart(loop.now, loop.now.Sub(sentAt))
}

// shedStartTime returns the average start time above which the shed share rises.
func (loadMonitor *loadMonitor) shedStartTime() time.Duration {
	limit := baseFactor * loadMonitor.baseStartTime
	if loadMonitor.slack > 0 {
		limit = min(limit, time.Duration(maxSlackShare*float64(loadMonitor.slack)))
		limit = max(limit, time.Duration(minSlackShare*float64(loadMonitor.slack)))
	}
	return max(minShedStartTime, limit)
}

// slowStartTime returns the average start time that a scheduler exceeds only when it
// lacks processor time.
func (loadMonitor *loadMonitor) slowStartTime() time.Duration {
	return max(minSlowStartTime, 2*loadMonitor.shedStartTime())
}

// recordStart records a start and updates the average start time.
func (loadMonitor *loadMonitor) recordStart(now time.Time, startTime time.Duration) {
	loadMonitor.starts++
	loadMonitor.totalStarts = min(loadMonitor.totalStarts+1, baseSettleStarts)
	loadMonitor.averageStartTime += time.Duration(startTimeGain * float64(startTime-loadMonitor.averageStartTime))
	switch {
	case loadMonitor.averageStartTime < loadMonitor.slowStartTime() || now.Sub(loadMonitor.schedulingSince) < warmUpDuration:
		loadMonitor.slowSince = time.Time{}
	case loadMonitor.slowSince.IsZero():
		loadMonitor.slowSince = now
	}
}

// tooSlow reports whether the process is too slow to schedule. A process that
// still makes about as many starts as when it was healthy is not slow but
// overloaded, and another scheduler would do no better.
func (loadMonitor *loadMonitor) tooSlow(now time.Time) bool {
	return !loadMonitor.slowSince.IsZero() && now.Sub(loadMonitor.slowSince) >= slowDuration &&
		loadMonitor.startRate < healthyRateShare*loadMonitor.healthyStartRate
}

// yield steps down in favour of another process if this one is too slow.
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

// updateShedShare updates the start rates and the shed share.
func (loadMonitor *loadMonitor) updateShedShare(now time.Time) {
	elapsed := now.Sub(loadMonitor.shedUpdatedAt)
	if elapsed < shedUpdateInterval {
		return
	}
	if loadMonitor.isIdle && loadMonitor.starts == 0 {
		excess := loadMonitor.averageStartTime - loadMonitor.baseStartTime
		loadMonitor.averageStartTime -= time.Duration(idleDecay * float64(excess))
	}
	loadMonitor.startRate += startRateGain * (float64(loadMonitor.starts)/elapsed.Seconds() - loadMonitor.startRate)
	loadMonitor.starts = 0
	loadMonitor.shedUpdatedAt = now
	loadMonitor.healthyStartRate *= healthyRateDecay
	if loadMonitor.averageStartTime < loadMonitor.shedStartTime() {
		loadMonitor.healthyStartRate = max(loadMonitor.healthyStartRate, loadMonitor.startRate)
	}
	loadMonitor.updateBase()
	limit := loadMonitor.shedStartTime()
	switch {
	case loadMonitor.averageStartTime > limit:
		loadMonitor.shedShare = min(loadMonitor.shedShare+shedIncrease, maxShedShare)
	case loadMonitor.averageStartTime > limit/2:
		loadMonitor.shedShare = max(loadMonitor.shedShare-shedDecrease, 0)
	default:
		loadMonitor.shedShare = max(loadMonitor.shedShare-fastShedDecrease, 0)
	}
}

// updateBase follows the lowest average start time.
func (loadMonitor *loadMonitor) updateBase() {
	if loadMonitor.totalStarts < baseSettleStarts {
		return
	}
	grown := time.Duration(baseGrowth * float64(loadMonitor.baseStartTime))
	if loadMonitor.baseStartTime == 0 || loadMonitor.averageStartTime < grown {
		grown = loadMonitor.averageStartTime
	}
	loadMonitor.baseStartTime = grown
}
