package cell

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"
)

// maxClockAge is the maximum age of an upstream's last answer at which a start
// is sent. With an older one the lease of the start would be short.
const maxClockAge = 5 * time.Second

// predictRunTime returns the predicted run time of a task at a speed.
func (job *jobState) predictRunTime(estimate time.Duration, speed float64) time.Duration {
	return time.Duration(job.ratio * float64(estimate) / speed)
}

// fastestSpeed returns the highest speed among the upstreams of a service as of
// the last tick, or 1 if it is not known.
func (cell *Cell) fastestSpeed(service string) float64 {
	if speed := cell.topSpeeds[service]; speed > 0 {
		return speed
	}
	return 1
}

// measureSpeeds updates the speeds of the upstreams and their order by speed.
func (cell *Cell) measureSpeeds() {
	clear(cell.topSpeeds)
	cell.slowUpstreams = 0
	for _, upstream := range cell.upstreamOrder {
		upstream.speed = cell.config.Estimator.Speed(upstream.listing.ID)
		// A slowdown within the spread of estimates is no evidence of a slow
		// upstream.
		if upstream.slowdown > slowdownTolerance {
			upstream.speed /= upstream.slowdown
			cell.slowUpstreams++
		}
		upstream.speed *= cell.warmShare(upstream)
		if upstream.serves() {
			cell.topSpeeds[upstream.listing.Service] = max(cell.topSpeeds[upstream.listing.Service], upstream.speed)
		}
	}
	cell.bySpeed = append(cell.bySpeed[:0], cell.upstreamOrder...)
	slices.SortStableFunc(cell.bySpeed, func(a, b *upstreamState) int { return cmp.Compare(b.speed, a.speed) })
}

// backlogTime returns how long the upstreams of a service need for the waiting
// tasks.
func (cell *Cell) backlogTime(service string) time.Duration {
	cores, work := 0.0, 0.0
	for _, upstream := range cell.upstreamOrder {
		if upstream.listing.Service == service && upstream.serves() {
			cores += float64(upstream.listing.Capacity.MilliCores) * upstream.speed
		}
	}
	if cores == 0 {
		return cell.config.Limits.MaxRetryAfter
	}
	for _, job := range cell.waitingJobs {
		if job.submitted.Service != service {
			continue
		}
		for _, task := range job.tasks {
			if task.status == taskWaiting {
				step := job.submitted.Steps[task.name.Step]
				work += float64(job.predictRunTime(step.Estimate, 1)) * float64(step.Need.MilliCores)
			}
		}
	}
	return time.Duration(work / cores)
}

// acceptsTasks reports whether an upstream may get new tasks.
func (cell *Cell) acceptsTasks(upstream *upstreamState) bool {
	return upstream.serves() && upstream.present && !upstream.listing.Leaving &&
		!cell.now.Before(upstream.listing.UsableAt) &&
		upstream.entryState() != entryAhead &&
		upstream.missedPolls == 0 && upstream.orphanCount == 0 &&
		!upstream.ejectedUntil.After(cell.now) && !upstream.fullUntil.After(cell.now) &&
		cell.now.Sub(upstream.clockAt) < maxClockAge &&
		upstream.usedSlots < upstream.listing.Slots && !upstream.nextColdStartAt.After(cell.now) && (!upstream.probing || upstream.usedSlots == 0)
}

// placeTasks starts waiting tasks as far as capacity allows.
func (cell *Cell) placeTasks() {
	if !cell.placementPending {
		return
	}
	cell.placementPending = false
	cell.dropPlacedJobs()
	if len(cell.waitingJobs) == 0 {
		return
	}
	smallestNeed := cell.smallestNeed()
	usable, muchIdle := cell.usableUpstreams(smallestNeed)
	if len(usable) == 0 {
		return
	}
	if cell.now.Sub(cell.sortedAt) >= sortInterval {
		cell.sortedAt = cell.now
		cell.sortWaiting()
	}
	triedLate := false
	for next, unplaced := 0, 0; next < len(cell.waitingJobs) && len(usable) > 0; next++ {
		if cell.placeJob(cell.waitingJobs[next], usable, muchIdle) {
			usable = slices.DeleteFunc(usable, func(upstream *upstreamState) bool {
				return upstream.free.MilliCores < smallestNeed || !cell.acceptsTasks(upstream)
			})
			continue
		}
		unplaced++
		if unplaced < maxUnplacedJobs {
			continue
		}
		if triedLate {
			break
		}
		// Jobs that can meet their objective may wait for faster upstreams, while late
		// ones use any.
		triedLate, unplaced = true, 0
		next = max(next, cell.firstLateJob()-1)
	}
	cell.dropPlacedJobs()
}

const (
	// sortInterval spaces the sorting of the waiting jobs. Slack changes little
	// within it, and sorting hundreds of jobs at each event took the whole
	// processor.
	sortInterval = 5 * time.Millisecond
	// maxUnplacedJobs bounds the jobs that are tried without success, because
	// they need upstreams that are not free, before the rest waits for the next
	// change. It holds for jobs that can meet their objective and for late ones.
	maxUnplacedJobs = 32
)

// firstLateJob returns the index of the first waiting job that can't meet its objective, or
// the number of waiting jobs. Jobs that were added since the last sort are not searched.
func (cell *Cell) firstLateJob() int {
	return sort.Search(len(cell.waitingJobs), func(i int) bool { return cell.rankJob(cell.waitingJobs[i]).class != classOnTime })
}

// smallestNeed returns the cores of the smallest waiting task, in thousandths.
func (cell *Cell) smallestNeed() int {
	smallest := math.MaxInt
	for _, job := range cell.waitingJobs {
		for i := range job.submitted.Steps {
			smallest = min(smallest, job.submitted.Steps[i].Need.MilliCores)
		}
	}
	return smallest
}

// usableUpstreams returns the upstreams that may get new tasks and have enough
// free cores for the smallest, and whether more than IdleShare of the cores of
// open upstreams is free.
func (cell *Cell) usableUpstreams(smallestNeed int) ([]*upstreamState, bool) {
	usable := cell.usableBuffer[:0]
	free, total := 0, 0
	for _, upstream := range cell.bySpeed {
		if upstream.serves() {
			total += upstream.listing.Capacity.MilliCores
			free += max(upstream.free.MilliCores, 0)
		}
		if upstream.free.MilliCores >= smallestNeed && cell.acceptsTasks(upstream) {
			usable = append(usable, upstream)
		}
	}
	cell.usableBuffer = usable
	return usable, float64(free) > cell.config.Limits.IdleShare*float64(total)
}

func (cell *Cell) dropPlacedJobs() {
	cell.waitingJobs = slices.DeleteFunc(cell.waitingJobs, func(job *jobState) bool {
		job.inWaitingJobs = job.waitingTasks > 0
		return !job.inWaitingJobs
	})
}

// Classes of waiting jobs, in the order in which they get upstreams.
const (
	// classOnTime is for jobs that can meet their objective.
	classOnTime = iota
	// classLate is for jobs that can't meet their objective.
	classLate
	// classWorthless is for jobs whose answer will have no value to the caller.
	classWorthless
)

// rankedJob is a waiting job with its sort keys.
type rankedJob struct {
	job   *jobState
	class int
	// orderTime orders the jobs of a class: the latest time for a start that
	// meets the objective, or the arrival.
	orderTime time.Time
}

// sortWaiting sorts the waiting jobs by class. Within classOnTime the job with
// the least slack to its objective goes first, within the others the earliest
// arrival.
func (cell *Cell) sortWaiting() {
	rankedJobs := cell.rankedBuffer[:0]
	for _, job := range cell.waitingJobs {
		rankedJobs = append(rankedJobs, cell.rankJob(job))
	}
	cell.rankedBuffer = rankedJobs
	slices.SortStableFunc(rankedJobs, compareRankedJobs)
	for i := range rankedJobs {
		cell.waitingJobs[i] = rankedJobs[i].job
	}
}

func compareRankedJobs(a, b rankedJob) int {
	if a.class != b.class {
		return a.class - b.class
	}
	return a.orderTime.Compare(b.orderTime)
}

func (cell *Cell) rankJob(job *jobState) rankedJob {
	ranking := rankedJob{
		job:       job,
		orderTime: job.arrival,
	}
	predicted := job.predictRunTime(job.chainEstimate, cell.fastestSpeed(job.submitted.Service))
	finishAt := cell.now.Add(predicted)
	switch {
	case !finishAt.After(job.target):
		ranking.class = classOnTime
		ranking.orderTime = job.target.Add(-predicted)
	case !finishAt.After(job.worthlessAt):
		ranking.class = classLate
	default:
		ranking.class = classWorthless
	}
	return ranking
}

// placeJob starts the waiting tasks of one job as far as capacity allows, and
// reports whether it started any. muchIdle is set if more than IdleShare of the
// cores is free.
func (cell *Cell) placeJob(job *jobState, usable []*upstreamState, muchIdle bool) bool {
	if !cell.mayStartTasks(job) {
		return false
	}
	started := false
	for _, task := range job.tasks {
		if task.status != taskWaiting || cell.liveRuns[task.name] > 0 {
			continue
		}
		upstream := cell.chooseUpstream(job, task, usable, muchIdle)
		if upstream == nil {
			// The other tasks of the step have the same needs.
			if len(job.submitted.Steps) == 1 {
				break
			}
			continue
		}
		cell.startRun(job, task, upstream)
		started = true
	}
	return started
}

// chooseUpstream returns the upstream for a task: the slowest one that meets
// the objective, or the fastest one if much capacity is idle or none meets it.
// It returns nil if no upstream has capacity, or if the task should wait for a
// faster one. The usable upstreams are sorted by speed, the fastest first.
func (cell *Cell) chooseUpstream(job *jobState, task *taskState, usable []*upstreamState, muchIdle bool) *upstreamState {
	step := &job.submitted.Steps[task.name.Step]
	fastEnough := cell.countFastEnough(job, step, usable)
	if muchIdle {
		for _, upstream := range usable[:fastEnough] {
			if cell.suitable(upstream, job, task, step) {
				return upstream
			}
		}
	} else {
		for i := fastEnough - 1; i >= 0; i-- {
			if cell.suitable(usable[i], job, task, step) {
				return usable[i]
			}
		}
	}
	earliestFinish := cell.now.Add(job.predictRunTime(step.Estimate, cell.fastestSpeed(job.submitted.Service)))
	if earliestFinish.Before(job.target) {
		return nil
	}
	for _, upstream := range usable[fastEnough:] {
		if cell.suitable(upstream, job, task, step) {
			return upstream
		}
	}
	return nil
}

// countFastEnough returns the number of upstreams, from the fastest on, on
// which a task meets its job's objective.
func (cell *Cell) countFastEnough(job *jobState, step *Step, usable []*upstreamState) int {
	timeLeft := float64(job.target.Sub(cell.now))
	if timeLeft <= 0 {
		return 0
	}
	minSpeed := job.ratio * float64(step.Estimate) / timeLeft
	return sort.Search(len(usable), func(i int) bool { return usable[i].speed < minSpeed })
}

// suitable reports whether a task may run on an upstream.
func (cell *Cell) suitable(upstream *upstreamState, job *jobState, task *taskState, step *Step) bool {
	if upstream.listing.Service != job.submitted.Service || upstream.usedSlots >= upstream.listing.Slots || !upstream.free.fits(step.Need) {
		return false
	}
	if (upstream.probing && upstream.usedSlots > 0) || upstream.nextColdStartAt.After(cell.now) {
		return false
	}
	if task.failures > 0 && (upstream.consecutiveFailures > 0 || upstream.probing || upstream.listing.ID == task.avoidedUpstream) {
		return false
	}
	if !cell.entryAllows(upstream, step) {
		return false
	}
	return step.MaxPerUpstream <= 0 || upstream.countStepTasks(task.name) < step.MaxPerUpstream
}

// countStepTasks returns how many tasks of the named task's step run on the
// upstream.
func (upstream *upstreamState) countStepTasks(name TaskName) int {
	count := 0
	for runName := range upstream.runs {
		if runName.Task.Job == name.Job && runName.Task.Step == name.Step {
			count++
		}
	}
	return count
}
