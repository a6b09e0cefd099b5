package cell

import (
	"maps"
	"slices"
	"time"
)

// trial holds what a Cell would do during a call of Explain. While Cell.trial is set, starts
// reserve their capacity until the end of the placement, and refusals have no effect.
type trial struct {
	job *jobState
	// considered holds the upstreams as they are before any job is placed.
	considered []UpstreamExplanation
	starts     []trialStart
	refused    *Explanation
	// coldStarts holds the changed values of nextColdStartAt as they were.
	coldStarts map[*upstreamState]time.Time
}

// trialStart is a start of a task of the explained job.
type trialStart struct {
	upstream *upstreamState
	runTime  time.Duration
}

// start records a start, and takes its capacity from the jobs behind it.
func (trial *trial) start(cell *Cell, job *jobState, task *taskState, upstream *upstreamState) {
	step := &job.submitted.Steps[task.name.Step]
	cell.reserve(upstream, task, step.Need)
	if _, known := trial.coldStarts[upstream]; !known {
		trial.coldStarts[upstream] = upstream.nextColdStartAt
	}
	cell.recordColdStart(&runState{
		upstream: upstream,
	})
	job.startOrdered = true
	if job == trial.job {
		trial.starts = append(trial.starts, trialStart{
			upstream: upstream,
			runTime:  job.predictRunTime(step.Estimate, upstream.speed),
		})
	}
}

// try submits a job and places the waiting tasks without any effect on the Cell, and returns
// what was decided. plan is called with the service's plan as it is then.
func (cell *Cell) try(now time.Time, submitted Job, plan func(plan *servicePlan)) *trial {
	saved := *cell
	savedJobs := make([]jobState, len(cell.waitingJobs))
	for i, job := range cell.waitingJobs {
		savedJobs[i] = *job
	}
	cell.decisions = nil
	cell.copyPlans()
	cell.slacks = maps.Clone(cell.slacks)
	cell.waitingJobs = slices.Clone(cell.waitingJobs)
	if now.After(cell.now) {
		cell.now = now
	}
	job := cell.newJobState(submitted)
	trial := &trial{
		job:        job,
		coldStarts: make(map[*upstreamState]time.Time),
	}
	cell.trial = trial
	cell.unblockTasks(job)
	cell.jobs[submitted.ID] = job
	cell.enqueue(job)
	cell.servicePlan(submitted.Service).planner.Arrived(cell.now, cell.admissionJob(job))
	trial.considered = cell.explainUpstreams(job)
	// The job waits at most until the next round.
	cell.plannedAt = time.Time{}
	cell.placeTasks()
	plan(cell.servicePlan(submitted.Service))

	delete(cell.jobs, submitted.ID)
	for upstream, nextColdStartAt := range trial.coldStarts {
		upstream.nextColdStartAt = nextColdStartAt
	}
	for i, job := range saved.waitingJobs {
		*job = savedJobs[i]
	}
	*cell = saved
	return trial
}

// copyPlans replaces the plans by copies.
func (cell *Cell) copyPlans() {
	plans := make(map[string]*servicePlan, len(cell.plans))
	order := make([]*servicePlan, 0, len(cell.planOrder))
	for _, original := range cell.planOrder {
		plan := *original
		plan.planner = original.planner.Clone()
		plan.waiting, plan.jobs, plan.refused, plan.releases = nil, nil, nil, nil
		plans[plan.service] = &plan
		order = append(order, &plan)
	}
	cell.plans = plans
	cell.planOrder = order
}
