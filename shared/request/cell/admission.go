package cell

import (
	"math"
	"time"

	"tanagerfall/shared/request/admission"
)

const (
	// overloadFrom and overloadUntil are the loads at which a service becomes overloaded
	// and stops being so. The distance prevents a change with each job.
	overloadFrom  = 1.0
	overloadUntil = 0.9
	// releaseStep is the resolution of the predicted ends of runs, and releaseSteps their
	// number. Later ends count as the last.
	releaseStep  = 5 * time.Millisecond
	releaseSteps = 256
	// verificationTime is how long an upstream is taken to need for its first answer.
	verificationTime = 50 * time.Millisecond
	// packingGain is the weight of a round in the measured packing, and minPacking the
	// least packing that counts.
	packingGain = 0.02
	minPacking  = 0.4
	// sustainedTime is how long a service must be overloaded before jobs are refused
	// because others need the capacity. The rate of a short burst says little about the
	// work that follows, and the queue can often be served.
	sustainedTime = 100 * time.Millisecond
	// maxDeferral is how long a job waits in a sustained overload although it is
	// predicted to miss its objective.
	maxDeferral = 200 * time.Millisecond
)

// servicePlan decides about the waiting jobs of one service.
type servicePlan struct {
	service string
	planner *admission.Planner
	// overloaded is set while not all jobs can meet their objectives.
	overloaded bool
	// overloadedSince is when overloaded was last set.
	overloadedSince time.Time
	load            float64
	deferred        int
	// unplaced counts the jobs that the current placement tried without success.
	unplaced int
	// packing is the share of the cores that runs occupied while tasks waited. Parts of
	// upstreams that are too small for a task stay free.
	packing float64
	// capacity is that of all upstreams, in thousandths of a core.
	capacity int
	// waiting and jobs are the jobs of the last round, and refused the jobs that it wants
	// refused.
	waiting  []*jobState
	jobs     []admission.Job
	refused  []refusedJob
	releases []admission.Release
	// releaseCores holds the thousandths of cores that runs free, by releaseStep.
	releaseCores [releaseSteps]int
	// rooms holds the results of Cell.room since the last round.
	rooms map[roomKey]int
}

// refusedJob is a job that a round wants refused.
type refusedJob struct {
	job     *jobState
	refusal admission.Refusal
}

// servicePlan returns the plan of a service.
func (cell *Cell) servicePlan(service string) *servicePlan {
	plan, known := cell.plans[service]
	if !known {
		limits := cell.config.Limits
		plan = &servicePlan{
			service: service,
			planner: admission.New(admission.Config{
				MinRetryAfter: limits.MinRetryAfter,
				MaxRetryAfter: limits.MaxRetryAfter,
			}),
			packing: 1,
			rooms:   make(map[roomKey]int),
		}
		cell.plans[service] = plan
		cell.planOrder = append(cell.planOrder, plan)
	}
	return plan
}

// mayHaveRun reports whether a task of the job may have run, here or elsewhere.
func (job *jobState) mayHaveRun() bool {
	return job.started || job.ranBefore || job.activeTasks > 0 || !job.submitted.neverStarted()
}

// uselessAt returns the time from which an answer is of no use: it has no value, or its
// caller has left.
func (cell *Cell) uselessAt(job *jobState) time.Time {
	deadline := job.deadline.Add(-cell.config.Limits.AnswerMargin)
	if deadline.Before(job.worthlessAt) {
		return deadline
	}
	return job.worthlessAt
}

// admissionJob describes a job to a Planner. Tasks of steps with different needs count
// with their mean need.
func (cell *Cell) admissionJob(job *jobState) admission.Job {
	described := admission.Job{
		ID:          job.submitted.ID,
		Kind:        job.submitted.Kind,
		Domain:      job.submitted.Domain,
		Key:         job.submitted.Steps[0].NearRack,
		Priority:    job.submitted.Priority,
		Arrival:     job.arrival,
		Target:      job.target,
		WorthlessAt: cell.uselessAt(job),
		Tasks:       job.waitingTasks,
		Remaining:   job.predictRunTime(job.chainEstimate, 1),
		LogStdDev:   cell.config.Estimator.LogStdDev(job.submitted.Kind),
		Started:     job.mayHaveRun() || job.startOrdered,
	}
	if len(job.submitted.Steps) == 1 {
		step := &job.submitted.Steps[0]
		described.MilliCores = step.Need.MilliCores
		described.RunTime = described.Remaining
		return described
	}
	milliCores := 0
	for _, task := range job.tasks {
		if task.status == taskWaiting {
			step := &job.submitted.Steps[task.name.Step]
			milliCores += step.Need.MilliCores
			described.RunTime = max(described.RunTime, job.predictRunTime(step.Estimate, 1))
		}
	}
	described.MilliCores = milliCores / max(job.waitingTasks, 1)
	return described
}

// planWaiting orders the waiting jobs of each service as its Planner decides, and records
// which ones it wants refused. Jobs that may not start yet come last.
func (cell *Cell) planWaiting() {
	for _, plan := range cell.planOrder {
		plan.waiting = plan.waiting[:0]
		plan.jobs = plan.jobs[:0]
		plan.refused = plan.refused[:0]
	}
	blocked := cell.blockedBuffer[:0]
	for _, job := range cell.waitingJobs {
		job.held = false
		if !cell.mayStartTasks(job) {
			blocked = append(blocked, job)
			continue
		}
		plan := cell.servicePlan(job.submitted.Service)
		plan.waiting = append(plan.waiting, job)
		plan.jobs = append(plan.jobs, cell.admissionJob(job))
	}
	cell.blockedBuffer = blocked
	ordered := cell.waitingJobs[:0]
	for _, plan := range cell.planOrder {
		ordered = append(ordered, cell.planService(plan)...)
	}
	cell.waitingJobs = append(ordered, blocked...)
}

// planService runs a round for one service and returns its jobs in their order, including
// those to be refused at the end.
func (cell *Cell) planService(plan *servicePlan) []*jobState {
	plan.load = 0
	plan.deferred = 0
	if len(plan.jobs) == 0 {
		plan.setOverloaded(cell.now, 0)
		return nil
	}
	result := plan.planner.Plan(cell.now, plan.jobs, cell.capacity(plan))
	plan.load = result.Load
	if plan.capacity == 0 {
		// Nothing is known of upstreams that do not answer yet, or not for now.
		result.Load = 0
	}
	plan.setOverloaded(cell.now, result.Load)
	ordered := cell.orderedBuffer[:0]
	for _, index := range result.Order {
		job := plan.waiting[index]
		job.held = result.Hold[index]
		if result.Deferred[index] {
			plan.deferred++
		}
		if cell.refuses(plan) && !job.mayHaveRun() && cell.missesTarget(job, result.Deferred[index]) {
			plan.refused = append(plan.refused, refusedJob{
				job: job,
				refusal: admission.Refusal{
					ID:         job.submitted.ID,
					Reason:     admission.ReasonOverload,
					RetryAfter: plan.planner.RetryAfter(job.submitted.ID),
				},
			})
		}
		ordered = append(ordered, job)
	}
	for _, refusal := range result.Refused {
		job := cell.jobs[refusal.ID]
		plan.refused = append(plan.refused, refusedJob{
			job:     job,
			refusal: refusal,
		})
		job.held = true
		ordered = append(ordered, job)
	}
	cell.orderedBuffer = ordered
	return ordered
}

// missesTarget reports whether a job can't meet its objective any more, or has been deferred
// for so long that its caller should try elsewhere.
func (cell *Cell) missesTarget(job *jobState, deferred bool) bool {
	fastest := job.predictRunTime(job.chainEstimate, cell.fastestSpeed(job.submitted.Service))
	return cell.now.Add(fastest).After(job.target) || deferred && cell.now.Sub(job.submittedAt) >= maxDeferral
}

// setOverloaded updates overloaded with hysteresis.
func (plan *servicePlan) setOverloaded(now time.Time, load float64) {
	switch {
	case !plan.overloaded && load > overloadFrom:
		plan.overloaded = true
		plan.overloadedSince = now
	case load <= overloadUntil:
		plan.overloaded = false
	}
}

// endIdleOverloads ends the overload of all services once no job has waited for a while:
// without jobs there are no rounds.
func (cell *Cell) endIdleOverloads() {
	if len(cell.waitingJobs) > 0 || cell.now.Sub(cell.plannedAt) < sustainedTime {
		return
	}
	for _, plan := range cell.planOrder {
		plan.load = 0
		plan.deferred = 0
		plan.setOverloaded(cell.now, 0)
	}
}

// refuses reports whether jobs of the service are refused because others need the capacity:
// it has been overloaded for a while, and this Cell is not just taking over.
func (cell *Cell) refuses(plan *servicePlan) bool {
	return plan.overloaded && cell.now.Sub(plan.overloadedSince) >= sustainedTime && !cell.withinAdoptionWindow()
}

// capacity returns what the upstreams of a service can do. Upstreams that have not answered
// this Cell yet count as capacity that is free soon.
func (cell *Cell) capacity(plan *servicePlan) admission.Capacity {
	clear(plan.releaseCores[:])
	clear(plan.rooms)
	smallestNeed := math.MaxInt
	for i := range plan.jobs {
		smallestNeed = min(smallestNeed, plan.jobs[i].MilliCores)
	}
	capacity := admission.Capacity{
		TopSpeed:              cell.fastestSpeed(plan.service),
		LargestFreeMilliCores: -1,
	}
	total, used, speeds := 0, 0, 0.0
	for _, upstream := range cell.upstreamOrder {
		if upstream.listing.Service != plan.service || !upstream.present || upstream.listing.Leaving || upstream.evacuated {
			continue
		}
		cores := upstream.listing.Capacity.MilliCores
		accepts := cell.acceptsTasks(upstream)
		switch {
		case accepts, upstream.status == upstreamOpen && upstream.usedSlots > 0 && upstream.missedPolls == 0:
		case upstream.status == upstreamUnverified:
			plan.addRelease(verificationTime, cores)
		default:
			continue
		}
		total += cores
		speeds += float64(cores) * upstream.speed
		if upstream.status != upstreamOpen {
			continue
		}
		used += cores - max(upstream.free.MilliCores, 0)
		if accepts && upstream.free.MilliCores >= smallestNeed {
			capacity.FreeMilliCores += upstream.free.MilliCores
			capacity.LargestFreeMilliCores = max(capacity.LargestFreeMilliCores, upstream.free.MilliCores)
		}
		for _, run := range upstream.runs {
			dueAt := run.dueAt
			if run.confirmedAt.IsZero() {
				dueAt = run.sentAt.Add(run.expectedTime)
			}
			plan.addRelease(dueAt.Sub(cell.now), run.need.MilliCores)
		}
	}
	if total > 0 {
		capacity.Speed = speeds / float64(total)
		if plan.overloaded {
			plan.packing += packingGain * (float64(used)/float64(total) - plan.packing)
		}
	}
	plan.capacity = total
	capacity.MilliCores = int(float64(total) * max(plan.packing, minPacking))
	plan.releases = plan.releases[:0]
	for step, cores := range plan.releaseCores {
		if cores > 0 {
			plan.releases = append(plan.releases, admission.Release{
				At:         cell.now.Add(time.Duration(step+1) * releaseStep),
				MilliCores: cores,
			})
		}
	}
	capacity.Releases = plan.releases
	return capacity
}

// addRelease adds capacity that is free after a time.
func (plan *servicePlan) addRelease(after time.Duration, milliCores int) {
	step := min(max(int(after/releaseStep), 0), releaseSteps-1)
	plan.releaseCores[step] += milliCores
}

// refuseJobs refuses the jobs that the last round wants refused, after all others got
// capacity. A job that fits into what is left starts instead.
func (cell *Cell) refuseJobs(muchIdle bool) {
	for _, plan := range cell.planOrder {
		for _, refused := range plan.refused {
			job := refused.job
			if cell.jobs[job.submitted.ID] != job || job.mayHaveRun() || job.startOrdered {
				continue
			}
			job.held = false
			job.lastChance = cell.refuses(plan)
			if refused.refusal.Reason != admission.ReasonHopeless &&
				(cell.placeJob(job, muchIdle) || !job.lastChance) {
				continue
			}
			cell.refuse(job, refused.refusal)
		}
		plan.refused = plan.refused[:0]
	}
}

// refuse answers a job that a Planner refuses. The answer says what the job needs, unless
// it may not be handed to another cell. Each entry VM gets an answer of its own, so that
// several could hand the job to different cells.
func (cell *Cell) refuse(job *jobState, refusal admission.Refusal) {
	if cell.trial != nil {
		cell.trial.refuse(job, refusal)
		return
	}
	cell.counters.Refused++
	if !job.submitted.Spilled && len(job.holders) == 1 {
		job.surplus = &Surplus{
			ID:         job.submitted.ID,
			Service:    job.submitted.Service,
			MilliCores: job.initialNeed(),
		}
	}
	cell.abandon(job, refusal.Reason, refusal.RetryAfter)
}

// recordEnd tells the Planner how a job ended, unless its caller cancelled it.
func (cell *Cell) recordEnd(job *jobState, answer Answer) {
	if answer.Reason == ReasonCancelled || answer.Result == Failed {
		return
	}
	outcome := admission.OutcomeMissed
	if answer.Result == Completed {
		outcome = admission.OutcomeLate
		if !cell.now.After(job.target) {
			outcome = admission.OutcomeOnTime
		}
	}
	if outcome != admission.OutcomeOnTime {
		cell.counters.DiscardedStarts += int64(job.discardedStarts(answer.Result))
	}
	cell.servicePlan(job.submitted.Service).planner.Ended(cell.now, cell.admissionJob(job), outcome)
}

// discardedStarts returns how many tasks of a job that is given up were started.
func (job *jobState) discardedStarts(result Result) int {
	if result == Completed {
		return 0
	}
	started := job.activeTasks
	for _, task := range job.tasks {
		if task.status == taskDone {
			started++
		}
	}
	return started
}
