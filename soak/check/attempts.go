package check

import (
	"fmt"
	"strings"
	"time"
)

// Attempt is a request with which a caller submits a job.
type Attempt struct {
	Job string
	// Process is the name of the process that received the request.
	Process string
	// SentAt is when the request was sent, and EndedAt when it was answered or given up.
	SentAt  time.Time
	EndedAt time.Time
	// Rejected is set if the answer says that the job was not accepted and never runs.
	Rejected bool
}

// String returns all that a trace of a rejected attempt needs.
func (attempt Attempt) String() string {
	return fmt.Sprintf("%s from %s to %s", attempt.Process, attempt.SentAt.Format(timeFormat), attempt.EndedAt.Format(timeFormat))
}

// submission is what is known of a job from its caller's attempts and its starts.
type submission struct {
	attempts []Attempt
	// accepted is set if an attempt was not rejected: the job may run.
	accepted bool
	// pending is set while an attempt has not ended.
	pending bool
	// over is set if no attempt will follow.
	over bool
	// starts holds the starts before the last attempt.
	starts []Run
}

// rejected returns whether every attempt was rejected and none will follow.
func (submission *submission) rejected() bool {
	return submission.over && !submission.accepted && len(submission.attempts) > 0
}

// submission returns that of a job.
func (checker *Checker) submission(job string) *submission {
	known := checker.submissions[job]
	if known == nil {
		known = new(submission)
		checker.submissions[job] = known
	}
	return known
}

// recordSubmissionStart adds a start to the submission of its job. The caller holds the mutex.
func (checker *Checker) recordSubmissionStart(run Run) {
	submission := checker.submission(run.Job)
	switch {
	case submission.rejected():
		checker.addRejectedStart(submission, run)
	case !submission.accepted:
		if !submission.pending && len(submission.attempts) > 0 {
			checker.counts["starts-between-attempts"]++
		}
		submission.starts = append(submission.starts, run)
	}
}

// addRejectedStart adds the violation that a task of a job starts of which every attempt was
// rejected.
func (checker *Checker) addRejectedStart(submission *submission, run Run) {
	attempts := make([]string, len(submission.attempts))
	for i, attempt := range submission.attempts {
		attempts[i] = attempt.String()
	}
	checker.addViolation("task %s starts although every attempt to submit its job was rejected: %s; attempts: %s", run.Task, run,
		strings.Join(attempts, ", "))
}

// RecordSent records that a caller is about to send an attempt.
func (checker *Checker) RecordSent(job string) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.submission(job).pending = true
}

// RecordAttempt records an attempt that has ended, and counts it if it was rejected.
func (checker *Checker) RecordAttempt(attempt Attempt) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	submission := checker.submission(attempt.Job)
	submission.pending = false
	if attempt.Rejected {
		checker.counts["attempts-rejected"]++
		submission.attempts = append(submission.attempts, attempt)
		return
	}
	submission.accepted = true
	submission.starts = nil
}

// RecordLastAttempt records that no attempt to submit a job will follow. If every attempt was
// rejected, it is a violation if a task of the job has started, or starts later.
func (checker *Checker) RecordLastAttempt(job string) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	submission := checker.submission(job)
	submission.over = true
	if !submission.rejected() {
		return
	}
	checker.counts["jobs-rejected"]++
	for _, run := range submission.starts {
		checker.addRejectedStart(submission, run)
	}
	submission.starts = nil
}
