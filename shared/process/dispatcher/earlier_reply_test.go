package dispatcher

import (
	"testing"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/connection/link"
	"tanagerfall/shared/request/cancellation"
	"tanagerfall/shared/request/cell"
)

// foreignAddress is the address of the scheduler of another cell.
const foreignAddress = "10.0.9.9:1"

// Guards against a task that starts although its caller was told that the job has not run: a
// scheduler of an earlier version hands the first of two submissions over or releases it, and
// starts the second. Its replies don't name the submission.
func TestReplyWithoutANumberDoesNotSettleALaterSubmission(t *testing.T) {
	for _, test := range []struct {
		name  string
		reply link.Message
	}{
		{"handed over", link.Message{
			Decline: &link.Decline{
				JobID:  "j",
				Target: foreignAddress,
			},
		}},
		{"released", link.Message{
			Released: &link.Released{
				Jobs: []cell.Release{{
					ID:         "j",
					NotStarted: true,
				}},
			},
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			loop := newEntryVMLoop(t)
			sent := make(sentMessages)
			loop.dispatcher.links = sent
			answer := loop.acceptTestJob()
			loop.handleLinkEvent(link.Up{
				Address: schedulerAddress,
			})
			heldJob := loop.heldJobs["j"]
			assert.Equal(t, heldJob.submissions, 2)
			test.reply.From = schedulerAddress
			loop.handleMessage(test.reply, 0)
			heldJob.foreignScheduler = foreignAddress
			loop.submit(heldJob)
			next := sent.submitted(t, foreignAddress).Submit
			assert.Assert(t, next.Generation > 0 && !next.NotStarted,
				"the next scheduler may refuse the job as not run, and the one before may start it")
			assert.Equal(t, len(answer), 0)
		})
	}
}

// Guards against a second run of a completed job, and against a caller that gets no result:
// the answer to the first of two submissions is ignored, and the scheduler is lost before it
// receives the second.
func TestCompletedJobIsAnsweredByTheReplyToAnEarlierSubmission(t *testing.T) {
	loop := newEntryVMLoop(t)
	loop.dispatcher.links = make(sentMessages)
	answer := loop.acceptTestJob()
	first := loop.heldJobs["j"].submission
	loop.handleLinkEvent(link.Up{
		Address: schedulerAddress,
	})
	loop.handleAnswer(schedulerAddress, cell.Answer{
		ID:         "j",
		Result:     cell.Completed,
		Submission: first,
	})
	assert.Equal(t, received(t, answer).Result, cell.Completed)
}

// Guards against a job that is held until its deadline: the scheduler answered it while its
// entry VM was silent, the answer was lost with the stream that was replaced, and the notice
// of dropped jobs names an earlier submission only.
func TestDroppedNoticeCoversAnswersOnTheReplacedStream(t *testing.T) {
	exchange := newExchange(t)
	scheduler := exchange.scheduler
	exchange.entryVM.acceptTestJob()
	exchange.deliverSubmissions()
	exchange.deliverReplies()
	scheduler.advance(scheduler.view.LivenessTimeout() + 2*tickInterval)
	exchange.entryVM.acceptTestJob()
	exchange.deliverSubmissions()
	assert.Assert(t, scheduler.cell.HasJob("j"))
	scheduler.cancelJob(cancellation.Cancellation{
		JobID: "j",
	}, false)
	exchange.toEntryVM[entryVMAddress] = nil
	scheduler.advance(tickInterval)
	scheduler.receiveHeartbeat()
	last := exchange.entryVM.heldJobs["j"].submission
	exchange.deliverDropped()
	assert.Assert(t, exchange.entryVM.heldJobs["j"].submission > last, "the job is not submitted again")
}
