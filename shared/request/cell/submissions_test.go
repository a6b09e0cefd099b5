package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/cell"
)

// numbered returns a job in a submission that is one of several to the same scheduler.
func numbered(job cell.Job, first, submission uint64) cell.Job {
	job.FirstSubmission = first
	job.Submission = submission
	job.NotStartedBefore = true
	if submission > first {
		job.Generation = 1
		job.Quarantine = time.Second
	}
	return job
}

// Guards against a job that is started after it was refused, and against a true refusal that
// is reported as unknown: a submission of it arrives when an earlier one has been answered.
func TestSubmissionAfterTheAnswerIsAnsweredTheSame(t *testing.T) {
	for _, test := range []struct {
		name       string
		first      uint64
		submission uint64
		answered   bool
		held       bool
	}{
		{"repeats the answered one", 7, 8, true, false},
		{"another scheduler may have had it", 8, 9, false, true},
		{"overtaken by the answered one", 6, 6, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			harness := newHarness(t)
			harness.submit(numbered(testJob("j", 1), 7, 7))
			_, decisions := harness.cell.Cancel(harness.now, "j")
			refused := harness.onlyAnswer(decisions)
			assert.Equal(t, refused.Result, cell.NotRun)
			assert.Equal(t, refused.Submission, uint64(7))

			answers := decisionsOf[cell.AnswerJob](harness.handle(cell.JobSubmitted{
				EntryVM: entryVM,
				Job:     numbered(testJob("j", 1), test.first, test.submission),
			}))
			assert.Equal(t, len(answers) == 1, test.answered)
			for _, repeated := range answers {
				refused.Submission = test.submission
				assert.DeepEqual(t, repeated.Answer, refused)
			}
			assert.Equal(t, harness.cell.HasJob("j"), test.held)
		})
	}
}

// Guards against a true refusal that is reported as unknown: the scheduler had withdrawn the
// job of a silent entry VM without a start.
func TestWithdrawnJobWithoutAStartIsReportedAsNotRun(t *testing.T) {
	for _, startOrdered := range []bool{false, true} {
		harness := newHarness(t)
		if startOrdered {
			harness.listUpstreams(nil, "u1")
		}
		starts := harness.submit(numbered(testJob("j", 1), 7, 7))
		assert.Equal(t, len(starts) == 1, startOrdered)
		harness.handle(cell.EntryVMLost{
			EntryVM: entryVM,
		})
		assert.Assert(t, !harness.cell.HasJob("j"))
		harness.submit(numbered(testJob("j", 1), 7, 8))
		_, decisions := harness.cell.Cancel(harness.now, "j")
		assert.Equal(t, harness.onlyAnswer(decisions).Result == cell.NotRun, !startOrdered)
	}
}

// Guards against a refusal that is repeated although the job has been started since, for
// another entry VM to which its caller had sent it as well.
func TestRefusalIsNotRepeatedForAStartedJob(t *testing.T) {
	harness := newHarness(t)
	harness.submit(numbered(testJob("j", 1), 7, 7))
	_, decisions := harness.cell.Cancel(harness.now, "j")
	assert.Equal(t, harness.onlyAnswer(decisions).Result, cell.NotRun)
	harness.listUpstreams(nil, "u1")
	other := cell.JobSubmitted{
		EntryVM: "vm-2#b",
		Job:     numbered(testJob("j", 1), 3, 3),
	}
	assert.Equal(t, len(decisionsOf[cell.StartRun](harness.handle(other))), 1)
	harness.handle(cell.EntryVMLost{
		EntryVM: other.EntryVM,
	})
	harness.submit(numbered(testJob("j", 1), 7, 8))
	_, decisions = harness.cell.Cancel(harness.now, "j")
	assert.Equal(t, harness.onlyAnswer(decisions).Result, cell.Interrupted)
}

// Guards against a reply that the entry VM ignores: it names a submission before the last one
// that the scheduler received.
func TestAnswerNamesTheLastSubmission(t *testing.T) {
	harness := newHarness(t)
	harness.submit(numbered(testJob("j", 1), 7, 7))
	harness.submit(numbered(testJob("j", 1), 7, 9))
	harness.submit(numbered(testJob("j", 1), 7, 8))
	_, decisions := harness.cell.Cancel(harness.now, "j")
	answer := harness.onlyAnswer(decisions)
	assert.Equal(t, answer.Submission, uint64(9))
	assert.Equal(t, answer.Result, cell.NotRun, "the scheduler knows that it has not started the job")
}

// Guards against a job that waits for a quarantine, and is reported as one that may have run,
// although only this Cell had it and never started it: two entry VMs hold it, and one of them
// was silent and submits it again.
func TestJobOfALostHolderKeepsItsHistory(t *testing.T) {
	harness := newFullHarness(t)
	harness.submit(numbered(testJob("j", 1), 7, 7))
	harness.handle(cell.JobSubmitted{
		EntryVM: "vm-2#b",
		Job:     numbered(testJob("j", 1), 3, 3),
	})
	harness.handle(cell.EntryVMLost{
		EntryVM: entryVM,
	})
	harness.submit(numbered(testJob("j", 1), 7, 8))
	harness.now = harness.now.Add(time.Millisecond)
	for _, answer := range harness.cancel("j") {
		assert.Equal(t, answer.Answer.Result, cell.NotRun, answer.EntryVM)
	}
}

// Guards against a job of an entry VM of an earlier version that is delayed by a quarantine
// whenever its connection is replaced: the Cell has the job and ignored such a submission.
func TestUnnumberedSubmissionOfAKnownJobChangesNothing(t *testing.T) {
	harness := newFullHarness(t)
	harness.submit(testJob("j", 1))
	again := testJob("j", 1)
	again.Generation = 1
	again.Quarantine = time.Second
	harness.submit(again)
	assert.Equal(t, len(harness.cell.Release()), 2, "the job waits for a quarantine")
}

// Guards against a waiting job that is missing from the pending jobs of its kind: it ran
// before, and its caller has sent it again.
func TestJobThatIsSentAgainCountsAsPending(t *testing.T) {
	harness := newHarness(t)
	harness.listUpstreams(nil, "u1")
	large := testJob("j", 1)
	large.Steps[0].Need.MilliCores = 16_000
	harness.confirm(harness.submit(large)[0])
	harness.cancel("j")
	assert.Equal(t, len(harness.submit(large)), 0, "the run that is being stopped has the capacity")
	assert.Equal(t, harness.cell.Pending()[large.Kind], 1)
}
