package caller

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"tanagerfall/shared/request/job"
	"tanagerfall/tanagerload/experiment"
)

// delivery is the delivery of one job, however often it is sent.
type delivery struct {
	caller *Caller
	team   string
	body   []byte
	// issuer is the VM that issues the ID, target the one that gets the job.
	issuer int
	target int
	// targetRandom chooses the target where it is not the issuing VM.
	targetRandom uint64
	id           string
	// maybeDelivered is set once a copy may have reached a VM under id.
	maybeDelivered bool
	freshIDs       int
	requests       atomic.Int64
	// firstID tells the ID under which the job is resubmitted.
	firstID chan string
}

// run sends the job until it is answered. Under one ID the job may be sent
// any number of times; a fresh ID is only taken if no VM can hold the old one.
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

// takeID gets an ID and chooses the target; after a failure it turns to the
// next VM.
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

// prepareResend tells whether an answer asks the caller to send the job again, and
// prepares that.
func (delivery *delivery) prepareResend(answer *job.Answer) bool {
	switch answer.Reason {
	case job.ReasonOwnerGone:
		// The other IDs of that incarnation are worth nothing either.
		delivery.caller.idPools[delivery.issuer].clear(delivery.team)
	case job.ReasonNotDelivered:
		// No VM holds the submission if this was the first attempt.
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

// failOver turns to the next VM after an error.
func (delivery *delivery) failOver(err error) {
	delivery.target = delivery.caller.nextEntry(delivery.target)
	if eris.Is(err, errNeverSent) && !delivery.maybeDelivered {
		delivery.id = ""
		delivery.issuer = delivery.target
		return
	}
	delivery.maybeDelivered = true
}

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

// resubmit sends the job a second time under its first ID. It returns nil if
// there is no answer.
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

func (caller *Caller) nextEntry(entry int) int {
	return (entry + 1) % len(caller.config.Entries)
}

// fetchTimeout bounds a request for IDs, so that a VM that does not answer
// is passed over.
const fetchTimeout = time.Second
