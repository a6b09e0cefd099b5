package cell

import (
	"slices"
	"time"
)

// maxEndedSubmissions bounds the memory of ended submissions.
const maxEndedSubmissions = 10_000

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

// repeatAnswer reports whether nothing else is to be done about a submission: a later one has
// overtaken it, or the Cell has answered one before it in the same row and answers it the same.
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
