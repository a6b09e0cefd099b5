package dispatcher

import (
	"time"

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
	// warmUp is the time after the start of a scheduler in which its pace
	// says nothing, because all upstreams are taken over at once.
	warmUp = time.Second
)

// pace is how fast this process schedules.
type pace struct {
	since   time.Time
	average time.Duration
	// slowSince is when the average rose above slowPace; zero while it is
	// below.
	slowSince time.Time
}

// measure takes note of how long a start took.
func (loop *loop) measure(event replied) {
	started, isStart := event.event.(cell.StartReplied)
	if !isStart || started.Reply.Outcome != cell.OutcomeDone {
		return
	}
	loop.pace.add(loop.now, loop.now.Sub(event.began))
}

func (pace *pace) add(now time.Time, took time.Duration) {
	pace.average += time.Duration(paceGain * float64(took-pace.average))
	switch {
	case pace.average < slowPace || now.Sub(pace.since) < warmUp:
		pace.slowSince = time.Time{}
	case pace.slowSince.IsZero():
		pace.slowSince = now
	}
}

// slow reports whether the process is too slow to schedule.
func (pace *pace) slow(now time.Time) bool {
	return !pace.slowSince.IsZero() && now.Sub(pace.slowSince) >= slowFor
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
