package placement

import (
	"math/rand/v2"
	"sort"
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
	// Deadline is the time by which the whole job must have ended.
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
// Release.
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
	slots     map[string]*slots
	order     []string
	jobs      map[submission.Key]*waiting
	teams     map[string]team
}

type team struct {
	weight float64
	cap    int
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

type slots struct {
	upstream Upstream
	// open is false for an upstream that must get nothing new.
	open         bool
	used         int
	cores        int
	memoryMb     int
	accelerators int
}

type waiting struct {
	job   Job
	tasks []Task
}

// New returns an empty Scheduler.
func New(policy Policy, estimator *estimate.Estimator, random *rand.Rand) *Scheduler {
	return &Scheduler{
		policy:    policy,
		estimator: estimator,
		random:    random,
		slots:     make(map[string]*slots),
		jobs:      make(map[submission.Key]*waiting),
		teams:     make(map[string]team),
	}
}

// SetTeam sets the weight of a team in the fair queue and the largest number
// of slots that it may hold at a time. A slotCap of 0 sets no limit. A team
// that was never set has weight 1 and no limit.
func (scheduler *Scheduler) SetTeam(name string, weight float64, slotCap int) {
	scheduler.teams[name] = team{
		weight: weight,
		cap:    slotCap,
	}
}

// Predict returns the time at which a job that is enqueued now should end,
// given the waiting work and the slots.
func (scheduler *Scheduler) Predict(now time.Time, job Job) time.Time {
	stats := scheduler.Stats()
	work, longest := 0.0, 0.0
	for _, task := range job.Tasks {
		taskMs := scheduler.estimator.WorkMs(job.Kind, task.DeclaredMs)
		work += taskMs
		longest = max(longest, taskMs)
	}
	fastest := 0.0
	for id, held := range scheduler.slots {
		if held.open {
			fastest = max(fastest, scheduler.estimator.Speed(id))
		}
	}
	if fastest == 0 {
		return now.Add(unreachable)
	}
	waitMs := stats.WaitingWorkMs / stats.TotalSpeed
	runMs := max(longest/fastest, work/stats.TotalSpeed)
	return now.Add(time.Duration((waitMs + runMs) * float64(time.Millisecond)))
}

// unreachable is the predicted wait while no upstream is open.
const unreachable = 24 * time.Hour

// Stats returns the counts for the state dump.
func (scheduler *Scheduler) Stats() Stats {
	stats := Stats{
		WaitingJobs:  len(scheduler.jobs),
		WaitingTasks: scheduler.Waiting(),
		Upstreams:    len(scheduler.slots),
	}
	for id, held := range scheduler.slots {
		stats.RunningTasks += held.used
		if !held.open {
			continue
		}
		stats.OpenUpstreams++
		stats.Slots += held.upstream.Slots
		stats.IdleSlots += max(0, held.upstream.Slots-held.used)
		stats.TotalSpeed += float64(held.upstream.Slots) * scheduler.estimator.Speed(id)
	}
	for _, held := range scheduler.jobs {
		for _, task := range held.tasks {
			stats.WaitingWorkMs += scheduler.estimator.WorkMs(held.job.Kind, task.DeclaredMs)
		}
	}
	return stats
}

// SetUpstream adds or changes an upstream and opens it for placement.
func (scheduler *Scheduler) SetUpstream(upstream Upstream) {
	scheduler.estimator.Declare(upstream.ID, upstream.Speed)
	held, known := scheduler.slots[upstream.ID]
	if !known {
		held = &slots{}
		scheduler.slots[upstream.ID] = held
		scheduler.order = append(scheduler.order, upstream.ID)
		sort.Strings(scheduler.order)
	}
	held.upstream = upstream
	held.open = true
}

// CloseUpstream stops placement on an upstream; its running tasks stay.
func (scheduler *Scheduler) CloseUpstream(id string) {
	if held, known := scheduler.slots[id]; known {
		held.open = false
	}
}

// Enqueue adds a job whose tasks all wait.
func (scheduler *Scheduler) Enqueue(job Job) {
	tasks := append([]Task(nil), job.Tasks...)
	sort.SliceStable(tasks, func(i, j int) bool { return tasks[i].DeclaredMs > tasks[j].DeclaredMs })
	scheduler.jobs[job.Key] = &waiting{
		job:   job,
		tasks: tasks,
	}
}

// Requeue adds one task of a known job again, after proof that its attempt
// did not start.
func (scheduler *Scheduler) Requeue(job Job, task Task) {
	held, known := scheduler.jobs[job.Key]
	if !known {
		held = &waiting{
			job: job,
		}
		scheduler.jobs[job.Key] = held
	}
	held.tasks = append(held.tasks, task)
	sort.SliceStable(held.tasks, func(i, j int) bool { return held.tasks[i].DeclaredMs > held.tasks[j].DeclaredMs })
}

// Drop removes the waiting tasks of a job and returns how many there were.
func (scheduler *Scheduler) Drop(key submission.Key) int {
	held, known := scheduler.jobs[key]
	if !known {
		return 0
	}
	delete(scheduler.jobs, key)
	return len(held.tasks)
}

// Release frees the slot and the resources that a task occupied.
func (scheduler *Scheduler) Release(upstream string, need Need) {
	held, known := scheduler.slots[upstream]
	if !known {
		return
	}
	held.used--
	held.cores -= need.Cores
	held.memoryMb -= need.MemoryMb
	held.accelerators -= need.Accelerators
	if held.used == 0 && !held.open {
		scheduler.remove(upstream)
	}
}

func (scheduler *Scheduler) remove(id string) {
	delete(scheduler.slots, id)
	scheduler.estimator.Forget(id)
	for i, name := range scheduler.order {
		if name == id {
			scheduler.order = append(scheduler.order[:i], scheduler.order[i+1:]...)
			return
		}
	}
}

// Fits reports whether any known upstream could ever run a task.
func (scheduler *Scheduler) Fits(need Need) bool {
	for _, held := range scheduler.slots {
		if held.couldFit(need) {
			return true
		}
	}
	return false
}

func (slots *slots) couldFit(need Need) bool {
	upstream := slots.upstream
	return need.Cores <= upstream.Cores &&
		need.MemoryMb <= upstream.MemoryMb &&
		need.Accelerators <= upstream.Accelerators
}

func (slots *slots) fitsNow(need Need) bool {
	upstream := slots.upstream
	return slots.open && slots.used < upstream.Slots &&
		slots.cores+need.Cores <= upstream.Cores &&
		slots.memoryMb+need.MemoryMb <= upstream.MemoryMb &&
		slots.accelerators+need.Accelerators <= upstream.Accelerators
}

// Waiting returns the number of waiting tasks.
func (scheduler *Scheduler) Waiting() int {
	count := 0
	for _, held := range scheduler.jobs {
		count += len(held.tasks)
	}
	return count
}

// Next places one waiting task, or reports false when none can be placed now.
// Call it until it reports false after each change.
func (scheduler *Scheduler) Next(time.Time) (Assignment, bool) {
	for _, key := range scheduler.jobOrder() {
		held := scheduler.jobs[key]
		task := held.tasks[0]
		best := scheduler.fastestIdle(task.Need)
		if best == nil {
			continue
		}
		scheduler.occupy(best, held, task)
		return Assignment{
			Key:        key,
			Index:      task.Index,
			Upstream:   best.upstream.ID,
			ExpectedMs: scheduler.expectedMs(held.job.Kind, task, best.upstream.ID),
		}, true
	}
	return Assignment{}, false
}

// Wake returns the next time at which Next may place a task although nothing
// else changed. It reports false when there is no such time.
func (scheduler *Scheduler) Wake() (time.Time, bool) {
	return time.Time{}, false
}

func (scheduler *Scheduler) jobOrder() []submission.Key {
	keys := make([]submission.Key, 0, len(scheduler.jobs))
	for key := range scheduler.jobs {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool {
		a, b := scheduler.jobs[keys[i]].job, scheduler.jobs[keys[j]].job
		if !a.Arrival.Equal(b.Arrival) {
			return a.Arrival.Before(b.Arrival)
		}
		return a.Key.Counter < b.Key.Counter
	})
	return keys
}

func (scheduler *Scheduler) fastestIdle(need Need) *slots {
	var best *slots
	bestSpeed := 0.0
	for _, id := range scheduler.order {
		held := scheduler.slots[id]
		speed := scheduler.estimator.Speed(id)
		if held.fitsNow(need) && speed > bestSpeed {
			best, bestSpeed = held, speed
		}
	}
	return best
}

func (scheduler *Scheduler) occupy(held *slots, owner *waiting, task Task) {
	held.used++
	held.cores += task.Need.Cores
	held.memoryMb += task.Need.MemoryMb
	held.accelerators += task.Need.Accelerators
	owner.tasks = owner.tasks[1:]
	if len(owner.tasks) == 0 {
		delete(scheduler.jobs, owner.job.Key)
	}
}

func (scheduler *Scheduler) expectedMs(kind string, task Task, upstream string) float64 {
	return scheduler.estimator.WorkMs(kind, task.DeclaredMs) / scheduler.estimator.Speed(upstream)
}
