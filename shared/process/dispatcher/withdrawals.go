package dispatcher

import (
	"slices"
	"time"

	"tanagerfall/shared/connection/link"
	"tanagerfall/shared/process/logevent"
	"tanagerfall/shared/request/cell"
)

// maxWithdrawals bounds the withdrawals that are kept for one scheduler. It is below the
// length of a link's queue, so that repeating them does not overflow it.
const maxWithdrawals = 1024

// withdrawal is a withdrawal that a scheduler may not have received.
type withdrawal struct {
	message link.Withdraw
	// expiresAt is the deadline of the job, at which the scheduler ends it by itself.
	expiresAt time.Time
}

// withdrawFromScheduler withdraws a job from its scheduler, if it has one. A run of the
// job must not go on because the stream broke that carried the message to a peer, so it is sent
// again on each later stream to that peer until the job's deadline.
func (loop *loop) withdrawFromScheduler(heldJob *heldJob) {
	scheduler := heldJob.scheduler
	switch scheduler {
	case "":
		return
	case loop.view.Self().Address:
		loop.notifyCell(cell.JobWithdrawn{
			EntryVM: loop.selfName(),
			ID:      heldJob.job.ID,
			Through: heldJob.submission,
		})
		return
	}
	message := link.Withdraw{
		JobID:   heldJob.job.ID,
		Through: heldJob.submission,
	}
	kept := append(loop.withdrawals[scheduler], withdrawal{
		message:   message,
		expiresAt: heldJob.deadline,
	})
	if excess := len(kept) - maxWithdrawals; excess > 0 {
		kept = slices.Delete(kept, 0, excess)
	}
	loop.withdrawals[scheduler] = kept
	if !loop.view.InCell(scheduler) {
		// The link must outlive the message, so that its loss is noticed.
		loop.useForeignLink(scheduler)
	}
	loop.send(scheduler, link.Message{
		Withdraw: &message,
	})
}

// repeatWithdrawals sends the withdrawals again, on a new stream to a peer, that an earlier
// stream may have lost.
func (loop *loop) repeatWithdrawals(address string) {
	loop.expireWithdrawals()
	kept := loop.withdrawals[address]
	if len(kept) == 0 {
		return
	}
	loop.log(logevent.WithdrawalsRepeated, "member", address, "count", len(kept))
	for i := range kept {
		loop.send(address, link.Message{
			Withdraw: &kept[i].message,
		})
	}
}

// expireWithdrawals forgets the withdrawals of jobs that their schedulers have ended.
func (loop *loop) expireWithdrawals() {
	for address, kept := range loop.withdrawals {
		kept = slices.DeleteFunc(kept, func(withdrawal withdrawal) bool { return loop.now.After(withdrawal.expiresAt) })
		if len(kept) == 0 {
			delete(loop.withdrawals, address)
			continue
		}
		loop.withdrawals[address] = kept
	}
}
