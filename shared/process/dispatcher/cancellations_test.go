package dispatcher

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/connection/link"
	"tanagerfall/shared/request/cancellation"
	"tanagerfall/shared/request/cell"
	"tanagerfall/shared/request/spill"
	"tanagerfall/shared/version/region"
)

// sentMessages records the messages by address.
type sentMessages map[string][]link.Message

func (sentMessages) Open(context.Context, string) {}
func (sentMessages) Close(string)                 {}
func (sentMessages) Reset(string)                 {}

func (sent sentMessages) Send(address string, message link.Message) {
	sent[address] = append(sent[address], message)
}

// cancellations returns the IDs of the cancelled jobs that were sent to an address.
func (sent sentMessages) cancellations(address string) []string {
	var ids []string
	for _, message := range sent[address] {
		if message.Cancellations == nil {
			continue
		}
		for _, cancelled := range message.Cancellations.Jobs {
			ids = append(ids, cancelled.JobID)
		}
	}
	return ids
}

// lastAnswer returns the last answer that was sent to an address.
func (sent sentMessages) lastAnswer(address string) *cell.Answer {
	var answer *cell.Answer
	for _, message := range sent[address] {
		if message.Answer != nil {
			answer = message.Answer
		}
	}
	return answer
}

// received returns the value that a channel has received, and fails the test if there
// is none.
func received[Value any](t *testing.T, channel <-chan Value) Value {
	t.Helper()
	assert.Equal(t, len(channel), 1, "nothing was received")
	return <-channel
}

// cancel cancels the job "j" for a caller and returns the channel of the result.
func (loop *loop) cancel() chan bool {
	jobKnown := make(chan bool, 1)
	loop.handle(loop.now, cancelRequested{
		id:       "j",
		jobKnown: jobKnown,
	})
	return jobKnown
}

// submitFromEntryVM submits the job "j" of the entry VM at entryVMAddress.
func (loop *loop) submitFromEntryVM() {
	loop.receiveHeartbeat()
	job := testFaultJob("j")
	loop.receive(link.Message{
		Submit: &job,
	})
}

// Guards against a job that runs after its cancel was acknowledged: its entry VM was
// frozen and the scheduler had withdrawn it, or its caller sent it again.
func TestCancelledJobIsRefusedWhenItIsSubmittedAgain(t *testing.T) {
	for _, test := range []struct {
		name   string
		events func(scheduler *loop)
		known  bool
	}{
		{"entry VM was silent", func(scheduler *loop) { scheduler.advance(2 * time.Second) }, false},
		{"caller sends it again", func(*loop) {}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			scheduler := newSchedulerLoop(t)
			sent := make(sentMessages)
			scheduler.dispatcher.links = sent
			scheduler.submitFromEntryVM()
			test.events(scheduler)
			assert.Equal(t, scheduler.cell.HoldsJobsOf(entryVMName(entryVMAddress, 2)), test.known)
			assert.Equal(t, received(t, scheduler.cancel()), test.known)

			scheduler.submitFromEntryVM()
			assert.Assert(t, !scheduler.cell.HoldsJobsOf(entryVMName(entryVMAddress, 2)))
			answer := sent.lastAnswer(entryVMAddress)
			assert.Assert(t, answer != nil && answer.Reason == cell.ReasonCancelled)
			assert.Equal(t, received(t, scheduler.acceptTestJob()).Reason, cell.ReasonCancelled)

			scheduler.advance(cancellationRetention)
			scheduler.submitFromEntryVM()
			assert.Assert(t, scheduler.cell.HoldsJobsOf(entryVMName(entryVMAddress, 2)), "cancellations are not kept for ever")
		})
	}
}

// Guards against an entry VM that submits a cancelled job to the next scheduler: it was
// frozen or cut off, and the message that reports the cancel is late.
func TestHeldJobEndsWithALateCancellation(t *testing.T) {
	entryVM := newEntryVMLoop(t)
	sent := make(sentMessages)
	entryVM.dispatcher.links = sent
	answer := entryVM.acceptTestJob()
	entryVM.handle(entryVM.now, linkEvent{
		event: link.Received{
			Message: link.Message{
				From: "10.0.0.7:1",
				Cancellations: &link.Cancellations{
					Jobs: []cancellation.Cancellation{{
						JobID: "j",
					}},
				},
			},
			Delay:      4 * time.Second,
			ReceivedAt: entryVM.now,
		},
	})
	assert.Equal(t, received(t, answer).Reason, cell.ReasonCancelled)
	messages := sent[schedulerAddress]
	assert.Assert(t, messages[len(messages)-1].Withdraw != nil)
	assert.Equal(t, received(t, entryVM.acceptTestJob()).Reason, cell.ReasonCancelled)
	assert.Equal(t, len(entryVM.heldJobs), 0)
}

// Guards against a cancel that only the process knows that took it: it is cut off from
// the scheduler, which is replaced meanwhile by one that does not know the cancel either.
// The entry VM that holds the job thaws and submits it to that one.
func TestCancelOfACutOffEntryVMReachesTheNextScheduler(t *testing.T) {
	cutOff := newEntryVMLoop(t)
	sent := make(sentMessages)
	cutOff.dispatcher.links = sent
	cutOff.leader = ""
	jobKnown := cutOff.cancel()
	cutOff.advance(2 * cancelTimeout)
	assert.Equal(t, len(jobKnown), 0, "no scheduler has acknowledged the cancel")
	cutOff.handleLinkEvent(link.Up{
		Address: "10.0.0.8:1",
	})
	assert.DeepEqual(t, sent.cancellations("10.0.0.8:1"), []string{"j"})

	next := newSchedulerLoop(t)
	next.submitFromEntryVM()
	forwarded := make(sentMessages)
	next.dispatcher.links = forwarded
	for _, message := range sent["10.0.0.8:1"] {
		if message.Cancellations != nil {
			next.receive(message)
		}
	}
	assert.Assert(t, !next.cell.HoldsJobsOf(entryVMName(entryVMAddress, 2)))
	next.advance(tickInterval)
	assert.DeepEqual(t, forwarded.cancellations(entryVMAddress), []string{"j"})
	next.handleLinkEvent(link.Up{
		Address: "10.0.0.10:1",
	})
	assert.DeepEqual(t, forwarded.cancellations("10.0.0.10:1"), []string{"j"})

	member := newEntryVMLoop(t)
	member.dispatcher.links = forwarded
	for _, message := range sent["10.0.0.8:1"] {
		if message.Cancellations != nil {
			member.handleMessage(message, 0)
		}
	}
	member.handleLinkEvent(link.Up{
		Address: "10.0.0.11:1",
	})
	assert.Equal(t, len(forwarded.cancellations("10.0.0.11:1")), 0, "only the origin and the scheduler pass cancels on")
}

// Guards against an answer that counts for another caller's cancel: the scheduler has one
// of two cancelled jobs itself and asks the schedulers of the other cells about both.
func TestAnswersToCancelsAreNotMixedUp(t *testing.T) {
	scheduler := newSchedulerLoop(t)
	sent := make(sentMessages)
	scheduler.dispatcher.links = sent
	const foreign = "10.0.1.1:1"
	scheduler.neighbours.planner.Update(spill.Report{
		Cell:       "b",
		Scheduler:  foreign,
		ReportedAt: scheduler.now,
	})
	scheduler.submitFromEntryVM()
	unknown := make(chan bool, 1)
	scheduler.handle(scheduler.now, cancelRequested{
		id:       "unknown",
		jobKnown: unknown,
	})
	assert.Assert(t, received(t, scheduler.cancel()))
	for _, message := range sent[foreign] {
		if message.Cancel != nil && message.Cancel.JobID == "j" {
			scheduler.receive(link.Message{
				Cancelled: &link.Cancelled{
					RequestNumber: message.Cancel.RequestNumber,
				},
			})
		}
	}
	assert.Equal(t, len(unknown), 0, "nobody has answered this cancel")
}

// Guards against an answer to a cancel of the process before at this address that counts for
// the first cancel of this one.
func TestAnswerToACancelOfAnEarlierProcessIsIgnored(t *testing.T) {
	var requests []uint64
	for _, incarnation := range []uint64{1, 2} {
		entryVM := newEntryVMLoop(t)
		self := entryVM.view.Self()
		self.Incarnation = incarnation
		entryVM.view = region.New(entryVM.now, self)
		sent := make(sentMessages)
		entryVM.dispatcher.links = sent
		jobKnown := entryVM.cancel()
		for _, request := range requests {
			entryVM.handleCancelResult(link.Cancelled{
				RequestNumber: request,
				Found:         true,
			})
		}
		assert.Equal(t, len(jobKnown), 0)
		for _, message := range sent[schedulerAddress] {
			if message.Cancel != nil {
				requests = append(requests, message.Cancel.RequestNumber)
			}
		}
	}
	assert.Equal(t, len(requests), 2)
}

// Guards against a cancel that only its own cell knows: the job may be with the scheduler
// of another cell, or with an entry VM there that submits it later.
func TestSchedulerTellsTheOtherCells(t *testing.T) {
	scheduler := newSchedulerLoop(t)
	sent := make(sentMessages)
	scheduler.dispatcher.links = sent
	scheduler.neighbours.planner.Update(spill.Report{
		Cell:       "b",
		Scheduler:  "10.0.1.1:1",
		ReportedAt: scheduler.now,
	})
	scheduler.receive(link.Message{
		Cancel: &link.Cancel{
			JobID:         "j",
			RequestNumber: 1,
		},
	})
	scheduler.advance(tickInterval)
	assert.DeepEqual(t, sent.cancellations("10.0.1.1:1"), []string{"j"})
}
