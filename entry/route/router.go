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

// MaxHops bounds the forwards of one request. One reaches the owner, and each
// planned stop of an owner since the ID was issued adds one.
const MaxHops = 4

// forwardSlack is added to the deadline of a job that is forwarded, for the
// way there and back and for settling tasks at the deadline.
const forwardSlack = 2 * time.Second

// Router is safe for concurrent use.
type Router struct {
	loop    *control.Loop
	pool    *peer.Pool
	keyring func() *submission.Keyring
}

// New returns a Router.
func New(loop *control.Loop, pool *peer.Pool, keyring func() *submission.Keyring) *Router {
	return &Router{
		loop:    loop,
		pool:    pool,
		keyring: keyring,
	}
}

// Body is the body of a submission as it arrived.
type Body struct {
	// Raw is nil where the body did not match its digest.
	Raw []byte
	Job job.Job
	// Invalid is why the body is no job, or nil.
	Invalid error
	// Retry is set where the caller says that it sent the submission before.
	Retry bool
}

// Issue returns count fresh IDs of this VM for a team.
func (router *Router) Issue(ctx context.Context, team string, count int) ([]submission.ID, error) {
	return router.loop.Issue(ctx, team, count)
}

// Submit runs a submission at its owner, or attaches to it there, and returns
// when it has ended. hops counts the forwards so far.
func (router *Router) Submit(ctx context.Context, id submission.ID, body Body, hops int) (control.Reply, error) {
	reply, err := router.submitHere(ctx, id, body)
	if err != nil || !reply.Foreign {
		return reply, err
	}
	answer, forwarded := router.forwardable(reply, hops)
	if !forwarded {
		return answer, nil
	}
	ctx, cancel := context.WithTimeout(ctx, forwardLimit(&body.Job))
	defer cancel()
	response, err := peer.Forward.Call(ctx, router.pool, reply.Owner, &peer.ForwardRequest{
		SubmissionID: router.keyring().Encode(id),
		Job:          body.Raw,
		FirstAttempt: !body.Retry,
		Hops:         hops + 1,
	})
	if err != nil {
		return undelivered(err), nil
	}
	return control.Reply{
		Answer: response.Answer,
	}, nil
}

// forwardLimit returns how long an answer is waited for. An owner that is
// paused or cut off keeps the connection open and never answers.
func forwardLimit(submitted *job.Job) time.Duration {
	deadlineMs := submitted.DeadlineMs
	if deadlineMs == 0 {
		deadlineMs = job.DefaultDeadlineMs
	}
	return time.Duration(deadlineMs)*time.Millisecond + forwardSlack
}

func (router *Router) submitHere(ctx context.Context, id submission.ID, body Body) (control.Reply, error) {
	if body.Invalid != nil {
		return router.loop.Refuse(ctx, id, job.Refusal(job.ReasonInvalid, body.Invalid.Error()))
	}
	return router.loop.Submit(ctx, id, body.Job)
}

// Request runs a single request under an ID of this VM.
func (router *Router) Request(ctx context.Context, id submission.ID, single job.Job) (control.Reply, error) {
	return router.loop.Request(ctx, id, single)
}

// Look returns what became of id at its owner.
func (router *Router) Look(ctx context.Context, id submission.ID, hops int) (control.Reply, error) {
	reply, err := router.loop.Look(ctx, id)
	if err != nil || !reply.Foreign {
		return reply, err
	}
	answer, forwarded := router.forwardable(reply, hops)
	if !forwarded {
		return answer, nil
	}
	return router.lookAt(ctx, reply.Owner, id, hops)
}

func (router *Router) lookAt(ctx context.Context, address string, id submission.ID, hops int) (control.Reply, error) {
	response, err := peer.Lookup.Call(ctx, router.pool, address, &peer.LookupRequest{
		SubmissionID: router.keyring().Encode(id),
		Hops:         hops + 1,
	})
	if err != nil {
		return undelivered(err), nil
	}
	return replyOf(response), nil
}

// Cancel gives up the job of id at its owner and returns its answer.
func (router *Router) Cancel(ctx context.Context, id submission.ID, hops int) (control.Reply, error) {
	reply, err := router.loop.Cancel(ctx, id)
	if err != nil || !reply.Foreign {
		return reply, err
	}
	answer, forwarded := router.forwardable(reply, hops)
	if !forwarded {
		return answer, nil
	}
	_, err = peer.Cancel.Call(ctx, router.pool, reply.Owner, &peer.CancelRequest{
		SubmissionID: router.keyring().Encode(id),
		Hops:         hops + 1,
	})
	if err != nil {
		return undelivered(err), nil
	}
	return router.lookAt(ctx, reply.Owner, id, hops)
}

// forwardable reports whether a request for a foreign ID goes on to its
// owner, and the answer where it does not.
func (router *Router) forwardable(reply control.Reply, hops int) (control.Reply, bool) {
	if reply.Owner != "" && hops < MaxHops {
		return control.Reply{}, true
	}
	return control.Reply{
		Answer: job.Failure(job.StartedUnknown, job.ReasonOwnerGone, "the VM that issued the submission ID has stopped"),
	}, false
}

func undelivered(err error) control.Reply {
	if errors.Is(err, peer.ErrNotDelivered) {
		return control.Reply{
			Answer: job.Failure(job.StartedUnknown, job.ReasonNotDelivered, "the owner of the submission ID can't be reached"),
		}
	}
	return control.Reply{
		Answer: job.Failure(job.StartedUnknown, job.ReasonDeliveryLost, "the connection to the owner of the submission ID was lost"),
	}
}

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
