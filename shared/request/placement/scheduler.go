package placement

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
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

// SetUpstream adds or changes an upstream and opens it for placement.
func (scheduler *Scheduler) SetUpstream(upstream Upstream) {
	scheduler.estimator.Declare(upstream.ID, upstream.Speed)
	held, known := scheduler.index.hosts[upstream.ID]
	if !known {
		held = &host{
			class: -1,
		}
		scheduler.index.hosts[upstream.ID] = held
	}
	if known && held.open && held.upstream == upstream {
		return
	}
	held.upstream = upstream
	held.open = true
	held.free = held.capacity()
	for _, task := range held.running {
		held.free = held.free.minus(task.need)
	}
	scheduler.index.stale = true
	scheduler.unparkAll()
}

// CloseUpstream stops placement on an upstream; its running tasks stay.
func (scheduler *Scheduler) CloseUpstream(id string) {
	held, known := scheduler.index.hosts[id]
	if !known {
		return
	}
	held.open = false
	scheduler.index.stale = true
	scheduler.removeUnused(held)
}

func (scheduler *Scheduler) removeUnused(held *host) {
	if held.open || len(held.running) > 0 {
		return
	}
	delete(scheduler.index.hosts, held.upstream.ID)
	scheduler.estimator.Forget(held.upstream.ID)
	scheduler.index.stale = true
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

// Enqueue adds a job whose tasks all wait. The key must be new.
func (scheduler *Scheduler) Enqueue(job Job) {
	scheduler.index.refresh(scheduler.now, scheduler.estimator)
	held := scheduler.newEntry(job)
	tasks := slices.Clone(job.Tasks)
	if !scheduler.inOrder() {
		slices.SortStableFunc(tasks, func(a, b Task) int { return descending(a.DeclaredMs, b.DeclaredMs) })
	}
	for start := 0; start < len(tasks); {
		end := start + 1
		for end < len(tasks) && scheduler.alike(tasks[start], tasks[end]) {
			end++
		}
		held.groups = append(held.groups, scheduler.newGroup(held, tasks[start:end:end]))
		start = end
	}
	scheduler.addWaiting(held, len(tasks), held.workMs)
	scheduler.setKeys(held)
	for _, group := range held.groups {
		scheduler.file(group)
	}
	scheduler.setTimer(held)
}

func descending(a, b float64) int {
	switch {
	case a > b:
		return -1
	case a < b:
		return 1
	}
	return 0
}

// inOrder reports whether the policy takes tasks in order of arrival.
func (scheduler *Scheduler) inOrder() bool {
	switch scheduler.policy.(type) {
	case Target, Greedy:
		return false
	}
	return true
}

// alike reports whether two tasks of a job may share a group.
func (scheduler *Scheduler) alike(a, b Task) bool {
	if a.Need != b.Need {
		return false
	}
	if _, yes := scheduler.policy.(Target); yes {
		return rankOf(a.DeclaredMs) == rankOf(b.DeclaredMs)
	}
	return true
}

func (scheduler *Scheduler) newGroup(held *entry, tasks []Task) *group {
	made := &group{
		entry: held,
		need:  roomFor(tasks[0].Need),
		tasks: tasks,
	}
	for _, task := range tasks {
		made.declaredMs += task.DeclaredMs
	}
	if scheduler.inOrder() {
		made.rank = -tasks[0].Index
	} else {
		made.rank = rankOf(tasks[0].DeclaredMs)
	}
	return made
}

func (scheduler *Scheduler) newEntry(job Job) *entry {
	held := &entry{
		job:    job,
		team:   scheduler.teamOf(job.Team),
		number: scheduler.arrivals,
		timer:  -1,
	}
	held.job.Tasks = nil
	ratio := scheduler.estimator.WorkMs(job.Kind, 1)
	fit := 0.0
	var need Need
	for i, task := range job.Tasks {
		if i == 0 || task.Need != need {
			need = task.Need
			fit = scheduler.index.topSpeedFor(roomFor(need))
		}
		taskMs := task.DeclaredMs * ratio
		held.workMs += taskMs
		if fit > 0 {
			held.longestMs = max(held.longestMs, taskMs/fit)
		}
	}
	held.ideal = milliseconds(max(held.longestMs, held.workMs/max(scheduler.index.totalSpeed, slowest)) + roundTripMs)
	scheduler.arrivals++
	scheduler.jobs[job.Key] = held
	switch policy := scheduler.policy.(type) {
	case Target:
		scheduler.aim(held, policy.theta())
		held.urgentAt = urgentTime(held)
	}
	return held
}

// Requeue adds one task of a known job again, after proof that its attempt
// did not start. The attempt must have been released.
func (scheduler *Scheduler) Requeue(job Job, task Task) {
	scheduler.index.refresh(scheduler.now, scheduler.estimator)
	held, known := scheduler.jobs[job.Key]
	if !known {
		held = scheduler.newEntry(job)
	}
	taskMs := scheduler.estimator.WorkMs(job.Kind, task.DeclaredMs)
	scheduler.addWaiting(held, 1, taskMs)
	for _, group := range held.groups {
		if scheduler.alike(task, group.tasks[0]) {
			group.insert(task)
			scheduler.rekey(held)
			scheduler.refile(held)
			scheduler.setTimer(held)
			return
		}
	}
	added := scheduler.newGroup(held, []Task{task})
	held.groups = append(held.groups, added)
	slices.SortStableFunc(held.groups, func(a, b *group) int { return b.rank - a.rank })
	scheduler.file(added)
	scheduler.rekey(held)
	scheduler.setTimer(held)
}

func (scheduler *Scheduler) addWaiting(held *entry, tasks int, workMs float64) {
	if held.team.waiting == 0 {
		scheduler.catchUp(held.team)
	}
	held.team.waiting += tasks
	held.waiting += tasks
	held.remainingMs += workMs
	scheduler.waiting += tasks
	scheduler.waitingMs += workMs
}

// catchUp raises what a team was served to the least of the waiting teams.
func (scheduler *Scheduler) catchUp(joining *team) {
	least := math.Inf(1)
	for _, other := range scheduler.teams {
		if other.waiting > 0 {
			least = min(least, other.servedMs)
		}
	}
	if !math.IsInf(least, 1) {
		joining.servedMs = max(joining.servedMs, least)
	}
}

// Drop removes the waiting tasks of a job and returns how many there were.
func (scheduler *Scheduler) Drop(key submission.Key) int {
	held, known := scheduler.jobs[key]
	if !known {
		return 0
	}
	for _, group := range held.groups {
		scheduler.unfile(group)
	}
	held.groups = nil
	dropped := held.waiting
	scheduler.subtractWaiting(held, dropped, held.remainingMs)
	scheduler.setTimer(held)
	scheduler.forgetDone(held)
	return dropped
}

func (scheduler *Scheduler) subtractWaiting(held *entry, tasks int, workMs float64) {
	held.waiting -= tasks
	held.team.waiting -= tasks
	held.remainingMs -= workMs
	scheduler.waiting -= tasks
	scheduler.waitingMs -= workMs
	if held.waiting == 0 {
		// Estimates move while tasks wait, so the sums do not end at 0.
		scheduler.waitingMs -= held.remainingMs
		held.remainingMs = 0
	}
	if scheduler.waiting == 0 {
		scheduler.waitingMs = 0
	}
}

func (scheduler *Scheduler) forgetDone(held *entry) {
	if held.waiting == 0 && held.running == 0 {
		delete(scheduler.jobs, held.job.Key)
	}
}

// Occupy registers a task that runs on an upstream without having been placed
// here, such as one that its former owner started. Release frees it.
func (scheduler *Scheduler) Occupy(upstream string, need Need) {
	held, known := scheduler.index.hosts[upstream]
	if !known {
		return
	}
	scheduler.occupy(held, &running{
		need: roomFor(need),
		end:  scheduler.now,
	})
}

func (scheduler *Scheduler) occupy(held *host, task *running) {
	held.running = append(held.running, task)
	held.free = held.free.minus(task.need)
	if held.open {
		scheduler.index.idle--
	}
	scheduler.index.update(held)
}

// Finish frees what a task that was placed on the upstream occupied. It
// reports false if the task does not run there.
func (scheduler *Scheduler) Finish(upstream string, key submission.Key, index int) bool {
	held, known := scheduler.index.hosts[upstream]
	if !known {
		return false
	}
	for i, task := range held.running {
		if task.entry != nil && task.entry.job.Key == key && task.index == index {
			scheduler.free(held, i)
			return true
		}
	}
	return false
}

// Release frees the slot and the resources of one task with that need. Of
// several, it takes a task registered by Occupy or else the one that should
// have ended first; Finish names the task and keeps the teams' caps exact.
func (scheduler *Scheduler) Release(upstream string, need Need) {
	held, known := scheduler.index.hosts[upstream]
	if !known {
		return
	}
	best := -1
	for i, task := range held.running {
		if task.need != roomFor(need) {
			continue
		}
		if best < 0 || earlier(task, held.running[best]) {
			best = i
		}
	}
	if best >= 0 {
		scheduler.free(held, best)
	}
}

func earlier(a, b *running) bool {
	if (a.entry == nil) != (b.entry == nil) {
		return a.entry == nil
	}
	return a.end.Before(b.end)
}

func (scheduler *Scheduler) free(held *host, place int) {
	task := held.running[place]
	last := len(held.running) - 1
	held.running[place] = held.running[last]
	held.running[last] = nil
	held.running = held.running[:last]
	held.free = held.free.plus(task.need)
	if held.open {
		scheduler.index.idle++
	}
	scheduler.index.update(held)
	if owner := task.entry; owner != nil {
		owner.running--
		owner.team.used--
		scheduler.forgetDone(owner)
		scheduler.unpark(&owner.team.parked, unparkedPerRelease)
	}
	for need, parked := range scheduler.parked {
		if held.free.holds(need) {
			scheduler.unpark(parked, unparkedPerRelease)
		}
	}
	scheduler.removeUnused(held)
}

// Fits reports whether any open upstream could ever run a task.
func (scheduler *Scheduler) Fits(need Need) bool {
	scheduler.index.refresh(scheduler.now, scheduler.estimator)
	return scheduler.index.topSpeedFor(roomFor(need)) > 0
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

// misfiled files a group anew if its class or its team's debt changed, and
// reports whether it did.
func (scheduler *Scheduler) misfiled(group *group) bool {
	if group.debt == debtOf(group.entry.team) && group.class >= scheduler.classFor(group) {
		return false
	}
	scheduler.unfile(group)
	scheduler.file(group)
	return true
}

func (scheduler *Scheduler) parkedFor(need room) *groupHeap {
	parked, known := scheduler.parked[need]
	if !known {
		parked = &groupHeap{}
		scheduler.parked[need] = parked
	}
	return parked
}

func (scheduler *Scheduler) unpark(parked *groupHeap, count int) {
	for ; count > 0 && len(parked.groups) > 0; count-- {
		group := parked.top()
		parked.remove(group)
		scheduler.file(group)
	}
}

func (scheduler *Scheduler) unparkTeam(held *team) {
	scheduler.unpark(&held.parked, len(held.parked.groups))
}

func (scheduler *Scheduler) unparkAll() {
	for _, parked := range scheduler.parked {
		scheduler.unpark(parked, len(parked.groups))
	}
}

// file puts a group into the queue of its class.
func (scheduler *Scheduler) file(group *group) {
	group.debt = debtOf(group.entry.team)
	scheduler.queues.add(group, scheduler.classFor(group))
}

func (scheduler *Scheduler) unfile(group *group) {
	switch {
	case group.heap == nil:
	case group.heap == &scheduler.queues.heaps[group.class]:
		scheduler.queues.remove(group)
	default:
		group.heap.remove(group)
	}
}

// refile files the groups of a job anew after its target changed.
func (scheduler *Scheduler) refile(held *entry) {
	for _, group := range held.groups {
		if group.heap == &scheduler.queues.heaps[group.class] && group.class != scheduler.classFor(group) {
			scheduler.queues.remove(group)
			scheduler.file(group)
		}
	}
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

// setKeys sets the keys of a job's groups.
func (scheduler *Scheduler) setKeys(held *entry) {
	held.keyedMs = held.remainingMs
	switch scheduler.policy.(type) {
	case Target:
		scheduler.setTargetKeys(held)
	case Greedy:
		for _, group := range held.groups {
			group.key = held.remainingMs
		}
	default:
		for _, group := range held.groups {
			group.key = float64(held.number)
		}
	}
}

// rekey sets the keys anew and restores the order of the queues.
func (scheduler *Scheduler) rekey(held *entry) {
	scheduler.setKeys(held)
	for _, group := range held.groups {
		group.heap.fix(group.place)
	}
}

func (held *entry) removeGroup(removed *group) {
	for i, group := range held.groups {
		if group == removed {
			held.groups = slices.Delete(held.groups, i, i+1)
			return
		}
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
