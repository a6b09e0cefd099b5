package placement

import (
	"math"
	"time"
)

const (
	// defaultTheta weighs p99 against mean. At 80% load and a 4x spread 1.2 gave
	// a p99 of 1.55 in place of 1.43, and 1.4 a mean of 1.12 in place of 1.11.
	defaultTheta = 1.3
	// thetaStep is the ratio of a job's successive targets. At 80% load 1.1 gave
	// a p99 of 1.76 and 2 one of 2.19, in place of 1.58.
	thetaStep = 1.3
	// softTheta is the multiple of the ideal by which a task's slot is chosen:
	// the slowest idle one that still meets it, or else the fastest. At 30%
	// load the p50 follows it: 1.2 gave a p50 of 1.22 in place of 1.03.
	softTheta = 1.01
	// workWeight is the age, per time that the whole capacity needs for a
	// job's work, by which a job falls behind smaller ones. At 20, large jobs
	// delayed the small ones behind them at 95% load.
	workWeight = 5000
	// wholeShare is the share of a job's whole work, as against its remaining
	// work, in that weight. It keeps large jobs back a little longer, which
	// lowers the p99 at equal speeds; at 0.3 it raised their p99.9.
	wholeShare = 0.1
	// rekeyShare is the fall of the remaining work at which a job's place in
	// the queues is computed anew.
	rekeyShare = 0.8
	// maxDelay is the age from which a job without a deadline is urgent.
	maxDelay = time.Minute
	// urgentIdeals is the time before its deadline, in multiples of the ideal,
	// from which a job is urgent.
	urgentIdeals = 2
	// urgentLead is taken off the keys of urgent jobs. It exceeds the key of
	// any job.
	urgentLead = 1e15
	// unfitRecheck is when a job is looked at again whose next task fits no
	// open upstream. The wait must be short: slots may be borrowed meanwhile.
	unfitRecheck = 100 * time.Millisecond
	// reservedSpeed is the speed, as a share of the highest, from which
	// upstreams are reserved for tasks that need them.
	reservedSpeed = 0.7
	// reservedNeed is the ratio of a reserved upstream's speed to the speed
	// that a task needs up to which the task may use it.
	reservedNeed = 2
	// reservedIdle is the share of idle slots from which nothing is reserved.
	reservedIdle = 0.1
	// queueLimit is the waiting work, as time of the whole capacity, from which
	// nothing is reserved and no deadline makes a job urgent.
	queueLimit = 500 * time.Millisecond
	// urgentRecheck is when a job is looked at again that was not made urgent.
	urgentRecheck = 100 * time.Millisecond
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

// setTargetKeys orders a job by its arrival plus an age for its work, and a
// job that became urgent before the others, by the time at which it did.
func (scheduler *Scheduler) setTargetKeys(held *entry) {
	workMs := wholeShare*held.workMs + (1-wholeShare)*held.remainingMs
	key := toMs(held.job.Arrival.Sub(epoch)) + toMs(held.ideal)
	key += workWeight * workMs / max(scheduler.index.totalSpeed, slowest)
	if held.urgent {
		key = toMs(held.urgentAt.Sub(epoch)) - urgentLead
	}
	for _, group := range held.groups {
		group.key = key
	}
}

// urgentTime returns the time from which a job goes before all others of its
// team and priority. Until a deadline is at risk the response times alone
// decide.
func urgentTime(held *entry) time.Time {
	if held.job.Deadline.IsZero() {
		return held.job.Arrival.Add(maxDelay)
	}
	return held.job.Deadline.Add(-urgentIdeals * held.ideal)
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
func (scheduler *Scheduler) choose(group *group, class int) *host {
	switch policy := scheduler.policy.(type) {
	case Target:
		held := group.entry
		soft := held.job.Arrival.Add(time.Duration(softTheta * float64(held.ideal)))
		if held.expectedEnd.After(soft) {
			soft = held.expectedEnd
		}
		chosen := scheduler.index.slowestIdle(scheduler.classToEnd(group, soft), group.need)
		if chosen != nil && chosen.class <= class {
			return chosen
		}
		return scheduler.index.fastestIdle(class, group.need)
	case Greedy:
		return scheduler.index.fastestIdle(class, group.need)
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
	if held.remainingMs < rekeyShare*held.keyedMs {
		scheduler.rekey(held)
	}
	if len(held.groups) == 0 || len(group.tasks) == 0 {
		scheduler.setTimer(held)
	}
}

// reserving reports whether the fastest upstreams are kept for the tasks that
// need them.
func (scheduler *Scheduler) reserving() bool {
	if _, yes := scheduler.policy.(Target); !yes {
		return false
	}
	index := scheduler.index
	return 2*index.reservedSlots <= index.slots &&
		float64(index.idle) < reservedIdle*float64(index.slots) &&
		scheduler.shortQueue()
}

func (scheduler *Scheduler) shortQueue() bool {
	return scheduler.waitingMs < toMs(queueLimit)*scheduler.index.totalSpeed
}

// eligibleClass returns the lowest class of groups that may use the reserved
// upstreams.
func (scheduler *Scheduler) eligibleClass() int {
	return max(0, scheduler.index.reservedClass+1-int(math.Log(reservedNeed)*classScale))
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

// eligibleTime returns the time at which the next group of a job may use the
// reserved upstreams, if that is before the limit, or else the limit.
func (scheduler *Scheduler) eligibleTime(held *entry, limit time.Time) time.Time {
	index := scheduler.index
	if 2*index.reservedSlots > index.slots {
		return limit
	}
	class := scheduler.eligibleClass()
	speed := index.topSpeed * reservedSpeed / reservedNeed
	for _, group := range held.groups {
		if group.class >= class {
			continue
		}
		workMs := scheduler.estimator.WorkMs(held.job.Kind, group.tasks[0].DeclaredMs)
		at := held.target.Add(-milliseconds(0.97 * workMs / speed))
		if !at.After(scheduler.now) {
			continue
		}
		if at.Before(limit) {
			return at
		}
		return limit
	}
	return limit
}

func (scheduler *Scheduler) relaxTarget(held *entry) {
	for {
		scheduler.aim(held, held.theta*thetaStep)
		if scheduler.relaxTime(held).After(scheduler.now) || held.theta > math.MaxInt16 {
			return
		}
	}
}
