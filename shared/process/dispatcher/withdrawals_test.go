package dispatcher

import (
	"testing"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/connection/link"
)

// loseWithdrawal makes the caller of the job "j" stop waiting, and loses the message about it
// with its stream.
func (exchange *exchange) loseWithdrawal(t *testing.T) {
	t.Helper()
	exchange.releaseMemory()
	answer := exchange.entryVM.acceptTestJob()
	exchange.deliverSubmissions()
	assert.Assert(t, exchange.scheduler.cell.HasJob("j"))
	exchange.entryVM.handleCallerLeft(callerLeft{
		id:     "j",
		answer: answer,
	})
	exchange.fromEntryVM[schedulerAddress] = nil
}

// Guards against tasks that run on for callers who have left, beside the runs of the same job
// in another cell to which the callers have sent it again: the withdrawal was lost with its
// stream. A request for the job that came since is not withdrawn.
func TestWithdrawalIsRepeatedOnTheNextStream(t *testing.T) {
	for _, isSentAgain := range []bool{false, true} {
		exchange := newExchange(t)
		exchange.loseWithdrawal(t)
		if isSentAgain {
			exchange.entryVM.acceptTestJob()
			exchange.deliverSubmissions()
			exchange.entryVM.repeatWithdrawals(schedulerAddress)
		} else {
			exchange.entryVM.handleLinkEvent(link.Up{
				Address: schedulerAddress,
			})
		}
		exchange.deliverSubmissions()
		assert.Equal(t, exchange.scheduler.cell.HasJob("j"), isSentAgain)
	}
}

// Guards against withdrawals that are kept without bound: a scheduler ends a job at its
// deadline by itself, and a link's queue must hold what is repeated.
func TestWithdrawalsAreBounded(t *testing.T) {
	loop := newEntryVMLoop(t)
	for range 2 * maxWithdrawals {
		loop.acceptTestJob()
		loop.withdrawFromScheduler(loop.heldJobs["j"])
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
	loop.acceptTestJob()
	assert.Assert(t, loop.cell.HasJob("j"))
	loop.handle(loop.now, abandonRequested{})
	assert.Assert(t, !loop.cell.HasJob("j"))
}
