package dispatcher

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/connection/link"
	"tanagerfall/shared/request/cell"
)

// exchange passes messages between an entry VM and its scheduler, which has memory for
// one large job.
type exchange struct {
	entryVM     *loop
	fromEntryVM sentMessages
	scheduler   *loop
	toEntryVM   sentMessages
}

// newExchange returns an exchange whose scheduler has no memory for further jobs.
func newExchange(t *testing.T) *exchange {
	t.Helper()
	exchange := &exchange{
		entryVM:     newEntryVMLoop(t),
		fromEntryVM: make(sentMessages),
		scheduler:   newSchedulerLoop(t),
		toEntryVM:   make(sentMessages),
	}
	exchange.entryVM.dispatcher.links = exchange.fromEntryVM
	scheduler := exchange.scheduler
	scheduler.dispatcher.links = exchange.toEntryVM
	large := testFaultJob("large")
	large.Spec = strings.Repeat("x", 4000)
	scheduler.options.Limits.MaxJobBytes = large.MemoryCost() + 200
	scheduler.cell = nil
	scheduler.startScheduling()
	scheduler.receiveHeartbeat()
	scheduler.receive(link.Message{
		Submit: &large,
	})
	assert.Assert(t, scheduler.cell.HasJob(large.ID))
	return exchange
}

// releaseMemory withdraws the large job.
func (exchange *exchange) releaseMemory() {
	exchange.scheduler.receive(link.Message{
		Withdraw: &link.Withdraw{
			JobID: "large",
		},
	})
}

// deliverSubmissions passes the messages about jobs to the scheduler.
func (exchange *exchange) deliverSubmissions() {
	messages := exchange.fromEntryVM[schedulerAddress]
	exchange.fromEntryVM[schedulerAddress] = nil
	for _, message := range messages {
		if message.Submit != nil || message.Withdraw != nil {
			exchange.scheduler.receive(message)
		}
	}
}

// deliverReplies passes the replies of the scheduler to the entry VM.
func (exchange *exchange) deliverReplies() {
	exchange.deliver(func(message link.Message) bool { return message.Answer != nil || message.Decline != nil })
}

// deliverDropped passes the notices of dropped jobs to the entry VM.
func (exchange *exchange) deliverDropped() {
	exchange.deliver(func(message link.Message) bool { return message.Dropped != nil })
}

// deliver passes the messages of the scheduler for which a condition holds to the entry VM.
func (exchange *exchange) deliver(condition func(message link.Message) bool) {
	messages := exchange.toEntryVM[entryVMAddress]
	exchange.toEntryVM[entryVMAddress] = nil
	for _, message := range messages {
		if !condition(message) {
			exchange.toEntryVM[entryVMAddress] = append(exchange.toEntryVM[entryVMAddress], message)
			continue
		}
		message.From = schedulerAddress
		exchange.entryVM.handleMessage(message, 0)
	}
}

// Guards against a task that starts although its caller was told that the job has not run:
// the scheduler refused the first of two submissions, and started the second.
func TestRefusedJobIsNotStartedByALaterSubmission(t *testing.T) {
	for _, test := range []struct {
		name  string
		cause func(exchange *exchange)
	}{
		{"stream replaced", func(exchange *exchange) {
			exchange.entryVM.handleLinkEvent(link.Up{
				Address: schedulerAddress,
			})
		}},
		{"entry VM was silent", func(exchange *exchange) {
			scheduler := exchange.scheduler
			scheduler.advance(scheduler.view.LivenessTimeout() + 2*tickInterval)
			scheduler.receiveHeartbeat()
			exchange.deliverDropped()
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			exchange := newExchange(t)
			answer := exchange.entryVM.acceptTestJob()
			exchange.deliverSubmissions()
			test.cause(exchange)
			exchange.releaseMemory()
			exchange.deliverReplies()
			exchange.deliverSubmissions()
			exchange.deliverReplies()
			if len(answer) == 0 {
				assert.Assert(t, exchange.scheduler.cell.HasJob("j"), "neither answered nor held")
				return
			}
			assert.Equal(t, (<-answer).Result, cell.NotRun)
			assert.Assert(t, !exchange.scheduler.cell.HasJob("j"), "the job will start although it was refused")
		})
	}
}

// Guards against jobs that a process which was silent takes back from its scheduler although
// that one received them after it had dropped the earlier ones.
func TestOnlyTheDroppedJobsAreSubmittedAgain(t *testing.T) {
	exchange := newExchange(t)
	exchange.releaseMemory()
	scheduler := exchange.scheduler
	accept := func(id string) {
		exchange.entryVM.acceptCallerJob(jobAccepted{
			job:    testFaultJob(id),
			answer: make(chan cell.Answer, 1),
		})
		exchange.deliverSubmissions()
	}
	accept("before")
	scheduler.advance(scheduler.view.LivenessTimeout() + 2*tickInterval)
	assert.Assert(t, !scheduler.cell.HasJob("before"))
	accept("after")
	scheduler.receiveHeartbeat()
	exchange.deliverDropped()
	var resubmitted []string
	for _, message := range exchange.fromEntryVM[schedulerAddress] {
		if message.Submit != nil {
			resubmitted = append(resubmitted, message.Submit.ID)
		}
	}
	assert.DeepEqual(t, resubmitted, []string{"before"})
}
