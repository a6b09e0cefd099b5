package placement

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"tanagerfall/shared/request/estimate"
	"tanagerfall/shared/request/submission"
)

// Upstream describes an upstream whose slots this entry VM may use.
//
// Slots, Cores, MemoryMb (in megabytes) and Accelerators are its total capacity.
// Speed is its declared speed relative to the reference speed 1. Domain is its
// failure domain and Rack its rack.
type Upstream struct {
	ID           string  `cbor:"1,keyasint" json:"id"`
	Domain       string  `cbor:"2,keyasint" json:"failure-domain"`
	Rack         string  `cbor:"3,keyasint" json:"rack"`
	Slots        int     `cbor:"4,keyasint" json:"slots"`
	Cores        int     `cbor:"5,keyasint" json:"cores"`
	MemoryMb     int     `cbor:"6,keyasint" json:"memory-mb"`
	Accelerators int     `cbor:"7,keyasint" json:"accelerators"`
	Speed        float64 `cbor:"8,keyasint" json:"speed"`
}

// Need is the amount of each resource that a task occupies while it runs, besides
// one slot. MemoryMb is in megabytes.
type Need struct {
	Cores        int
	MemoryMb     int
	Accelerators int
}

// Job holds what the scheduler needs to know of a job. Key identifies the job in
// all calls.
type Job struct {
	Key     submission.Key
	Team    string
	Kind    string
	Arrival time.Time
	// Deadline is the time by which the whole job must have ended. The zero
	// time stands for no deadline.
	Deadline time.Time
	// Priority orders the jobs of one team; higher values go first.
	Priority int
	Tasks    []Task
}

// Task holds what the scheduler needs to know of a task. Index is its position in
// the job.
type Task struct {
	Index int
	// DeclaredMs is the declared run time in milliseconds on an upstream of
	// speed 1.
	DeclaredMs float64
	Need       Need
}

// Assignment is the placement of one task, given by its job's Key and its Index, on
// a slot of an upstream, given by its ID. The slot stays occupied until Finish or
// Release.
type Assignment struct {
	Key      submission.Key
	Index    int
	Upstream string
	// ExpectedMs is the predicted run time in milliseconds.
	ExpectedMs float64
}

// Scheduler holds the waiting tasks and the upstreams and places tasks on idle
// slots. It is not safe for concurrent use.
type Scheduler struct {
	policy    Policy
	estimator *estimate.Estimator
	random    *rand.Rand
	index     *slotIndex
	jobs      map[submission.Key]*jobState
	teams     map[string]*teamState
	queues    classQueues
	timers    timerHeap
	// blocked holds, by the resources that their tasks need, the groups for
	// which Next found no suitable upstream with these resources available.
	blocked map[resources]*groupHeap
	// waitingTasks is the number of waiting tasks and waitingMs is their estimated
	// work in milliseconds on an upstream of speed 1.
	waitingTasks int
	waitingMs    float64
	// arrivals is the number of jobs so far. It orders the jobs under the
	// policies that place tasks in order of arrival.
	arrivals int
	// nextRoundRobinLeaf is the leaf at which RoundRobin continues.
	nextRoundRobinLeaf int
	// viewedAt is when LeastLoaded refreshed its view.
	viewedAt time.Time
	// now is the time of the last call that passed it in.
	now time.Time
}

// runningTask is a task that occupies a slot.
type runningTask struct {
	// job is nil for a task that was registered by Occupy.
	job         *jobState
	index       int
	need        resources
	expectedEnd time.Time
}

// Stats summarizes the scheduler for the state dump. WaitingWorkMs is the
// estimated work in milliseconds on an upstream of speed 1. Slots, IdleSlots and
// TotalSpeed (the sum of slots times speed) cover the open upstreams.
type Stats struct {
	WaitingJobs   int     `json:"waiting-jobs"`
	WaitingTasks  int     `json:"waiting-tasks"`
	WaitingWorkMs float64 `json:"waiting-work-ms"`
	Upstreams     int     `json:"upstreams"`
	OpenUpstreams int     `json:"open-upstreams"`
	Slots         int     `json:"slots"`
	IdleSlots     int     `json:"idle-slots"`
	RunningTasks  int     `json:"running-tasks"`
	TotalSpeed    float64 `json:"total-speed"`
}

// New returns a Scheduler without jobs and upstreams. It sets the declared speeds
// of its upstreams in the estimator and removes them there; random is used by the
// policies Random and TwoChoices.
func New(policy Policy, estimator *estimate.Estimator, random *rand.Rand) *Scheduler {
	return &Scheduler{
		policy:    policy,
		estimator: estimator,
		random:    random,
		index:     newSlotIndex(),
		jobs:      make(map[submission.Key]*jobState),
		teams:     make(map[string]*teamState),
		queues:    newClassQueues(),
		blocked:   make(map[resources]*groupHeap),
	}
}

// NoSlots is the value of slotCap for which SetTeam allows a team no slot at all.
const NoSlots = -1

// TeamStats holds the number of running and of waiting tasks of one team.
type TeamStats struct {
	Running int
	Waiting int
}

// TeamStats returns the counts of a team. They are zero for an unknown team.
func (scheduler *Scheduler) TeamStats(name string) TeamStats {
	team, exists := scheduler.teams[name]
	if !exists {
		return TeamStats{}
	}
	return TeamStats{
		Running: team.usedSlots,
		Waiting: team.waitingTasks,
	}
}

// SetTeam sets the weight of a team in the fair queue and the largest number of
// slots that it may hold at a time. A slotCap of 0 sets no limit and NoSlots allows
// none. A weight that is not positive counts as 1. A team that was never set has
// weight 1 and no limit.
func (scheduler *Scheduler) SetTeam(name string, weight float64, slotCap int) {
	team := scheduler.teamOf(name)
	team.weight = weight
	if weight <= 0 {
		team.weight = 1
	}
	team.maxSlots = slotCap
	scheduler.unblockTeam(team)
}

// teamOf returns the state of a team and creates it for an unknown team.
func (scheduler *Scheduler) teamOf(name string) *teamState {
	team, exists := scheduler.teams[name]
	if !exists {
		team = &teamState{
			weight: 1,
		}
		scheduler.teams[name] = team
	}
	return team
}

// Waiting returns the number of waiting tasks.
func (scheduler *Scheduler) Waiting() int {
	return scheduler.waitingTasks
}

// Stats returns a summary for the state dump. It costs O(upstreams + jobs).
func (scheduler *Scheduler) Stats() Stats {
	index := scheduler.index
	index.refresh(scheduler.now, scheduler.estimator)
	stats := Stats{
		WaitingTasks:  scheduler.waitingTasks,
		WaitingWorkMs: scheduler.waitingMs,
		Upstreams:     len(index.upstreams),
		OpenUpstreams: index.openUpstreams,
		Slots:         index.slots,
		IdleSlots:     index.idleSlots,
		TotalSpeed:    index.totalSpeed,
	}
	for _, upstream := range index.upstreams {
		stats.RunningTasks += len(upstream.running)
	}
	for _, job := range scheduler.jobs {
		if job.waitingTasks > 0 {
			stats.WaitingJobs++
		}
	}
	return stats
}

// Predict returns the time at which a job would end if it were enqueued now, given
// the waiting work and the total speed of the slots. It returns a time 24 hours away
// if no open upstream has the capacity for one of the job's tasks. Beyond the sum
// over the job's tasks it costs O(1).
func (scheduler *Scheduler) Predict(now time.Time, job Job) time.Time {
	scheduler.now = now
	scheduler.index.refresh(now, scheduler.estimator)
	index := scheduler.index
	workMs, longestMs, topSpeed := 0.0, 0.0, 0.0
	var need Need
	for i, task := range job.Tasks {
		if i == 0 || task.Need != need {
			need = task.Need
			topSpeed = index.topSpeedWithCapacity(resourcesFor(need))
		}
		if topSpeed == 0 {
			return now.Add(noFitWait)
		}
		workMs += task.DeclaredMs
		longestMs = max(longestMs, task.DeclaredMs/topSpeed)
	}
	if index.totalSpeed == 0 {
		return now.Add(noFitWait)
	}
	ratio := scheduler.estimator.WorkMs(job.Kind, 1)
	queueMs := scheduler.waitingMs / index.totalSpeed
	runMs := ratio * max(longestMs, workMs/index.totalSpeed)
	return now.Add(milliseconds(queueMs + runMs + roundTripMs))
}

const (
	// noFitWait is the predicted response time if no open upstream has the
	// capacity for a task.
	noFitWait = 24 * time.Hour
	// roundTripMs is the network round trip that the ideal response time
	// includes.
	roundTripMs = 1
	// unblockedPerRelease is the number of blocked groups that are queued again
	// for each slot that becomes free. It is more than 1 because the first group
	// may need a faster slot than the free one.
	unblockedPerRelease = 2
)

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

func toMs(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

// Next places one waiting task, or reports false if none can be placed now. After
// each change and at the time that Wake returns, the caller calls it until it
// reports false.
func (scheduler *Scheduler) Next(now time.Time) (Assignment, bool) {
	scheduler.now = now
	if scheduler.waitingTasks == 0 {
		return Assignment{}, false
	}
	scheduler.index.refresh(now, scheduler.estimator)
	if scheduler.index.highestIdleClass(classCount-1) < 0 {
		return Assignment{}, false
	}
	scheduler.handleDueTimers(now)
	for {
		group, class := scheduler.nextGroup()
		if group == nil {
			return Assignment{}, false
		}
		job := group.job
		if scheduler.requeueIfMoved(group) {
			continue
		}
		if job.team.atCap() {
			scheduler.dequeueGroup(group)
			job.team.blocked.push(group)
			continue
		}
		upstream := scheduler.chooseUpstream(group, class)
		if upstream == nil {
			scheduler.dequeueGroup(group)
			scheduler.blockedFor(group.need).push(group)
			continue
		}
		return scheduler.assign(group, upstream), true
	}
}

// nextGroup returns the first group, in the order of before, among those that an
// idle slot is fast enough for, and the highest speed class that the group may use.
// It returns nil if there is no such group.
func (scheduler *Scheduler) nextGroup() (*group, int) {
	top := classCount - 1
	idle := scheduler.index.highestIdleClass(top)
	if idle < 0 {
		return nil, 0
	}
	if !scheduler.reservesFastUpstreams() {
		return scheduler.queues.best(0, idle), top
	}
	// Groups below the lowest class that may use the reserved upstreams are
	// limited to the other upstreams.
	unreservedClass := scheduler.index.reservedClass
	eligible := scheduler.minClassForReserved()
	best, class := scheduler.queues.best(eligible, idle), top
	if other := scheduler.index.highestIdleClass(unreservedClass); other >= 0 {
		if unreserved := scheduler.queues.best(0, min(other, eligible-1)); unreserved != nil && (best == nil || unreserved.before(best)) {
			best, class = unreserved, unreservedClass
		}
	}
	return best, class
}

// assign places the first task of a group on an upstream.
func (scheduler *Scheduler) assign(group *group, upstream *upstreamState) Assignment {
	job := group.job
	task := group.tasks[0]
	workMs := scheduler.estimator.WorkMs(job.submitted.Kind, task.DeclaredMs)
	expectedMs := workMs / scheduler.estimator.Speed(upstream.declared.ID)
	run := &runningTask{
		job:         job,
		index:       task.Index,
		need:        group.need,
		expectedEnd: scheduler.now.Add(milliseconds(expectedMs)),
	}
	scheduler.occupy(upstream, run)
	job.runningTasks++
	job.team.usedSlots++
	job.team.servedMs += workMs / job.team.weight / max(scheduler.index.totalSpeed, minClassSpeed)
	group.tasks = group.tasks[1:]
	group.declaredMs -= task.DeclaredMs
	if len(group.tasks) == 0 {
		scheduler.dequeueGroup(group)
		job.removeGroup(group)
	}
	scheduler.subtractWaiting(job, 1, workMs)
	scheduler.updateAfterPlacement(job, group, run)
	if blocked, exists := scheduler.blocked[group.need]; exists {
		scheduler.unblock(blocked, 1)
	}
	return Assignment{
		Key:        job.submitted.Key,
		Index:      task.Index,
		Upstream:   upstream.declared.ID,
		ExpectedMs: expectedMs,
	}
}

// updateAfterPlacement updates a job's target and the order of its groups after one
// of its tasks was placed.
func (scheduler *Scheduler) updateAfterPlacement(job *jobState, group *group, run *runningTask) {
	switch scheduler.policy.(type) {
	case Target:
		scheduler.updateTargetAfterPlacement(job, group, run)
	case Greedy:
		scheduler.updateSortKeys(job)
	}
}

// Wake returns the next time at which Next may place a task although nothing
// changed before. It reports false if there is no such time.
func (scheduler *Scheduler) Wake() (time.Time, bool) {
	if len(scheduler.timers.entries) == 0 || scheduler.index.idleSlots == 0 {
		return time.Time{}, false
	}
	return scheduler.timers.entries[0].job.recheckAt, true
}

// handleDueTimers reevaluates the jobs whose recheckAt has passed: it relaxes
// targets that can no longer be met, makes jobs urgent and requeues their groups.
func (scheduler *Scheduler) handleDueTimers(now time.Time) {
	for len(scheduler.timers.entries) > 0 {
		job := scheduler.timers.entries[0].job
		if job.recheckAt.After(now) {
			return
		}
		if !scheduler.latestStart(job).After(now) {
			scheduler.relaxTarget(job)
		}
		scheduler.updateUrgency(job)
		scheduler.requeueGroups(job)
		scheduler.updateTimer(job)
	}
}

// updateUrgency makes a job urgent once its urgentAt has passed. Under overload,
// deadlines make no job urgent: otherwise the slots went to one late job after the
// other, and at a load of twice the capacity the goodput fell from 0.98 to 0.77.
func (scheduler *Scheduler) updateUrgency(job *jobState) {
	if job.urgent || job.urgentAt.After(scheduler.now) {
		return
	}
	if !job.submitted.Deadline.IsZero() && !scheduler.queueIsShort() {
		job.urgentAt = scheduler.now.Add(urgencyRecheckInterval)
		return
	}
	job.urgent = true
	scheduler.updateSortKeys(job)
}

// updateTimer computes the recheckAt of a job and adds, moves or removes its timer.
// Only Target uses timers.
func (scheduler *Scheduler) updateTimer(job *jobState) {
	if _, ok := scheduler.policy.(Target); !ok {
		return
	}
	if job.waitingTasks == 0 {
		if job.timerIndex >= 0 {
			heap.Remove(&scheduler.timers, job.timerIndex)
		}
		return
	}
	job.recheckAt = scheduler.reservedAccessTime(job, scheduler.latestStart(job))
	if !job.urgent && job.urgentAt.Before(job.recheckAt) {
		job.recheckAt = job.urgentAt
	}
	if job.timerIndex < 0 {
		heap.Push(&scheduler.timers, job)
		return
	}
	scheduler.timers.entries[job.timerIndex].at = job.recheckAt.UnixNano()
	heap.Fix(&scheduler.timers, job.timerIndex)
}
