package caller

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"tanagerfall/shared/request/job"
	"tanagerfall/tanagerload/experiment"
)

// sending is the delivery of one job, however often it is sent.
type sending struct {
	caller *Caller
	team   string
	body   []byte
	// entry is the VM that issues the ID, target the one that gets the job.
	entry  int
	target int
	// apart chooses the target where it is not the issuing VM.
	apart uint64
	id    string
	// delivered is set once a copy may have reached a VM under id.
	delivered bool
	freshIDs  int
	requests  atomic.Int64
	// announce tells the ID under which the job is resubmitted.
	announce chan string
}

// run sends the job until it is answered. Under one ID the job may be sent
// any number of times; a fresh ID is only taken if no VM can hold the old one.
func (sending *sending) run(ctx context.Context) (job.Answer, error) {
	var last *job.Answer
	var cause error
	for backoff := firstBackoff; ctx.Err() == nil; backoff = min(2*backoff, maxBackoff) {
		if sending.id == "" && !sending.takeID(ctx) {
			sleep(ctx, backoff)
			continue
		}
		answer, err := sending.send(ctx, sending.target, sending.delivered)
		if err == nil && !sending.again(&answer) {
			return answer, nil
		}
		if err == nil {
			last = &answer
		} else {
			cause = err
			sending.failOver(err)
		}
		sleep(ctx, backoff)
	}
	if last != nil {
		return *last, nil
	}
	if cause == nil {
		cause = ctx.Err()
	}
	return job.Answer{}, eris.Wrapf(ErrNoAnswer, "%v", cause)
}

// takeID gets an ID and chooses the target; after a failure it turns to the
// next VM.
func (sending *sending) takeID(ctx context.Context) bool {
	caller := sending.caller
	id, requested, err := caller.takeID(ctx, sending.entry, sending.team)
	if requested {
		sending.requests.Add(1)
	}
	if err != nil {
		sending.entry = caller.next(sending.entry)
		return false
	}
	sending.id = id
	sending.target = sending.entry
	if caller.config.Callers.Routing == experiment.RouteAny {
		sending.target = caller.choose(sending.apart)
	}
	return true
}

// again tells whether an answer asks the caller to send the job again, and
// prepares that.
func (sending *sending) again(answer *job.Answer) bool {
	switch answer.Reason {
	case job.ReasonOwnerGone:
		// The other IDs of that incarnation are worth nothing either.
		sending.caller.stocks[sending.entry].clear(sending.team)
	case job.ReasonNotDelivered:
		// No VM holds the submission if this was the first attempt.
		if sending.delivered || sending.freshIDs >= maxFreshIDs {
			return false
		}
		sending.freshIDs++
		sending.id = ""
		sending.entry = sending.target
		return true
	case job.ReasonDeliveryLost, job.ReasonStopping:
		sending.delivered = true
		sending.target = sending.caller.next(sending.target)
		return true
	}
	return false
}

// failOver turns to the next VM after an error.
func (sending *sending) failOver(err error) {
	sending.target = sending.caller.next(sending.target)
	if eris.Is(err, errNeverSent) && !sending.delivered {
		sending.id = ""
		sending.entry = sending.target
		return
	}
	sending.delivered = true
}

func (sending *sending) send(ctx context.Context, target int, retry bool) (job.Answer, error) {
	id := sending.id
	if sending.announce != nil && !retry {
		select {
		case sending.announce <- id:
		default:
		}
	}
	sending.requests.Add(1)
	return sending.caller.put(ctx, target, id, sending.team, sending.body, retry)
}

// resubmit sends the job a second time under its first ID. It returns nil if
// there is no answer.
func (sending *sending) resubmit(ctx context.Context) *job.Answer {
	caller := sending.caller
	sleep(ctx, caller.config.ResubmitAfter)
	var id string
	select {
	case id = <-sending.announce:
	case <-ctx.Done():
		return nil
	}
	target := caller.choose(sending.apart)
	sending.requests.Add(1)
	answer, err := caller.put(ctx, target, id, sending.team, sending.body, true)
	if err != nil {
		return nil
	}
	return &answer
}

func (caller *Caller) next(entry int) int {
	return (entry + 1) % len(caller.config.Entries)
}

// fetchTimeout bounds a request for IDs, so that a VM that does not answer
// is passed over.
const fetchTimeout = time.Second
