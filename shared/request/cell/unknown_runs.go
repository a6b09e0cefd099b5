package cell

import "time"

// endUnknownRun applies the end of a run that another Cell started.
func (cell *Cell) endUnknownRun(end EndedRun) {
	id := end.Run.Task.Job
	job, ok := cell.jobs[id]
	if ok {
		job.started = true
	} else {
		cell.startedJobs.add(cell.now, id)
	}
	if end.End != EndDone {
		return
	}
	if !ok {
		if cell.withinAdoptionWindow() {
			cell.earlyEnds[id] = append(cell.earlyEnds[id], end.Run.Task)
		}
		return
	}
	if task := job.findTask(end.Run.Task); task != nil && task.currentRun == nil {
		cell.completeTask(job, task)
	}
}

// addUnknownRun records a run that the Cell did not start.
func (cell *Cell) addUnknownRun(upstream *upstreamState, name RunName) *runState {
	limits := cell.config.Limits
	run := &runState{
		name:         name,
		upstream:     upstream,
		status:       runRunning,
		confirmedAt:  cell.now,
		progressedAt: cell.now,
		need: Resources{
			MilliCores: upstream.listing.Capacity.MilliCores / max(unknownRunDivisor, 1),
		},
	}
	cell.addRun(run)
	job, ok := cell.jobs[name.Task.Job]
	if ok {
		cell.adoptRun(job, run)
		return run
	}
	run.orphan = true
	upstream.orphanCount++
	run.orphanDeadline = cell.now.Add(limits.OrphanWindow)
	id := name.Task.Job
	cell.orphans[id] = append(cell.orphans[id], run)
	cell.startedJobs.add(cell.now, id)
	return run
}

// unknownRunDivisor divides an upstream's cores to guess what a run of an
// unknown job occupies.
const unknownRunDivisor = 2

// adoptRun makes a run that another Cell started the current run of its task,
// or stops it if the task is done or has another run.
func (cell *Cell) adoptRun(job *jobState, run *runState) {
	run.orphanDeadline = time.Time{}
	if run.orphan {
		run.orphan = false
		run.upstream.orphanCount--
	}
	task := job.findTask(run.name.Task)
	if task == nil || task.status == taskDone || task.currentRun != nil {
		cell.stopRun(run, "task done or running elsewhere")
		return
	}
	if task.status == taskWaiting {
		job.waitingTasks--
	}
	cell.counters.AdoptedRuns++
	task.status = taskActive
	task.currentRun = run
	task.runNumber = max(task.runNumber, run.name.Number)
	job.activeTasks++
	job.startOrdered = true
	job.started = true
	run.job = job
	run.task = task
	step := job.submitted.Steps[task.name.Step]
	run.need = step.Need
	run.expectedTime = job.predictRunTime(step.Estimate, run.upstream.speed)
	run.upstream.recomputeUsage()
	cell.reindex(run.upstream)
}
