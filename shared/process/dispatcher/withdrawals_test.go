package dispatcher

import (
	"testing"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/connection/link"
)

// leaveTestJob makes the caller of the job "j" stop waiting, and loses the messages about it
// with their stream.
func (exchange *exchange) leaveTestJob(t *testing.T) {
	t.Helper()
	exchange.releaseMemory()
	answer := exchange.entryVM.acceptTestJob()
	exchange.deliverSubmissions()
	assert.Assert(t, exchange.scheduler.cell.HasJob("j"))
	exchange.entryVM.handle(exchange.entryVM.now, callerLeft{
		id:     "j",
		answer: answer,
	})
	exchange.fromEntryVM[schedulerAddress] = nil
}

// replaceStream makes the entry VM open a new stream to its scheduler.
func (exchange *exchange) replaceStream() {
	exchange.entryVM.handleLinkEvent(link.Up{
		Address: schedulerAddress,
	})
}

// Guards against tasks that run on for callers who have left, beside the runs of the same job
// in another cell to which the callers have sent it again: the withdrawal was lost with its
// stream.
func TestWithdrawalIsRepeatedOnTheNextStream(t *testing.T) {
	exchange := newExchange(t)
	exchange.leaveTestJob(t)
	exchange.replaceStream()
	exchange.deliverSubmissions()
	assert.Assert(t, !exchange.scheduler.cell.HasJob("j"))
}

// Guards against a job that is withdrawn from the scheduler although its caller has sent it
// again: the repeated withdrawal of its first request arrives after the second submission.
func TestRepeatedWithdrawalLeavesLaterSubmissions(t *testing.T) {
	exchange := newExchange(t)
	exchange.leaveTestJob(t)
	exchange.entryVM.acceptTestJob()
	exchange.deliverSubmissions()
	exchange.replaceStream()
	repeated := 0
	for _, message := range exchange.fromEntryVM[schedulerAddress] {
		if message.Withdraw != nil {
			exchange.scheduler.receive(message)
			repeated++
		}
	}
	assert.Equal(t, repeated, 1)
	assert.Assert(t, exchange.scheduler.cell.HasJob("j"))
}

// Guards against withdrawals that are kept without bound: a scheduler ends a job at its
// deadline by itself, and a link's queue must hold what is repeated.
func TestWithdrawalsAreBounded(t *testing.T) {
	exchange := newExchange(t)
	exchange.leaveTestJob(t)
	loop := exchange.entryVM
	for range 2 * maxWithdrawals {
		answer := loop.acceptTestJob()
		loop.handle(loop.now, callerLeft{
			id:     "j",
			answer: answer,
		})
	}
	assert.Equal(t, len(loop.withdrawals[schedulerAddress]), maxWithdrawals)
	loop.now = loop.now.Add(testJobTime + tickInterval)
	loop.expireWithdrawals()
	assert.Equal(t, len(loop.withdrawals), 0)
}

// Guards against tasks that a process goes on scheduling, until it ends, after it has told their
// callers that it stops: the callers send the jobs again to other cells.
func TestJobGivenUpByItsSchedulerIsWithdrawn(t *testing.T) {
	loop := newSchedulerLoop(t)
	answer := loop.acceptTestJob()
	assert.Assert(t, loop.cell.HasJob("j"))
	loop.handle(loop.now, abandonRequested{})
	assert.Equal(t, len(answer), 1)
	assert.Assert(t, !loop.cell.HasJob("j"))
}
