package route

import (
	"context"
	"errors"
	"time"

	"tanagerfall/entry/control"
	"tanagerfall/shared/connection/peer"
	"tanagerfall/shared/request/job"
	"tanagerfall/shared/request/submission"
)

// MaxHops bounds how often one request is forwarded. One hop reaches the owner,
// and each graceful shutdown of an owner since the ID was issued adds one hop.
const MaxHops = 4

// forwardSlack is the time that a forwarded job gets beyond its deadline: for the
// transfer in both directions and for the tasks that end at the deadline.
const forwardSlack = 2 * time.Second

// Router passes requests to the owners of their submission IDs. It is safe for
// concurrent use.
type Router struct {
	loop    *control.Loop
	pool    *peer.Pool
	keyring func() *submission.Keyring
}

// New returns a Router that handles the submissions of this VM in loop and
// forwards others through pool. keyring returns the current keyring, which encodes
// submission IDs.
func New(loop *control.Loop, pool *peer.Pool, keyring func() *submission.Keyring) *Router {
	return &Router{
		loop:    loop,
		pool:    pool,
		keyring: keyring,
	}
}

// Body is the body of a submission as received.
type Body struct {
	// Raw is the encoded job, or nil if it does not match its digest.
	Raw []byte
	// Job is the decoded job.
	Job job.Job
	// Invalid is the reason why the body is not a valid job, or nil.
	Invalid error
	// Retry is set if the caller may have sent the submission before.
	Retry bool
}

// Issue returns count new IDs of this VM for a team, or none if the VM is
// stopping. The error is control.ErrStopped or the context's.
func (router *Router) Issue(ctx context.Context, team string, count int) ([]submission.ID, error) {
	return router.loop.Issue(ctx, team, count)
}

// Submit runs a submission at its owner, or attaches to the job that runs there
// under id already, and returns when the job has ended. hops is the number of
// times that the request was forwarded. A failed forward is a reply, not an error:
// the error is control.ErrStopped or the context's.
func (router *Router) Submit(ctx context.Context, id submission.ID, body Body, hops int) (control.Reply, error) {
	reply, err := router.submitLocally(ctx, id, body)
	if err != nil || !reply.OwnedElsewhere {
		return reply, err
	}
	failure, forwardable := router.forwardable(reply, hops)
	if !forwardable {
		return failure, nil
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout(&body.Job))
	defer cancel()
	response, err := peer.Forward.Call(ctx, router.pool, reply.Owner, &peer.ForwardRequest{
		SubmissionID: router.keyring().Encode(id),
		Job:          body.Raw,
		FirstAttempt: !body.Retry,
		Hops:         hops + 1,
	})
	if err != nil {
		return forwardFailure(err), nil
	}
	return control.Reply{
		Answer: response.Answer,
	}, nil
}

// forwardTimeout returns how long to wait for the answer to a forwarded job. An
// owner that is paused or partitioned keeps the connection open and never answers.
func forwardTimeout(forwardedJob *job.Job) time.Duration {
	deadlineMs := forwardedJob.DeadlineMs
	if deadlineMs == 0 {
		deadlineMs = job.DefaultDeadlineMs
	}
	return time.Duration(deadlineMs)*time.Millisecond + forwardSlack
}

// submitLocally submits a job to the control loop of this VM, or spends id on a
// refusal if the body is invalid.
func (router *Router) submitLocally(ctx context.Context, id submission.ID, body Body) (control.Reply, error) {
	if body.Invalid != nil {
		return router.loop.Refuse(ctx, id, job.Refusal(job.ReasonInvalid, body.Invalid.Error()))
	}
	return router.loop.Submit(ctx, id, body.Job)
}

// Request runs a single request under an ID of this VM and returns when it has
// ended. The error is control.ErrStopped or the context's.
func (router *Router) Request(ctx context.Context, id submission.ID, single job.Job) (control.Reply, error) {
	return router.loop.Request(ctx, id, single)
}

// Lookup returns the state of id at its owner, without waiting for a running job.
// hops and the error are those of Submit.
func (router *Router) Lookup(ctx context.Context, id submission.ID, hops int) (control.Reply, error) {
	reply, err := router.loop.Lookup(ctx, id)
	if err != nil || !reply.OwnedElsewhere {
		return reply, err
	}
	failure, forwardable := router.forwardable(reply, hops)
	if !forwardable {
		return failure, nil
	}
	return router.lookupAt(ctx, reply.Owner, id, hops)
}

// lookupAt looks id up at the VM with the given peer address.
func (router *Router) lookupAt(ctx context.Context, address string, id submission.ID, hops int) (control.Reply, error) {
	response, err := peer.Lookup.Call(ctx, router.pool, address, &peer.LookupRequest{
		SubmissionID: router.keyring().Encode(id),
		Hops:         hops + 1,
	})
	if err != nil {
		return forwardFailure(err), nil
	}
	return replyOf(response), nil
}

// Cancel cancels the job of id at its owner and returns its answer. hops and the
// error are those of Submit.
func (router *Router) Cancel(ctx context.Context, id submission.ID, hops int) (control.Reply, error) {
	reply, err := router.loop.Cancel(ctx, id)
	if err != nil || !reply.OwnedElsewhere {
		return reply, err
	}
	failure, forwardable := router.forwardable(reply, hops)
	if !forwardable {
		return failure, nil
	}
	_, err = peer.Cancel.Call(ctx, router.pool, reply.Owner, &peer.CancelRequest{
		SubmissionID: router.keyring().Encode(id),
		Hops:         hops + 1,
	})
	if err != nil {
		return forwardFailure(err), nil
	}
	return router.lookupAt(ctx, reply.Owner, id, hops)
}

// forwardable reports whether a request for an ID that is owned elsewhere can be
// forwarded to its owner. If it cannot, forwardable returns the reply to it.
func (router *Router) forwardable(reply control.Reply, hops int) (control.Reply, bool) {
	if reply.Owner != "" && hops < MaxHops {
		return control.Reply{}, true
	}
	return control.Reply{
		Answer: job.Failure(job.StartedUnknown, job.ReasonOwnerGone, "the VM that issued the submission ID has stopped"),
	}, false
}

// forwardFailure returns the reply to a request whose forward failed with err.
func forwardFailure(err error) control.Reply {
	if errors.Is(err, peer.ErrNotDelivered) {
		return control.Reply{
			Answer: job.Failure(job.StartedUnknown, job.ReasonNotDelivered, "the owner of the submission ID can't be reached"),
		}
	}
	return control.Reply{
		Answer: job.Failure(job.StartedUnknown, job.ReasonDeliveryLost, "the connection to the owner of the submission ID was lost"),
	}
}

// replyOf converts the response of an owner into a reply.
func replyOf(response *peer.LookupResponse) control.Reply {
	switch response.State {
	case peer.StateUnspent:
		return control.Reply{
			Unspent: true,
		}
	case peer.StateRunning:
		return control.Reply{
			Running: true,
		}
	case peer.StateAnswered, peer.StateEvicted, peer.StateExpired, peer.StateNotHeld:
	}
	if response.Answer == nil {
		return control.Reply{
			Answer: job.Failure(job.StartedUnknown, job.ReasonOwnerGone, "nothing is known of the submission ID"),
		}
	}
	return control.Reply{
		Answer: *response.Answer,
	}
}
