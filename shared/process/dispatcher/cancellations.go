package dispatcher

import (
	"slices"
	"time"

	"tanagerfall/shared/connection/link"
	"tanagerfall/shared/process/logevent"
	"tanagerfall/shared/request/cancellation"
	"tanagerfall/shared/request/cell"
)

const (
	// cancelTimeout is how long the loop keeps a caller's cancellation that the
	// scheduler has not answered.
	cancelTimeout = time.Second
	// cancellationRetention is how long a cancelled job is remembered. It exceeds the
	// longest deadline of a caller, one minute, after which no entry VM holds the job
	// and no caller sends it again.
	cancellationRetention = 75 * time.Second
	// maxCancellations bounds the cancelled jobs that a process remembers.
	maxCancellations = 8192
	// maxCancellationsPerMessage bounds the size of a message.
	maxCancellationsPerMessage = 1024
)

// pendingCancel is a cancellation that the schedulers have not answered.
type pendingCancel struct {
	jobKnown chan<- bool
	// held is set if this entry VM held the job.
	held bool
	// unanswered is the number of schedulers that have not answered.
	unanswered int
	expiresAt  time.Time
}

// cancelledAnswer returns the answer to the callers of a cancelled job. Runs of it may
// have started.
func cancelledAnswer(id string) cell.Answer {
	return cell.Answer{
		ID:     id,
		Result: cell.Interrupted,
		Reason: cell.ReasonCancelled,
	}
}

// handleCancelRequest cancels a job for a caller here and at the schedulers.
func (loop *loop) handleCancelRequest(event cancelRequested) {
	schedulers := loop.otherSchedulers()
	known := loop.cancelJob(cancellation.Cancellation{
		JobID: event.id,
	}, true)
	if loop.cell == nil {
		schedulers = append(schedulers, loop.leader)
	} else if known || len(schedulers) == 0 {
		event.jobKnown <- known
		event.jobKnown = nil
	}
	// A number of its own in each case: the answers must not count for another cancel.
	loop.cancels++
	number := loop.processNumber(loop.cancels)
	if event.jobKnown != nil {
		loop.pendingCancels[number] = pendingCancel{
			jobKnown:   event.jobKnown,
			held:       known,
			unanswered: len(schedulers),
			expiresAt:  loop.now.Add(cancelTimeout),
		}
	}
	for _, scheduler := range schedulers {
		if !loop.view.InCell(scheduler) {
			loop.useForeignLink(scheduler)
		}
		loop.send(scheduler, link.Message{
			Cancel: &link.Cancel{
				JobID:         event.id,
				RequestNumber: number,
			},
		})
	}
}

// cancelJob remembers a cancellation and ends the job in the Cell and among the held
// jobs. It reports whether this process had the job. The cancellation is passed on to
// the peers if forward is set, or if this process schedules.
func (loop *loop) cancelJob(cancelled cancellation.Cancellation, forward bool) bool {
	loop.cancellations.Add(loop.now, cancelled, forward || loop.cell != nil)
	known := false
	if loop.cell != nil {
		found, decisions := loop.cell.Cancel(loop.now, cancelled.JobID)
		loop.executeDecisions(decisions)
		known = found
	}
	if heldJob, held := loop.heldJobs[cancelled.JobID]; held {
		known = true
		loop.withdrawFromScheduler(heldJob)
		loop.answerCallers(heldJob, cancelledAnswer(cancelled.JobID))
	}
	return known
}

// handlePeerCancel executes a cancellation that a peer passed on.
func (loop *loop) handlePeerCancel(from string, cancel link.Cancel, delay time.Duration) {
	known := loop.cancelJob(cancellation.Cancellation{
		JobID: cancel.JobID,
		Age:   delay,
	}, false)
	if loop.cell == nil {
		return
	}
	if !loop.view.InCell(from) {
		loop.useForeignLink(from)
	}
	loop.send(from, link.Message{
		Cancelled: &link.Cancelled{
			RequestNumber: cancel.RequestNumber,
			Found:         known,
		},
	})
}

// handleCancelResult passes the result to the caller that cancelled: as soon as a
// scheduler has found the job, or when none has.
func (loop *loop) handleCancelResult(result link.Cancelled) {
	pendingCancel, known := loop.pendingCancels[result.RequestNumber]
	if !known {
		return
	}
	pendingCancel.unanswered--
	if !result.Found && pendingCancel.unanswered > 0 {
		loop.pendingCancels[result.RequestNumber] = pendingCancel
		return
	}
	pendingCancel.jobKnown <- result.Found || pendingCancel.held
	delete(loop.pendingCancels, result.RequestNumber)
}

// handleCancellations applies the cancellations that a peer sent delay ago.
func (loop *loop) handleCancellations(cancellations []cancellation.Cancellation, delay time.Duration) {
	for _, cancelled := range cancellations {
		if loop.cancellations.Contains(cancelled.JobID) {
			continue
		}
		cancelled.Age += delay
		if known := loop.cancelJob(cancelled, false); known {
			loop.log(logevent.CancelApplied, "job", cancelled.JobID, "age", cancelled.Age)
		}
	}
}

// refuseCancelled reports whether a submitted job was cancelled, and records that it
// is not accepted.
func (loop *loop) refuseCancelled(id string) bool {
	if !loop.cancellations.Contains(id) {
		return false
	}
	loop.dispatcher.instruments.increment(metricCancelledSubmissions)
	loop.log(logevent.CancelledSubmission, "job", id)
	return true
}

// updateCancellations drops cancellations that the scheduler did not answer in time,
// whose calls end with their context, and tells the peers of new cancellations.
func (loop *loop) updateCancellations() {
	for number, pendingCancel := range loop.pendingCancels {
		if loop.now.After(pendingCancel.expiresAt) {
			delete(loop.pendingCancels, number)
		}
	}
	loop.cancellations.Expire(loop.now)
	sent := loop.cancellationsSent
	if loop.cancellations.Added() == sent {
		return
	}
	loop.cancellationsSent = loop.cancellations.Added()
	recent := loop.cancellations.Since(loop.now, sent, true)
	for _, address := range loop.view.PeerAddresses() {
		loop.sendCancellations(address, recent)
	}
	if loop.cell == nil {
		return
	}
	for _, address := range loop.foreignContacts() {
		if loop.view.InCell(address) {
			continue
		}
		loop.useForeignLink(address)
		loop.sendCancellations(address, recent)
	}
}

// sendKnownCancellations sends a peer, on a new stream, the cancellations that it may
// have missed: the scheduler all of them, another process those of its own callers.
func (loop *loop) sendKnownCancellations(address string) {
	loop.sendCancellations(address, loop.cancellations.Since(loop.now, 0, loop.cell == nil))
}

func (loop *loop) sendCancellations(address string, cancellations []cancellation.Cancellation) {
	for part := range slices.Chunk(cancellations, maxCancellationsPerMessage) {
		loop.send(address, link.Message{
			Cancellations: &link.Cancellations{
				Jobs: part,
			},
		})
	}
}
