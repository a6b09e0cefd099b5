package placement

import (
	"math"
	"time"
)

const (
	// defaultTheta is a compromise between the p99 and the mean of the response
	// time over the ideal. At 80% load and a 4x spread of speeds, 1.2 gave a p99
	// of 1.55 instead of 1.43, and 1.4 gave a mean of 1.12 instead of 1.11.
	defaultTheta = 1.3
	// thetaRelaxRatio is the ratio of the successive values of a job's theta. At
	// 80% load, 1.1 gave a p99 of 1.76 and 2 gave a p99 of 2.19, instead of 1.58.
	thetaRelaxRatio = 1.3
	// softTargetTheta is the soft target as a multiple of the ideal. A task is
	// placed on the slowest idle slot that meets the soft target, or else on the
	// fastest one. At 30% load the p50 follows it: 1.2 gave a p50 of 1.22 instead
	// of 1.03.
	softTargetTheta = 1.01
	// workWeight is the time by which a job's sort key is moved back for each
	// unit of time that the total capacity needs for the job's work, so that
	// small jobs go before large ones. With 20, large jobs delayed the small ones
	// behind them at 95% load.
	workWeight = 5000
	// totalWorkShare is the share of a job's total work in the work that
	// workWeight applies to; the rest is its remaining work. It keeps large jobs
	// back a little longer, which lowers the p99 with equal speeds; 0.3 raised
	// the p99.9 of large jobs.
	totalWorkShare = 0.1
	// sortKeyUpdateShare is the ratio of the remaining work to that at the last
	// update below which a job's sort keys are updated.
	sortKeyUpdateShare = 0.8
	// urgentAge is the age at which a job without a deadline becomes urgent.
	urgentAge = time.Minute
	// urgentIdealMultiple is the time before its deadline, in multiples of the
	// ideal, at which a job becomes urgent.
	urgentIdealMultiple = 2
	// urgentKeyOffset, in milliseconds, is subtracted from the sort keys of
	// urgent jobs. It exceeds the sort key of any job.
	urgentKeyOffset = 1e15
	// noFitRecheckInterval is the time until a job is reevaluated whose next task
	// exceeds the capacity of every open upstream. It is short because slots may
	// be borrowed in the meantime.
	noFitRecheckInterval = 100 * time.Millisecond
	// reservedSpeedShare is the speed, as a share of the highest one, at and
	// above which upstreams are reserved for tasks that need them.
	reservedSpeedShare = 0.7
	// reservedNeedRatio is the largest ratio of the lowest reserved speed to the
	// speed that a task needs at which the task may use reserved upstreams.
	reservedNeedRatio = 2
	// reservedIdleShare is the share of idle slots at and above which no
	// upstreams are reserved.
	reservedIdleShare = 0.1
	// shortQueueLimit is the waiting work, as the time that the total capacity
	// needs for it, at and above which no upstreams are reserved and deadlines
	// make no job urgent.
	shortQueueLimit = 500 * time.Millisecond
	// urgencyRecheckInterval is the time until the urgency of a job is reevaluated
	// that wasn't made urgent because of the length of the queue.
	urgencyRecheckInterval = 100 * time.Millisecond
)

// theta returns the multiple of the ideal that a job's first target is.
func (target Target) theta() float64 {
	if target.Theta < 1 {
		return defaultTheta
	}
	return target.Theta
}

// epoch is the origin of the sort keys of Target.
var epoch = time.Unix(0, 0)

// setTarget sets a job's target to theta times its ideal, or to the expected end of
// its placed tasks if that is later.
func (scheduler *Scheduler) setTarget(job *jobState, theta float64) {
	job.theta = theta
	job.target = job.submitted.Arrival.Add(time.Duration(theta * float64(job.ideal)))
	if job.expectedEnd.After(job.target) {
		job.target = job.expectedEnd
	}
}

// setTargetSortKeys orders jobs by their arrival plus a delay that grows with their
// work. Urgent jobs go before all others, in the order in which they became urgent.
func (scheduler *Scheduler) setTargetSortKeys(job *jobState) {
	workMs := totalWorkShare*job.workMs + (1-totalWorkShare)*job.remainingMs
	key := toMs(job.submitted.Arrival.Sub(epoch)) + toMs(job.ideal)
	key += workWeight * workMs / max(scheduler.index.totalSpeed, minClassSpeed)
	if job.urgent {
		key = toMs(job.urgentAt.Sub(epoch)) - urgentKeyOffset
	}
	for _, group := range job.groups {
		group.sortKey = key
	}
}

// urgentTime returns the time at which a job becomes urgent, that is, goes before
// the jobs of its team and priority that aren't. Until a deadline is at risk, only
// the response times count.
func urgentTime(job *jobState) time.Time {
	if job.submitted.Deadline.IsZero() {
		return job.submitted.Arrival.Add(urgentAge)
	}
	return job.submitted.Deadline.Add(-urgentIdealMultiple * job.ideal)
}

// minClassFor returns the class of the slowest upstream on which the longest task
// of a group meets the job's target if it starts now.
func (scheduler *Scheduler) minClassFor(group *group) int {
	if _, ok := scheduler.policy.(Target); !ok {
		return 0
	}
	return scheduler.minClassToEndBy(group, group.job.target)
}

// minClassToEndBy returns the class of the slowest upstream on which the longest
// task of a group ends by the given time if it starts now, or the highest class if
// that time has passed.
func (scheduler *Scheduler) minClassToEndBy(group *group, end time.Time) int {
	remainingMs := toMs(end.Sub(scheduler.now))
	if remainingMs <= 0 {
		return classCount - 1
	}
	workMs := scheduler.estimator.WorkMs(group.job.submitted.Kind, group.tasks[0].DeclaredMs)
	return speedClassOf(workMs / remainingMs)
}

// chooseUpstream returns an upstream for the first task of a group, of at most
// maxClass under the policies Target and Greedy, or nil if none is available.
func (scheduler *Scheduler) chooseUpstream(group *group, maxClass int) *upstreamState {
	switch policy := scheduler.policy.(type) {
	case Target:
		job := group.job
		softTarget := job.submitted.Arrival.Add(time.Duration(softTargetTheta * float64(job.ideal)))
		if job.expectedEnd.After(softTarget) {
			softTarget = job.expectedEnd
		}
		upstream := scheduler.index.slowestIdle(scheduler.minClassToEndBy(group, softTarget), group.need)
		if upstream != nil && upstream.class <= maxClass {
			return upstream
		}
		return scheduler.index.fastestIdle(maxClass, group.need)
	case Greedy:
		return scheduler.index.fastestIdle(maxClass, group.need)
	case Random:
		return scheduler.randomIdle(group.need)
	case RoundRobin:
		return scheduler.nextIdleInTurn(group.need)
	case LeastLoaded:
		return scheduler.leastLoaded(group.need, time.Duration(policy.ViewAgeMs)*time.Millisecond)
	case TwoChoices:
		return scheduler.twoChoices(group.need)
	}
	return nil
}

// updateTargetAfterPlacement moves a job's target to the expected end of a task that
// was placed, if that is later, and updates the job's sort keys and timer if needed.
func (scheduler *Scheduler) updateTargetAfterPlacement(job *jobState, group *group, run *runningTask) {
	if run.expectedEnd.After(job.expectedEnd) {
		job.expectedEnd = run.expectedEnd
		if run.expectedEnd.After(job.target) {
			job.target = run.expectedEnd
			scheduler.requeueGroups(job)
		}
	}
	if job.remainingMs < sortKeyUpdateShare*job.sortKeyWorkMs {
		scheduler.updateSortKeys(job)
	}
	if len(job.groups) == 0 || len(group.tasks) == 0 {
		scheduler.updateTimer(job)
	}
}

// reservesFastUpstreams reports whether the fastest upstreams are reserved for the
// tasks that need them.
func (scheduler *Scheduler) reservesFastUpstreams() bool {
	if _, ok := scheduler.policy.(Target); !ok {
		return false
	}
	index := scheduler.index
	return 2*index.reservedSlots <= index.slots &&
		float64(index.idleSlots) < reservedIdleShare*float64(index.slots) &&
		scheduler.queueIsShort()
}

// queueIsShort reports whether the waiting work is below shortQueueLimit.
func (scheduler *Scheduler) queueIsShort() bool {
	return scheduler.waitingMs < toMs(shortQueueLimit)*scheduler.index.totalSpeed
}

// minClassForReserved returns the lowest class of groups that may use the reserved
// upstreams.
func (scheduler *Scheduler) minClassForReserved() int {
	return max(0, scheduler.index.reservedClass+1-int(math.Log(reservedNeedRatio)*classesPerLogSpeed))
}

// latestStart returns the latest time at which the longest waiting task of a job can
// start on the fastest upstream and meet the target. If no open upstream has the
// capacity for the task, it returns the time of the next check.
func (scheduler *Scheduler) latestStart(job *jobState) time.Time {
	longestGroup := job.groups[0]
	workMs := scheduler.estimator.WorkMs(job.submitted.Kind, longestGroup.tasks[0].DeclaredMs)
	speed := scheduler.index.topSpeedWithCapacity(longestGroup.need)
	if speed == 0 {
		return scheduler.now.Add(noFitRecheckInterval)
	}
	return job.target.Add(-milliseconds(workMs / speed))
}

// reservedAccessTime returns the next time at which a group of a job may start to use
// the reserved upstreams, or the limit if that is earlier.
func (scheduler *Scheduler) reservedAccessTime(job *jobState, limit time.Time) time.Time {
	index := scheduler.index
	if 2*index.reservedSlots > index.slots {
		return limit
	}
	class := scheduler.minClassForReserved()
	speed := index.topSpeed * reservedSpeedShare / reservedNeedRatio
	for _, group := range job.groups {
		if group.class >= class {
			continue
		}
		workMs := scheduler.estimator.WorkMs(job.submitted.Kind, group.tasks[0].DeclaredMs)
		// The factor 0.97 puts the time a little late, so that the group is in an
		// eligible class by then despite the rounding to classes.
		accessAt := job.target.Add(-milliseconds(0.97 * workMs / speed))
		if !accessAt.After(scheduler.now) {
			continue
		}
		if accessAt.Before(limit) {
			return accessAt
		}
		return limit
	}
	return limit
}

// relaxTarget increases a job's theta until the target can be met again.
func (scheduler *Scheduler) relaxTarget(job *jobState) {
	for {
		scheduler.setTarget(job, job.theta*thetaRelaxRatio)
		if scheduler.latestStart(job).After(scheduler.now) || job.theta > math.MaxInt16 {
			return
		}
	}
}
