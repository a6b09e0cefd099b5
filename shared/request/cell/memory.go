package cell

const (
	// jobBytes, stepBytes and taskBytes are the memory that a job, a step and a task
	// take beside their texts.
	jobBytes  = 1024
	stepBytes = 192
	taskBytes = 160
	// smallJobBytes is the memory up to which a job may use the reserve.
	smallJobBytes = 64 << 10
	// memoryReserve is the share of Limits.MaxJobBytes that is for small jobs.
	memoryReserve = 0.25
)

// MemoryCost returns the memory that a job takes where it waits for its answer.
func (job *Job) MemoryCost() int64 {
	cost := int64(jobBytes + len(job.ID) + len(job.Spec))
	for i := range job.Steps {
		step := &job.Steps[i]
		cost += int64(stepBytes + 8*len(step.DependsOn) + len(step.Label) + len(step.NearRack))
	}
	return cost
}

// scheduledCost returns the memory that a job takes in a Cell.
func (job *Job) scheduledCost() int64 {
	cost := job.MemoryCost()
	for i := range job.Steps {
		cost += taskBytes * int64(job.Steps[i].Count)
	}
	return cost
}

// admitsCost reports whether there is memory for a job. One that may have been started is
// always admitted, because it can't be reported as not run.
func (cell *Cell) admitsCost(job *Job) bool {
	limit := cell.config.Limits.MaxJobBytes
	mayHaveRun := !job.neverStarted() || cell.startedJobs.contains(job.ID) || len(cell.orphans[job.ID]) > 0 || len(cell.earlyEnds[job.ID]) > 0
	if limit <= 0 || mayHaveRun {
		return true
	}
	cost := job.scheduledCost()
	if cost > smallJobBytes {
		limit = int64((1 - memoryReserve) * float64(limit))
	}
	return cell.heldBytes+cost <= limit
}

// refuseForMemory answers a job for which there is no memory as not run.
func (cell *Cell) refuseForMemory(event JobSubmitted) {
	cell.counters.NotRun++
	decision := AnswerJob{
		EntryVM: event.EntryVM,
		Answer: Answer{
			ID:         event.Job.ID,
			Result:     NotRun,
			Reason:     "memory",
			RetryAfter: cell.servicePlan(event.Job.Service).planner.RetryAfter(event.Job.ID),
			Submission: event.Job.Submission,
		},
	}
	cell.rememberAnswer(decision)
	cell.decide(decision)
}
