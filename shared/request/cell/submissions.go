package cell

import (
	"slices"
	"time"
)

// maxEndedSubmissions bounds the memory of ended submissions.
const maxEndedSubmissions = 10_000

// Holder is an entry VM that holds a job for its callers.
type Holder struct {
	EntryVM string
	// Submission is the last submission of the job that the Cell received from EntryVM, and
	// Generation the Job.Generation of it.
	Submission uint64
	Generation int
}

// submitter identifies the submissions of a job by one entry VM.
type submitter struct {
	job     string
	entryVM string
}

// endedSubmission is what became of a submission whose job the Cell does not have any more.
type endedSubmission struct {
	number uint64
	// answer is nil if the job was withdrawn or handed over.
	answer *AnswerJob
	// neverStarted is set if no Cell had ordered a start of the job.
	neverStarted bool
	endedAt      time.Time
}

// endedSubmissions holds the last ended submission of each submitter. A submission that
// crosses with the reply to an earlier one must neither run a job that was refused nor count
// as one that may have run.
type endedSubmissions struct {
	last map[submitter]endedSubmission
	// queue holds the ends in their order.
	queue []submissionEnd
}

// submissionEnd identifies an ended submission.
type submissionEnd struct {
	key     submitter
	number  uint64
	endedAt time.Time
}

func (ended *endedSubmissions) add(key submitter, submission endedSubmission) {
	if submission.number == 0 {
		return
	}
	if len(ended.queue) >= maxEndedSubmissions {
		ended.forgetFirst(maxEndedSubmissions / 8)
	}
	ended.last[key] = submission
	ended.queue = append(ended.queue, submissionEnd{
		key:     key,
		number:  submission.number,
		endedAt: submission.endedAt,
	})
}

// expire forgets the submissions that ended before a time.
func (ended *endedSubmissions) expire(before time.Time) {
	expired := 0
	for expired < len(ended.queue) && ended.queue[expired].endedAt.Before(before) {
		expired++
	}
	ended.forgetFirst(expired)
}

// forgetFirst forgets the first ends of the queue.
func (ended *endedSubmissions) forgetFirst(count int) {
	for _, end := range ended.queue[:count] {
		if ended.last[end.key].number == end.number {
			delete(ended.last, end.key)
		}
	}
	ended.queue = slices.Delete(ended.queue, 0, count)
}

// rememberAnswer records the answer to a submission.
func (cell *Cell) rememberAnswer(decision AnswerJob) {
	if decision.Answer.Result == Completed {
		return
	}
	cell.ended.add(submitter{
		job:     decision.Answer.ID,
		entryVM: decision.EntryVM,
	}, endedSubmission{
		number:       decision.Answer.Submission,
		answer:       &decision,
		neverStarted: decision.Answer.Result == NotRun,
		endedAt:      cell.now,
	})
}

// rememberUnanswered records that a job is removed without an answer to its holder.
func (cell *Cell) rememberUnanswered(job *jobState, holder Holder) {
	cell.ended.add(submitter{
		job:     job.submitted.ID,
		entryVM: holder.EntryVM,
	}, endedSubmission{
		number:       holder.Submission,
		neverStarted: !job.mayHaveRun() && !job.startOrdered,
		endedAt:      cell.now,
	})
}

// lastEnded returns the last ended submission of a job by the entry VM that submits it.
func (cell *Cell) lastEnded(event *JobSubmitted) (endedSubmission, bool) {
	ended, known := cell.ended.last[submitter{
		job:     event.Job.ID,
		entryVM: event.EntryVM,
	}]
	return ended, known
}

// repeatAnswer answers a submission as the Cell has answered an earlier one that the entry VM
// knows no reply to, and reports whether it did. A submission that a later one has
// overtaken is ignored.
func (cell *Cell) repeatAnswer(event JobSubmitted) bool {
	ended, known := cell.lastEnded(&event)
	switch {
	case !known || event.Job.Submission == 0:
		return false
	case event.Job.Submission <= ended.number:
		return true
	case event.Job.FirstSubmission > ended.number || ended.answer == nil:
		return false
	}
	decision := *ended.answer
	if decision.Answer.Result == NotRun && cell.startedJobs.contains(event.Job.ID) {
		// The job has been started for another entry VM since.
		return false
	}
	decision.Answer.Submission = event.Job.Submission
	cell.rememberAnswer(decision)
	cell.decide(decision)
	return true
}

// neverStartedHere reports whether the Cell had the job of a submission before and knows that
// no start was ordered.
func (cell *Cell) neverStartedHere(event *JobSubmitted) bool {
	ended, known := cell.lastEnded(event)
	return known && ended.neverStarted && event.Job.FirstSubmission <= ended.number && event.Job.ResentAfter == 0
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

func (cell *Cell) withdraw(entryVM, id string) {
	job, ok := cell.jobs[id]
	if !ok {
		return
	}
	index := job.holderIndex(entryVM)
	if index < 0 {
		return
	}
	holder := job.holders[index]
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
		cell.withdraw(entryVM, id)
	}
}

// holderIndex returns the index of an entry VM among the holders, or -1.
func (job *jobState) holderIndex(entryVM string) int {
	return slices.IndexFunc(job.holders, func(holder Holder) bool { return holder.EntryVM == entryVM })
}
