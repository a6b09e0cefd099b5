package placement

import (
	"math"
	"time"
)

// tune holds the parameters of Target: soft is the multiple of the ideal for
// which the slowest idle slot is chosen, alpha and beta weigh the work and the
// ideal of a job against its age, and step is the ratio of successive targets.
var tune = struct{ soft, alpha, beta, step float64 }{
	soft:  1.05,
	alpha: 5,
	beta:  1,
	step:  1.1,
}

const (
	defaultTheta = 1.2
	// unfitRecheck is when a job is looked at again whose next task fits no
	// open upstream. The wait must be short: slots may be borrowed meanwhile.
	unfitRecheck = 100 * time.Millisecond
)

func (target Target) theta() float64 {
	if target.Theta < 1 {
		return defaultTheta
	}
	return target.Theta
}

var epoch = time.Unix(0, 0)

// aim sets a job's target to a multiple of its ideal.
func (scheduler *Scheduler) aim(held *entry, theta float64) {
	held.theta = theta
	held.target = held.job.Arrival.Add(time.Duration(theta * float64(held.ideal)))
	if held.expectedEnd.After(held.target) {
		held.target = held.expectedEnd
	}
}

func (scheduler *Scheduler) targetKey(held *entry) float64 {
	key := toMs(held.job.Arrival.Sub(epoch))
	key += tune.beta * toMs(held.ideal)
	key += tune.alpha * held.workMs / max(scheduler.index.totalSpeed, slowest)
	if !held.job.Deadline.IsZero() {
		key = min(key, toMs(held.job.Deadline.Sub(epoch))-2*toMs(held.ideal))
	}
	return key
}

// classFor returns the class of the slowest upstream on which the longest task
// of a group meets the job's target if it starts now.
func (scheduler *Scheduler) classFor(group *group) int {
	if _, yes := scheduler.policy.(Target); !yes {
		return 0
	}
	return scheduler.classToEnd(group, group.entry.target)
}

func (scheduler *Scheduler) classToEnd(group *group, end time.Time) int {
	leftMs := toMs(end.Sub(scheduler.now))
	if leftMs <= 0 {
		return classCount - 1
	}
	workMs := scheduler.estimator.WorkMs(group.entry.job.Kind, group.tasks[0].DeclaredMs)
	return classOf(workMs / leftMs)
}

// choose returns the upstream for the first task of a group, or nil.
func (scheduler *Scheduler) choose(group *group) *host {
	switch policy := scheduler.policy.(type) {
	case Target:
		held := group.entry
		soft := held.job.Arrival.Add(time.Duration(tune.soft * float64(held.ideal)))
		if held.expectedEnd.After(soft) {
			soft = held.expectedEnd
		}
		if chosen := scheduler.index.slowestIdle(scheduler.classToEnd(group, soft), group.need); chosen != nil {
			return chosen
		}
		return scheduler.index.fastestIdle(group.need)
	case Greedy:
		return scheduler.index.fastestIdle(group.need)
	case Random:
		return scheduler.randomIdle(group.need)
	case RoundRobin:
		return scheduler.nextIdle(group.need)
	case LeastLoaded:
		return scheduler.leastLoaded(group.need, time.Duration(policy.ViewAgeMs)*time.Millisecond)
	case TwoChoices:
		return scheduler.twoChoices(group.need)
	}
	return nil
}

func (scheduler *Scheduler) placedByTarget(held *entry, group *group, started *running) {
	if started.end.After(held.expectedEnd) {
		held.expectedEnd = started.end
		if started.end.After(held.target) {
			held.target = started.end
			scheduler.refile(held)
		}
	}
	if len(held.groups) == 0 || len(group.tasks) == 0 {
		scheduler.setTimer(held)
	}
}

// relaxTime returns the time from which the longest waiting task of a job
// can't meet the target even on the fastest upstream.
func (scheduler *Scheduler) relaxTime(held *entry) time.Time {
	longest := held.groups[0]
	workMs := scheduler.estimator.WorkMs(held.job.Kind, longest.tasks[0].DeclaredMs)
	speed := scheduler.index.topSpeedFor(longest.need)
	if speed == 0 {
		return scheduler.now.Add(unfitRecheck)
	}
	return held.target.Add(-milliseconds(workMs / speed))
}

func (scheduler *Scheduler) relaxTarget(held *entry) {
	for {
		scheduler.aim(held, held.theta*tune.step)
		if scheduler.relaxTime(held).After(scheduler.now) || held.theta > math.MaxInt16 {
			return
		}
	}
}
