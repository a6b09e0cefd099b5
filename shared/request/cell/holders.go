package cell

import "slices"

// Holder is an entry VM that holds a job for its callers.
type Holder struct {
	EntryVM string
	// Submission is the last submission of the job that the Cell received from EntryVM, and
	// Generation the Job.Generation of it.
	Submission uint64
	Generation int
}

// join applies a submission of a job that the Cell has.
func (cell *Cell) join(job *jobState, event JobSubmitted) {
	submitted := &event.Job
	index := job.holderIndex(event.EntryVM)
	switch {
	case index < 0:
		job.holders = append(job.holders, Holder{
			EntryVM:    event.EntryVM,
			Submission: submitted.Submission,
			Generation: submitted.Generation,
		})
		if !submitted.NotStartedBefore || !cell.neverStartedHere(&event) {
			cell.addHistory(job, submitted)
		}
	case submitted.Submission > 0 && submitted.Submission <= job.holders[index].Submission:
		return
	default:
		if !job.holders[index].isFollowedBy(submitted) {
			cell.addHistory(job, submitted)
		}
		job.holders[index].Submission = submitted.Submission
		job.holders[index].Generation = submitted.Generation
	}
	job.deadline = laterOf(job.deadline, cell.now.Add(submitted.TimeLeft))
}

// awaitQuarantine polls the upstreams that may have runs of a job.
func (cell *Cell) awaitQuarantine(job *jobState) {
	cell.quarantinedUntil = laterOf(cell.quarantinedUntil, job.quarantineEnd)
	cell.askRemoved(job)
	cell.verifyService(job.submitted.Service)
}

// isFollowedBy reports whether no submission to another scheduler lies between the last one of
// the holder and this one. Earlier versions don't number their submissions, but count them.
func (holder Holder) isFollowedBy(submitted *Job) bool {
	if submitted.Submission == 0 {
		return submitted.Generation <= holder.Generation+1 && submitted.ResentAfter == 0
	}
	return submitted.FirstSubmission <= holder.Submission
}

// addHistory adds what a submission says of other Cells to a job that this Cell has. They may
// have runs of the job, unless it has been started here.
func (cell *Cell) addHistory(job *jobState, submitted *Job) {
	known := &job.submitted
	if submitted.neverStarted() {
		return
	}
	known.ResentAfter = max(known.ResentAfter, submitted.ResentAfter)
	known.Generation = max(known.Generation, submitted.Generation)
	known.NotStarted = false
	for _, task := range job.tasks {
		task.runNumber = max(task.runNumber, known.Generation*runsPerGeneration)
	}
	if submitted.Quarantine == 0 || job.startOrdered || job.started {
		return
	}
	known.Released = false
	known.RunsElsewhere = known.RunsElsewhere || submitted.RunsElsewhere
	for _, set := range submitted.EarlierSets {
		if !slices.Contains(known.EarlierSets, set) {
			known.EarlierSets = append(known.EarlierSets, set)
		}
	}
	known.Quarantine = max(known.Quarantine, submitted.Quarantine)
	job.quarantineEnd = laterOf(job.quarantineEnd, cell.now.Add(submitted.Quarantine))
	job.submittedAt = cell.now
	job.startsAllowed = false
	cell.awaitQuarantine(job)
}

func (cell *Cell) withdraw(event JobWithdrawn) {
	job, ok := cell.jobs[event.ID]
	if !ok {
		return
	}
	index := job.holderIndex(event.EntryVM)
	if index < 0 {
		return
	}
	holder := job.holders[index]
	if event.Through != 0 && holder.Submission > event.Through {
		// The entry VM has submitted the job again since.
		return
	}
	job.holders = slices.Delete(job.holders, index, index+1)
	cell.rememberUnanswered(job, holder)
	if len(job.holders) == 0 {
		cell.removeJob(job, "withdrawn")
	}
}

// HasJob reports whether the Cell has a job.
func (cell *Cell) HasJob(id string) bool {
	_, ok := cell.jobs[id]
	return ok
}

// HoldsJobsOf reports whether the Cell has a job of an entry VM.
func (cell *Cell) HoldsJobsOf(entryVM string) bool {
	for _, job := range cell.jobs {
		if job.holderIndex(entryVM) >= 0 {
			return true
		}
	}
	return false
}

func (cell *Cell) withdrawEntryVM(entryVM string) {
	for _, id := range cell.jobIDs() {
		cell.withdraw(JobWithdrawn{
			EntryVM: entryVM,
			ID:      id,
		})
	}
}

// holderIndex returns the index of an entry VM among the holders, or -1.
func (job *jobState) holderIndex(entryVM string) int {
	return slices.IndexFunc(job.holders, func(holder Holder) bool { return holder.EntryVM == entryVM })
}
