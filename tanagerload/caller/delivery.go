package caller

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"tanagerfall/shared/request/job"
	"tanagerfall/tanagerload/experiment"
)

// delivery is the state of one job's submission across retries.
type delivery struct {
	caller *Caller
	team   string
	body   []byte
	// issuer is the index of the entry VM that issues the submission ID, target
	// that of the one that the job is sent to.
	issuer int
	target int
	// targetRandom chooses the target if routing is not to the issuing VM.
	targetRandom uint64
	// id is the current submission ID; empty means that one must be taken.
	id string
	// maybeDelivered is set once a VM may have received the job under id.
	maybeDelivered bool
	// freshIDs counts the changes of the ID after answers with the reason
	// not-delivered.
	freshIDs int
	requests atomic.Int64
	// firstID passes the ID of the first attempt to the resubmission; nil if
	// there is none.
	firstID chan string
}

// run sends the job until it is answered or ctx ends. The job may be sent any
// number of times under one ID; a fresh ID is taken only if no VM can hold the
// job under the old one. If ctx ends, run returns the last answer that asked for
// a retry, or else an error that wraps ErrNoAnswer.
func (delivery *delivery) run(ctx context.Context) (job.Answer, error) {
	var lastAnswer *job.Answer
	var lastErr error
	for backoff := initialBackoff; ctx.Err() == nil; backoff = min(2*backoff, maxBackoff) {
		if delivery.id == "" && !delivery.takeID(ctx) {
			sleep(ctx, backoff)
			continue
		}
		answer, err := delivery.send(ctx, delivery.target, delivery.maybeDelivered)
		if err == nil && !delivery.prepareResend(&answer) {
			return answer, nil
		}
		if err == nil {
			lastAnswer = &answer
		} else {
			lastErr = err
			delivery.failOver(err)
		}
		sleep(ctx, backoff)
	}
	if lastAnswer != nil {
		return *lastAnswer, nil
	}
	if lastErr == nil {
		lastErr = ctx.Err()
	}
	return job.Answer{}, eris.Wrapf(ErrNoAnswer, "%v", lastErr)
}

// takeID takes an ID and chooses the target. If the issuing VM issues none, it
// returns false and moves on to the next VM.
func (delivery *delivery) takeID(ctx context.Context) bool {
	caller := delivery.caller
	id, requested, err := caller.takeID(ctx, delivery.issuer, delivery.team)
	if requested {
		delivery.requests.Add(1)
	}
	if err != nil {
		delivery.issuer = caller.nextEntry(delivery.issuer)
		return false
	}
	delivery.id = id
	delivery.target = delivery.issuer
	if caller.config.Callers.Routing == experiment.RouteAny {
		delivery.target = caller.chooseEntry(delivery.targetRandom)
	}
	return true
}

// prepareResend reports whether the answer asks the caller to send the job
// again. If so, it chooses the ID and target of the next attempt.
func (delivery *delivery) prepareResend(answer *job.Answer) bool {
	switch answer.Reason {
	case job.ReasonOwnerGone:
		// The incarnation that issued the ID has ended, so its other IDs are
		// useless as well.
		delivery.caller.idPools[delivery.issuer].clear(delivery.team)
	case job.ReasonNotDelivered:
		// No VM holds the submission, unless an earlier attempt may have reached
		// one.
		if delivery.maybeDelivered || delivery.freshIDs >= maxFreshIDs {
			return false
		}
		delivery.freshIDs++
		delivery.id = ""
		delivery.issuer = delivery.target
		return true
	case job.ReasonDeliveryLost, job.ReasonStopping:
		delivery.maybeDelivered = true
		delivery.target = delivery.caller.nextEntry(delivery.target)
		return true
	}
	return false
}

// failOver moves on to the next VM after a failed attempt, with a fresh ID if
// no VM can have received the job.
func (delivery *delivery) failOver(err error) {
	delivery.target = delivery.caller.nextEntry(delivery.target)
	if eris.Is(err, errNeverSent) && !delivery.maybeDelivered {
		delivery.id = ""
		delivery.issuer = delivery.target
		return
	}
	delivery.maybeDelivered = true
}

// send sends the job once under its current ID.
func (delivery *delivery) send(ctx context.Context, target int, retry bool) (job.Answer, error) {
	id := delivery.id
	if delivery.firstID != nil && !retry {
		select {
		case delivery.firstID <- id:
		default:
		}
	}
	delivery.requests.Add(1)
	return delivery.caller.putJob(ctx, target, id, delivery.team, delivery.body, retry)
}

// resubmit submits the job a second time under its first ID, once, after
// Config.ResubmitAfter. It returns nil if there is no answer.
func (delivery *delivery) resubmit(ctx context.Context) *job.Answer {
	caller := delivery.caller
	sleep(ctx, caller.config.ResubmitAfter)
	var id string
	select {
	case id = <-delivery.firstID:
	case <-ctx.Done():
		return nil
	}
	target := caller.chooseEntry(delivery.targetRandom)
	delivery.requests.Add(1)
	answer, err := caller.putJob(ctx, target, id, delivery.team, delivery.body, true)
	if err != nil {
		return nil
	}
	return &answer
}

// nextEntry returns the index of the entry VM after entry, in a ring.
func (caller *Caller) nextEntry(entry int) int {
	return (entry + 1) % len(caller.config.Entries)
}

// fetchTimeout bounds a request for IDs, after which a VM that does not answer
// is skipped.
const fetchTimeout = time.Second
