package placement

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"tanagerfall/shared/request/estimate"
	"tanagerfall/shared/request/submission"
)

// Upstream is a worker whose slots this entry VM may use.
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

// Need is what a task occupies while it runs, besides one slot.
type Need struct {
	Cores        int
	MemoryMb     int
	Accelerators int
}

// Job is a job as the scheduler sees it.
type Job struct {
	Key     submission.Key
	Team    string
	Kind    string
	Arrival time.Time
	// Deadline is the time by which the whole job must have ended. The zero
	// time stands for no deadline.
	Deadline time.Time
	// Priority orders the jobs of one team; the highest goes first.
	Priority int
	Tasks    []Task
}

// Task is a task as the scheduler sees it.
type Task struct {
	Index int
	// DeclaredMs is the declared run time on an upstream of speed 1.
	DeclaredMs float64
	Need       Need
}

// Assignment is a task placed on a slot. The slot stays occupied until
// Finish or Release.
type Assignment struct {
	Key      submission.Key
	Index    int
	Upstream string
	// ExpectedMs is the predicted run time.
	ExpectedMs float64
}

// Scheduler holds waiting tasks and slots. It is not safe for concurrent use.
type Scheduler struct {
	policy    Policy
	estimator *estimate.Estimator
	random    *rand.Rand
	index     *slotIndex
	jobs      map[submission.Key]*entry
	teams     map[string]*team
	queues    classQueues
	timers    timers
	// parked holds, for each shape of needs, the groups that no idle slot had
	// the resources for.
	parked map[room]*groupHeap
	// waiting counts waiting tasks and waitingMs their estimated work.
	waiting   int
	waitingMs float64
	// arrivals numbers the jobs for the policies that serve them in order.
	arrivals int
	turn     int
	viewed   time.Time
	now      time.Time
}

// running is a task that occupies a slot.
type running struct {
	entry *entry
	index int
	need  room
	end   time.Time
}

// Stats is a summary of the scheduler for the state dump.
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

// New returns an empty Scheduler.
func New(policy Policy, estimator *estimate.Estimator, random *rand.Rand) *Scheduler {
	return &Scheduler{
		policy:    policy,
		estimator: estimator,
		random:    random,
		index:     newSlotIndex(),
		jobs:      make(map[submission.Key]*entry),
		teams:     make(map[string]*team),
		queues:    newClassQueues(),
		parked:    make(map[room]*groupHeap),
	}
}

// NoSlots is a cap for SetTeam that allows no slot at all.
const NoSlots = -1

// TeamStats counts the tasks of one team.
type TeamStats struct {
	Running int
	Waiting int
}

// TeamStats returns the counts of a team.
func (scheduler *Scheduler) TeamStats(name string) TeamStats {
	held, known := scheduler.teams[name]
	if !known {
		return TeamStats{}
	}
	return TeamStats{
		Running: held.used,
		Waiting: held.waiting,
	}
}

// SetTeam sets the weight of a team in the fair queue and the largest number
// of slots that it may hold at a time. A slotCap of 0 sets no limit, and a
// weight that is not positive counts as 1. A team that was never set has
// weight 1 and no limit.
func (scheduler *Scheduler) SetTeam(name string, weight float64, slotCap int) {
	held := scheduler.teamOf(name)
	held.weight = weight
	if weight <= 0 {
		held.weight = 1
	}
	held.cap = slotCap
	scheduler.unparkTeam(held)
}

func (scheduler *Scheduler) teamOf(name string) *team {
	held, known := scheduler.teams[name]
	if !known {
		held = &team{
			weight: 1,
		}
		scheduler.teams[name] = held
	}
	return held
}

// Waiting returns the number of waiting tasks.
func (scheduler *Scheduler) Waiting() int {
	return scheduler.waiting
}

// Stats returns the counts for the state dump.
func (scheduler *Scheduler) Stats() Stats {
	index := scheduler.index
	index.refresh(scheduler.now, scheduler.estimator)
	stats := Stats{
		WaitingTasks:  scheduler.waiting,
		WaitingWorkMs: scheduler.waitingMs,
		Upstreams:     len(index.hosts),
		OpenUpstreams: index.open,
		Slots:         index.slots,
		IdleSlots:     index.idle,
		TotalSpeed:    index.totalSpeed,
	}
	for _, held := range index.hosts {
		stats.RunningTasks += len(held.running)
	}
	for _, held := range scheduler.jobs {
		if held.waiting > 0 {
			stats.WaitingJobs++
		}
	}
	return stats
}

// Predict returns the time at which a job that is enqueued now should end,
// given the waiting work and the slots. It costs O(1) beyond the sum of the
// job's tasks. Without an upstream that fits the job it is a day away.
func (scheduler *Scheduler) Predict(now time.Time, job Job) time.Time {
	scheduler.now = now
	scheduler.index.refresh(now, scheduler.estimator)
	index := scheduler.index
	workMs, longestMs, fit := 0.0, 0.0, 0.0
	var need Need
	for i, task := range job.Tasks {
		if i == 0 || task.Need != need {
			need = task.Need
			fit = index.topSpeedFor(roomFor(need))
		}
		if fit == 0 {
			return now.Add(unreachable)
		}
		workMs += task.DeclaredMs
		longestMs = max(longestMs, task.DeclaredMs/fit)
	}
	if index.totalSpeed == 0 {
		return now.Add(unreachable)
	}
	ratio := scheduler.estimator.WorkMs(job.Kind, 1)
	queueMs := scheduler.waitingMs / index.totalSpeed
	runMs := ratio * max(longestMs, workMs/index.totalSpeed)
	return now.Add(milliseconds(queueMs + runMs + roundTripMs))
}

const (
	// unreachable is the predicted wait while no upstream fits.
	unreachable = 24 * time.Hour
	// roundTripMs is the round trip that an ideal contains.
	roundTripMs = 1
	// unparkedPerRelease is the number of parked groups that are tried again
	// for each slot that becomes free. The first may need a faster slot than
	// the free one.
	unparkedPerRelease = 2
)

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

func toMs(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

// Next places one waiting task, or reports false when none can be placed now.
// Call it until it reports false after each change.
func (scheduler *Scheduler) Next(now time.Time) (Assignment, bool) {
	scheduler.now = now
	if scheduler.waiting == 0 {
		return Assignment{}, false
	}
	scheduler.index.refresh(now, scheduler.estimator)
	if scheduler.index.idleClass(classCount-1) < 0 {
		return Assignment{}, false
	}
	scheduler.relax(now)
	for {
		group, class := scheduler.first()
		if group == nil {
			return Assignment{}, false
		}
		held := group.entry
		if scheduler.misfiled(group) {
			continue
		}
		if held.team.atCap() {
			scheduler.unfile(group)
			held.team.parked.push(group)
			continue
		}
		chosen := scheduler.choose(group, class)
		if chosen == nil {
			scheduler.unfile(group)
			scheduler.parkedFor(group.need).push(group)
			continue
		}
		return scheduler.assign(group, chosen), true
	}
}

// first returns the group that goes first among those that an idle slot
// serves, and the highest class that it may take, or nil.
func (scheduler *Scheduler) first() (*group, int) {
	top := classCount - 1
	idle := scheduler.index.idleClass(top)
	if idle < 0 {
		return nil, 0
	}
	if !scheduler.reserving() {
		return scheduler.queues.best(0, idle), top
	}
	// Groups below the lowest class that may use the reserved upstreams
	// compete for the other upstreams only.
	limit := scheduler.index.reservedClass
	eligible := scheduler.eligibleClass()
	best, class := scheduler.queues.best(eligible, idle), top
	if other := scheduler.index.idleClass(limit); other >= 0 {
		if low := scheduler.queues.best(0, min(other, eligible-1)); low != nil && (best == nil || low.before(best)) {
			best, class = low, limit
		}
	}
	return best, class
}

func (scheduler *Scheduler) assign(group *group, chosen *host) Assignment {
	held := group.entry
	task := group.tasks[0]
	workMs := scheduler.estimator.WorkMs(held.job.Kind, task.DeclaredMs)
	expectedMs := workMs / scheduler.estimator.Speed(chosen.upstream.ID)
	started := &running{
		entry: held,
		index: task.Index,
		need:  group.need,
		end:   scheduler.now.Add(milliseconds(expectedMs)),
	}
	scheduler.occupy(chosen, started)
	held.running++
	held.team.used++
	held.team.servedMs += workMs / held.team.weight / max(scheduler.index.totalSpeed, slowest)
	group.tasks = group.tasks[1:]
	group.declaredMs -= task.DeclaredMs
	if len(group.tasks) == 0 {
		scheduler.unfile(group)
		held.removeGroup(group)
	}
	scheduler.subtractWaiting(held, 1, workMs)
	scheduler.placed(held, group, started)
	if parked, known := scheduler.parked[group.need]; known {
		scheduler.unpark(parked, 1)
	}
	return Assignment{
		Key:        held.job.Key,
		Index:      task.Index,
		Upstream:   chosen.upstream.ID,
		ExpectedMs: expectedMs,
	}
}

// placed brings the order up to date after a task of a job was placed.
func (scheduler *Scheduler) placed(held *entry, group *group, started *running) {
	switch scheduler.policy.(type) {
	case Target:
		scheduler.placedByTarget(held, group, started)
	case Greedy:
		scheduler.rekey(held)
	}
}

// Wake returns the next time at which Next may place a task although nothing
// else changed. It reports false when there is no such time.
func (scheduler *Scheduler) Wake() (time.Time, bool) {
	if len(scheduler.timers.entries) == 0 || scheduler.index.idle == 0 {
		return time.Time{}, false
	}
	return scheduler.timers.entries[0].entry.relaxAt, true
}

// relax gives up the targets that can't be met any more for later ones.
func (scheduler *Scheduler) relax(now time.Time) {
	for len(scheduler.timers.entries) > 0 {
		held := scheduler.timers.entries[0].entry
		if held.relaxAt.After(now) {
			return
		}
		if !scheduler.relaxTime(held).After(now) {
			scheduler.relaxTarget(held)
		}
		scheduler.hurry(held)
		scheduler.refile(held)
		scheduler.setTimer(held)
	}
}

// hurry makes a job urgent when its time has come. Under overload no deadline
// makes a job urgent: one late job after the other took the slots, and at twice
// the capacity the goodput fell from 0.98 to 0.77.
func (scheduler *Scheduler) hurry(held *entry) {
	if held.urgent || held.urgentAt.After(scheduler.now) {
		return
	}
	if !held.job.Deadline.IsZero() && !scheduler.shortQueue() {
		held.urgentAt = scheduler.now.Add(urgentRecheck)
		return
	}
	held.urgent = true
	scheduler.rekey(held)
}

// setTimer brings the timer of a job up to date.
func (scheduler *Scheduler) setTimer(held *entry) {
	if _, yes := scheduler.policy.(Target); !yes {
		return
	}
	if held.waiting == 0 {
		if held.timer >= 0 {
			heap.Remove(&scheduler.timers, held.timer)
		}
		return
	}
	held.relaxAt = scheduler.eligibleTime(held, scheduler.relaxTime(held))
	if !held.urgent && held.urgentAt.Before(held.relaxAt) {
		held.relaxAt = held.urgentAt
	}
	if held.timer < 0 {
		heap.Push(&scheduler.timers, held)
		return
	}
	scheduler.timers.entries[held.timer].at = held.relaxAt.UnixNano()
	heap.Fix(&scheduler.timers, held.timer)
}
