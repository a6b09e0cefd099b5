package dispatcher

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"tanagerfall/shared/connection/link"
	"tanagerfall/shared/process/logevent"
	"tanagerfall/shared/request/cell"
	"tanagerfall/shared/version/region"
)

const schedulerAddress = "10.0.0.9:1"

// newEntryVMLoop returns the loop of an entry VM that follows the scheduler at
// schedulerAddress.
func newEntryVMLoop(t *testing.T) *loop {
	t.Helper()
	dispatcher := New(Options{
		Self: region.Member{
			Address:     "10.0.0.1:1",
			Incarnation: 1,
		},
		Logger: logevent.New(io.Discard, log.ErrorLevel, "test"),
		Limits: cell.DefaultLimits(),
	})
	loop := dispatcher.loop
	loop.ctx = context.Background()
	loop.now = time.Unix(1_000_000, 0)
	loop.leader = schedulerAddress
	return loop
}

// testJobTime is the time until the deadline of the job "j".
const testJobTime = 2 * time.Second

// acceptTestJob accepts a job with the ID "j" and returns its answer channel.
func (loop *loop) acceptTestJob() chan cell.Answer {
	answer := make(chan cell.Answer, 1)
	loop.acceptCallerJob(jobAccepted{
		job: cell.Job{
			ID: "j",
			Steps: []cell.Step{{
				Count:    1,
				Estimate: 100 * time.Millisecond,
			}},
			Stretch:  1.6,
			TimeLeft: testJobTime,
		},
		answer: answer,
	})
	return answer
}

// declineTestJob handles a decline of the last submission of the job "j".
func (loop *loop) declineTestJob() { loop.declineFrom(schedulerAddress, "") }

// declineFrom handles a decline of the last submission of the job "j" by a scheduler.
func (loop *loop) declineFrom(scheduler, target string) {
	loop.handleDecline(scheduler, link.Decline{
		JobID:      "j",
		Target:     target,
		Submission: loop.heldJobs["j"].submission,
	})
}

// Guards against a job that runs although its caller got the answer that it did
// not run. It happened when a submission was repeated after its connection broke
// and was counted as not sent. An entry VM reports "not run" only for a job that no
// scheduler can have accepted.
func TestNotRunOnlyForJobsThatNoSchedulerReceived(t *testing.T) {
	for _, test := range []struct {
		name   string
		events func(loop *loop)
		want   cell.Result
	}{
		{"never sent", func(loop *loop) {
			delete(loop.heldJobs, "j")
			loop.leader = ""
		}, cell.NotRun},
		{"declined", func(loop *loop) { loop.declineTestJob() }, cell.NotRun},
		{"sent", func(*loop) {}, cell.Interrupted},
		{"connection broke, then declined", func(loop *loop) {
			loop.handleLinkEvent(link.Up{
				Address: schedulerAddress,
			})
			loop.declineTestJob()
		}, cell.Interrupted},
		{"released without a start", func(loop *loop) {
			loop.handleRelease(schedulerAddress, cell.Release{
				ID:         "j",
				NotStarted: true,
			})
		}, cell.NotRun},
		{"released with a start", func(loop *loop) {
			loop.handleRelease(schedulerAddress, cell.Release{
				ID: "j",
			})
		}, cell.Interrupted},
	} {
		t.Run(test.name, func(t *testing.T) {
			loop := newEntryVMLoop(t)
			answer := loop.acceptTestJob()
			test.events(loop)
			if len(loop.heldJobs) == 0 {
				answer = loop.acceptTestJob()
			}
			loop.leader = ""
			loop.now = loop.now.Add(2 * time.Second)
			loop.updateHeldJobs()
			jobAnswer := <-answer
			assert.Equal(t, jobAnswer.Result, test.want)
			assert.Equal(t, jobAnswer.RetryAfter > 0, test.want == cell.NotRun)
		})
	}
}

// Guards against a job without a scheduler that is held although even the fastest upstream
// could not end it in time, and against a false "not run" for a job that was sent before.
func TestJobWithoutASchedulerIsAnsweredOnceItIsHopeless(t *testing.T) {
	for _, test := range []struct {
		name        string
		resentAfter time.Duration
		want        cell.Result
	}{
		{"first request", 0, cell.NotRun},
		{"sent again", 1300 * time.Millisecond, cell.Interrupted},
	} {
		t.Run(test.name, func(t *testing.T) {
			loop := newEntryVMLoop(t)
			loop.leader = ""
			answer := make(chan cell.Answer, 1)
			loop.acceptCallerJob(jobAccepted{
				job: cell.Job{
					ID: "j",
					Steps: []cell.Step{{
						Count:    1,
						Estimate: 900 * time.Millisecond,
					}},
					Stretch:     1.6,
					TimeLeft:    1500 * time.Millisecond,
					ResentAfter: test.resentAfter,
				},
				answer: answer,
			})
			loop.now = loop.now.Add(850 * time.Millisecond)
			loop.updateHeldJobs()
			assert.Equal(t, len(answer), 0, "the job can still end in time")
			loop.now = loop.now.Add(100 * time.Millisecond)
			loop.updateHeldJobs()
			assert.Equal(t, len(answer), 1, "the job is held although it is hopeless")
			assert.Equal(t, (<-answer).Result, test.want)
		})
	}
}

// Guards against a repeated submission that a Cell takes for a new job: the Cell
// may have dropped the job and its runs in the meantime.
func TestResubmissionIncreasesTheGeneration(t *testing.T) {
	loop := newEntryVMLoop(t)
	loop.acceptTestJob()
	heldJob := loop.heldJobs["j"]
	assert.Equal(t, heldJob.job.Generation, 0)
	loop.handleLinkEvent(link.Up{
		Address: schedulerAddress,
	})
	assert.Equal(t, heldJob.job.Generation, 1)
	assert.Assert(t, heldJob.quarantineEnd.After(loop.now))
}

// Guards against a second run of a job that its caller has sent again after the first entry
// VM was lost: the scheduler before may act on it until the end of a quarantine.
func TestResentJobHasTheRestOfAQuarantine(t *testing.T) {
	loop := newEntryVMLoop(t)
	loop.acceptCallerJob(jobAccepted{
		job: cell.Job{
			ID:          "j",
			TimeLeft:    time.Second,
			ResentAfter: 1300 * time.Millisecond,
		},
	})
	rest := loop.heldJobs["j"].quarantineEnd.Sub(loop.now)
	assert.Equal(t, rest, loop.quarantine()-1300*time.Millisecond)
	assert.Assert(t, rest > 500*time.Millisecond)
}

// Guards against a false "not run" for a caller that sends its job again to a process that
// holds the job already: another scheduler may have run the request between the two.
func TestJobOfTwoRequestsIsNotReportedAsNotRun(t *testing.T) {
	loop := newEntryVMLoop(t)
	answer := loop.acceptTestJob()
	resent := make(chan cell.Answer, 1)
	loop.acceptCallerJob(jobAccepted{
		job: cell.Job{
			ID:          "j",
			TimeLeft:    time.Second,
			ResentAfter: 1300 * time.Millisecond,
		},
		answer: resent,
	})
	loop.handleAnswer(schedulerAddress, cell.Answer{
		ID:         "j",
		Result:     cell.NotRun,
		RetryAfter: time.Second,
		Submission: loop.heldJobs["j"].submission,
	})
	assert.Equal(t, (<-answer).Result, cell.Interrupted)
	assert.Equal(t, (<-resent).Result, cell.Interrupted)
}
