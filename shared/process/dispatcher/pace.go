package dispatcher

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerfall/shared/process/logevent"
	"tanagerfall/shared/request/cell"
)

const (
	// paceGain is the weight of one order in the average.
	paceGain = 0.05
	// slowPace is the time from the decision on a start to its answer that a
	// scheduler exceeds only when it lacks processor time. It takes 3 to 6 ms
	// on a sound VM, and tens of ms for a moment when many starts are due.
	slowPace = 40 * time.Millisecond
	// slowFor is how long the average must stay above slowPace.
	slowFor = 400 * time.Millisecond
	// warmUp is the time after the start of a scheduler in which its pace does
	// not make it yield: it opens connections to all upstreams and takes over
	// all jobs at once, which is slow on any VM.
	warmUp = 5 * time.Second
)

const (
	// fullPace is the time of a start from which the scheduler takes fewer
	// jobs. It lies between that of a sound VM and slowPace.
	fullPace = 20 * time.Millisecond
	// turnEvery spaces the changes of the share that is turned away: the
	// heartbeats that tell it take up to 0.4 s.
	turnEvery = 200 * time.Millisecond
	// turnUp and turnDown are the steps of that share, and maxTurned bounds it.
	// It rises fast, since a scheduler that falls behind serves nobody.
	turnUp    = 0.08
	turnDown  = 0.02
	maxTurned = 0.8
	// turnDownFast is the step down while a start takes less than half of
	// fullPace. At 0.02 a region took 10 s to serve all again after a restart.
	turnDownFast = 0.06
	// soundShare is the share of the rate at which a process kept up below
	// which it counts as slow, soundDecay forgets that rate within a minute, and
	// rateGain smooths the rate over half a second.
	soundShare = 0.8
	soundDecay = 0.997
	rateGain   = 0.4
)

// pace is how fast this process schedules.
type pace struct {
	// turned is the share of new jobs that is turned away.
	turned   float64
	turnedAt time.Time
	// starts counts those since turnedAt, rate is that of the time before, and
	// soundRate the highest lately at which the process kept up.
	starts    int
	rate      float64
	soundRate float64

	since   time.Time
	average time.Duration
	// slowSince is when the average rose above slowPace; zero while it is
	// below.
	slowSince time.Time
}

// measure takes note of how long a start took.
func (loop *loop) measure(event cell.Event, began time.Time) {
	started, isStart := event.(cell.StartReplied)
	if !isStart || started.Reply.Outcome != cell.OutcomeDone {
		return
	}
	loop.pace.add(loop.now, loop.now.Sub(began))
}

func (pace *pace) add(now time.Time, took time.Duration) {
	pace.starts++
	pace.average += time.Duration(paceGain * float64(took-pace.average))
	switch {
	case pace.average < slowPace || now.Sub(pace.since) < warmUp:
		pace.slowSince = time.Time{}
	case pace.slowSince.IsZero():
		pace.slowSince = now
	}
}

// slow reports whether the process is too slow to schedule. One that makes as
// many starts as ever is not slow: it has more to do than it can.
func (pace *pace) slow(now time.Time) bool {
	return !pace.slowSince.IsZero() && now.Sub(pace.slowSince) >= slowFor &&
		pace.rate < soundShare*pace.soundRate
}

// yield leaves the scheduling to another process while this one is slow.
func (loop *loop) yield() {
	if loop.cell == nil || !loop.pace.slow(loop.now) || !loop.view.CanYield() {
		return
	}
	loop.log(logevent.SchedulerSlow, "average", loop.pace.average)
	loop.standDown("too slow")
	loop.view.Abstain(yieldFor)
	loop.beatAll(false)
	loop.elect()
}

// turn brings the share of new jobs that is turned away up to date.
func (pace *pace) turn(now time.Time) {
	elapsed := now.Sub(pace.turnedAt)
	if elapsed < turnEvery {
		return
	}
	pace.rate += rateGain * (float64(pace.starts)/elapsed.Seconds() - pace.rate)
	pace.starts = 0
	pace.turnedAt = now
	pace.soundRate *= soundDecay
	if pace.average < fullPace {
		pace.soundRate = max(pace.soundRate, pace.rate)
	}
	switch {
	case pace.average > fullPace:
		pace.turned = min(pace.turned+turnUp, maxTurned)
	case pace.average > fullPace/2:
		pace.turned = max(pace.turned-turnDown, 0)
	default:
		pace.turned = max(pace.turned-turnDownFast, 0)
	}
}

// turnsAway reports whether a job is among the share that is turned away. The
// same job always is or is not.
func turnsAway(id string, share float64) bool {
	return share > 0 && float64(xxhash.Sum64String(id)>>11)/(1<<53) < share
}
