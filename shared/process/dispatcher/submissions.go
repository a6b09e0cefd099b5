package dispatcher

import (
	"fmt"

	"tanagerfall/shared/process/logevent"
	"tanagerfall/shared/request/cell"
)

// countBits is the number of bits in which a process counts what it sends.
const countBits = 32

// processNumber returns the number of a submission or request that peers name in their reply.
// The upper bits distinguish the process from earlier ones at its address, which may still get
// replies.
func (loop *loop) processNumber(count uint64) uint64 {
	return loop.view.Self().Incarnation<<countBits + count
}

// Reasons for which a job is submitted again.
const (
	resubmitStreamReplaced = "stream replaced"
	resubmitDropped        = "dropped by the scheduler"
	resubmitFollows        = "follows another scheduler"
	resubmitReleased       = "scheduler stepped down"
	resubmitDeclined       = "declined"
	resubmitLost           = "scheduler lost"
	resubmitDivided        = "region divided"
)

// numberSubmission gives a submission to the job's scheduler the next number, and records
// in the job what is known of the earlier submissions.
func (loop *loop) numberSubmission(heldJob *heldJob) {
	loop.submissions++
	heldJob.submission = loop.processNumber(loop.submissions)
	if heldJob.scheduler != heldJob.lastScheduler || heldJob.settled {
		if heldJob.lastScheduler != "" {
			heldJob.settledBefore = heldJob.settledBefore && heldJob.settled
		}
		heldJob.lastScheduler = heldJob.scheduler
		heldJob.firstSubmission = heldJob.submission
	}
	heldJob.settled = false
	heldJob.job.Submission = heldJob.submission
	heldJob.job.FirstSubmission = heldJob.firstSubmission
	heldJob.job.NotStartedBefore = heldJob.settledBefore
	heldJob.job.NotStarted = heldJob.settledBefore && heldJob.firstSubmission == heldJob.submission
}

// neverStarted reports whether no scheduler has the job, and none has ordered a start.
func (heldJob *heldJob) neverStarted() bool {
	return heldJob.submissions == 0 || (heldJob.scheduler == "" && heldJob.settled && heldJob.settledBefore)
}

// recordResubmission logs and counts a submission that is not the first one of a job.
func (loop *loop) recordResubmission(heldJob *heldJob, job *cell.Job) {
	loop.dispatcher.instruments.increment(fmt.Sprintf("%s{reason=%q}", metricResubmissions, heldJob.resubmitReason))
	loop.log(logevent.JobResubmitted, "job", job.ID, "scheduler", heldJob.scheduler, "reason", heldJob.resubmitReason,
		"submission", job.Submission, "first", job.FirstSubmission, "generation", job.Generation, "quarantine", job.Quarantine, "not-started", job.NotStarted)
	heldJob.resubmitReason = ""
}

// coveredBy reports whether a reply to a submission, 0 if it does not name one, is about all
// submissions to its sender. Earlier versions don't name the submission.
func (heldJob *heldJob) coveredBy(submission uint64) bool {
	return submission != 0 || heldJob.submission == heldJob.firstSubmission
}

// answeredJob returns the held job that a scheduler's reply is about. A reply to an earlier
// submission is ignored, because the last one may be accepted.
func (loop *loop) answeredJob(from, id string, submission uint64, reply string) (*heldJob, bool) {
	heldJob, known := loop.heldJobs[id]
	if !known {
		return nil, false
	}
	if heldJob.scheduler != from || (submission != 0 && submission != heldJob.submission) {
		loop.dispatcher.instruments.increment(metricRepliesIgnored)
		loop.log(logevent.ReplyIgnored, "job", id, "member", from, "reply", reply, "submission", submission,
			"scheduler", heldJob.scheduler, "last", heldJob.submission)
		return nil, false
	}
	return heldJob, true
}
