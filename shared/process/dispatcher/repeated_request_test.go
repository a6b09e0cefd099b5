package dispatcher

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/connection/link"
	"tanagerfall/shared/request/cell"
	"tanagerfall/shared/version/region"
)

// submitted returns the last submission of an entry VM to the scheduler.
func (sent sentMessages) submitted(t *testing.T) link.Message {
	t.Helper()
	var submission link.Message
	for _, message := range sent[schedulerAddress] {
		if message.Submit != nil {
			submission = message
		}
	}
	assert.Assert(t, submission.Submit != nil)
	return submission
}

// deliverAll passes all answers and declines of the scheduler to a process.
func (exchange *exchange) deliverAll(entryVM *loop) {
	messages := exchange.toEntryVM[entryVMAddress]
	exchange.toEntryVM[entryVMAddress] = nil
	for _, message := range messages {
		if message.Answer != nil || message.Decline != nil {
			message.From = schedulerAddress
			entryVM.handleMessage(message, 0)
		}
	}
}

// Guards against a job that starts although its caller was told that it has not run: the
// reply to an earlier request for it, which its caller had left, or which the process
// before at this address had taken, counts as the reply to the present one.
func TestReplyToAnEarlierRequestIsIgnored(t *testing.T) {
	for _, test := range []struct {
		name string
		// delay is that of the first submission.
		delay     time.Duration
		restarted bool
	}{
		{"refused", 0, false},
		{"declined", 2 * staleMessageDelay, false},
		{"refused, entry VM restarted", 0, true},
		{"declined, entry VM restarted", 2 * staleMessageDelay, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			exchange := newExchange(t)
			first := exchange.entryVM.acceptTestJob()
			exchange.scheduler.receiveDelayed(test.delay, exchange.fromEntryVM.submitted(t))
			entryVM := exchange.entryVM
			if test.restarted {
				self := entryVM.view.Self()
				self.Incarnation++
				entryVM = newEntryVMLoop(t)
				entryVM.view = region.New(entryVM.now, self)
				entryVM.dispatcher.links = exchange.fromEntryVM
			} else {
				entryVM.handle(entryVM.now, callerLeft{
					id:     "j",
					answer: first,
				})
			}
			exchange.releaseMemory()
			second := entryVM.acceptTestJob()
			submission := exchange.fromEntryVM.submitted(t)
			submission.From = entryVMAddress
			submission.Incarnation = entryVM.view.Self().Incarnation + 1
			exchange.scheduler.handleMessage(submission, 0)
			assert.Assert(t, exchange.scheduler.cell.HasJob("j"))
			exchange.deliverAll(entryVM)
			entryVM.leader = ""
			entryVM.advance(3 * time.Second)
			assert.Equal(t, (<-second).Result, cell.Interrupted, "the job starts although its caller was told that it has not run")
		})
	}
}

// Guards against a caller that is refused again by the answer to its last request: it sends
// the job again, as it was told, to the same entry VM or to another one.
func TestRefusedJobIsAcceptedWhenItIsSentAgain(t *testing.T) {
	for _, address := range []string{entryVMAddress, "10.0.0.3:1"} {
		exchange := newExchange(t)
		first := exchange.entryVM.acceptTestJob()
		exchange.deliverSubmissions()
		exchange.deliverReplies()
		assert.Equal(t, (<-first).Result, cell.NotRun)
		exchange.releaseMemory()
		exchange.entryVM.acceptTestJob()
		submission := exchange.fromEntryVM.submitted(t)
		submission.From = address
		submission.Incarnation = 2
		exchange.scheduler.handleMessage(submission, 0)
		assert.Assert(t, exchange.scheduler.cell.HasJob("j"), "from %s", address)
	}
}
