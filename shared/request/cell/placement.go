package cell

import (
	"slices"
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
		upstream.forgetSlowdown(cell.now)
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
	cell.indexUpstreams()
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
	if !cell.placementPending || cell.listOutdated {
		return
	}
	cell.placementPending = false
	cell.dropPlacedJobs()
	if len(cell.waitingJobs) == 0 {
		return
	}
	if cell.planDue() {
		cell.plannedAt = cell.now
		cell.planWaiting()
	}
	muchIdle := cell.muchIdle()
	for _, plan := range cell.planOrder {
		plan.unplaced = 0
	}
	var plan *servicePlan
	for _, job := range cell.waitingJobs {
		if plan == nil || plan.service != job.submitted.Service {
			plan = cell.servicePlan(job.submitted.Service)
		}
		if plan.unplaced >= maxUnplacedJobs {
			if len(cell.planOrder) == 1 {
				break
			}
			continue
		}
		if !job.held && !cell.placeJob(job, muchIdle) {
			plan.unplaced++
		}
	}
	cell.refuseJobs(muchIdle)
	cell.releaseReservations(0)
	cell.dropPlacedJobs()
}

// planDue reports whether a round of planning is due. A single job needs none while much
// capacity is idle, unless the last round held it.
func (cell *Cell) planDue() bool {
	if len(cell.waitingJobs) == 1 && !cell.waitingJobs[0].held && cell.muchIdle() && !cell.servicePlan(cell.waitingJobs[0].submitted.Service).overloaded {
		return false
	}
	return cell.now.Sub(cell.plannedAt) >= planInterval*time.Duration(1+len(cell.waitingJobs)/jobsPerInterval)
}

const (
	// planInterval spaces the rounds in which the waiting jobs are ordered. Slack
	// changes little within it, and sorting hundreds of jobs at each event took the
	// whole processor.
	planInterval = 5 * time.Millisecond
	// jobsPerInterval is the number of waiting jobs with which the interval is twice as
	// long. A round takes 3 ms at 5,000 waiting jobs.
	jobsPerInterval = 500
	// maxUnplacedJobs bounds the jobs of a service that are tried without success, because
	// they need upstreams that are not free, before the rest waits for the next
	// change.
	maxUnplacedJobs = 32
)

func (cell *Cell) dropPlacedJobs() {
	cell.waitingJobs = slices.DeleteFunc(cell.waitingJobs, func(job *jobState) bool {
		job.inWaitingJobs = job.waitingTasks > 0
		return !job.inWaitingJobs
	})
}

// placeJob starts the waiting tasks of one job as far as capacity allows, and
// reports whether it started any. muchIdle is set if more than IdleShare of the
// cores is free. While its service is overloaded, a job starts whole or not at all.
func (cell *Cell) placeJob(job *jobState, muchIdle bool) bool {
	if !cell.mayStartTasks(job) {
		return false
	}
	if cell.startsWhole(job) {
		return cell.placeWhole(job, muchIdle)
	}
	started := false
	for _, task := range job.tasks {
		if task.status != taskWaiting || cell.liveRuns[task.name] > 0 {
			continue
		}
		upstream := cell.chooseUpstream(job, task, muchIdle)
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
// faster one and can.
func (cell *Cell) chooseUpstream(job *jobState, task *taskState, muchIdle bool) *upstreamState {
	index, known := cell.indexes[job.submitted.Service]
	if !known {
		return nil
	}
	step := &job.submitted.Steps[task.name.Step]
	need := step.Need.MilliCores
	fastEnough := index.countFastEnough(job, step, cell.now)
	if muchIdle {
		for i := index.next(0, need); i >= 0 && i < fastEnough; i = index.next(i+1, need) {
			if cell.suitable(index.bySpeed[i], job, task, step) {
				return index.bySpeed[i]
			}
		}
	} else {
		for i := index.previous(fastEnough-1, need); i >= 0; i = index.previous(i-1, need) {
			if cell.suitable(index.bySpeed[i], job, task, step) {
				return index.bySpeed[i]
			}
		}
	}
	earliestFinish := cell.now.Add(job.predictRunTime(step.Estimate, cell.fastestSpeed(job.submitted.Service)))
	if earliestFinish.Before(job.target) && !job.lastChance {
		return nil
	}
	for i := index.next(fastEnough, need); i >= 0; i = index.next(i+1, need) {
		if cell.suitable(index.bySpeed[i], job, task, step) {
			if cell.endsUseless(job, step, index.bySpeed[i]) {
				return nil
			}
			return index.bySpeed[i]
		}
	}
	return nil
}

// countFastEnough returns the number of upstreams, from the fastest on, on
// which a task meets its job's objective.
func (index *speedIndex) countFastEnough(job *jobState, step *Step, now time.Time) int {
	timeLeft := float64(job.target.Sub(now))
	if timeLeft <= 0 {
		return 0
	}
	return index.fastEnough(job.ratio * float64(step.Estimate) / timeLeft)
}

// suitable reports whether a task may run on an upstream.
func (cell *Cell) suitable(upstream *upstreamState, job *jobState, task *taskState, step *Step) bool {
	if !cell.acceptsTasks(upstream) || !upstream.free.fits(step.Need) {
		return false
	}
	if task.failures > 0 && (upstream.consecutiveFailures > 0 || upstream.probing || upstream.listing.ID == task.avoidedUpstream) {
		return false
	}
	if !cell.entryAllows(upstream, step) || cell.reservesColdStart(upstream) {
		return false
	}
	return step.MaxPerUpstream <= 0 || upstream.countStepTasks(task.name)+cell.countReserved(upstream, task.name) < step.MaxPerUpstream
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
