package peerapi

import (
	"context"

	"github.com/rotisserie/eris"

	"tanagerfall/entry/control"
	"tanagerfall/entry/route"
	"tanagerfall/shared/connection/peer"
	"tanagerfall/shared/request/job"
	"tanagerfall/shared/request/submission"
)

// ErrNotAccepted means that this VM cannot accept a message at present.
var ErrNotAccepted = eris.New("message cannot be accepted at present")

// Server implements peer.Handlers. Its methods return the errors of decoding a
// submission ID and those of control.Loop.
type Server struct {
	router  *route.Router
	loop    *control.Loop
	keyring func() *submission.Keyring
}

var _ peer.Handlers = (*Server)(nil)

// New returns a Server that passes requests about submissions to router and all
// other messages to loop. keyring returns the current keyring, which decodes
// submission IDs.
func New(router *route.Router, loop *control.Loop, keyring func() *submission.Keyring) *Server {
	return &Server{
		router:  router,
		loop:    loop,
		keyring: keyring,
	}
}

// Forward runs a submission that another VM received and forwarded. It returns
// when the job has ended.
func (server *Server) Forward(ctx context.Context, request *peer.ForwardRequest) (*peer.ForwardResponse, error) {
	id, err := server.keyring().Decode(request.SubmissionID)
	if err != nil {
		return nil, err
	}
	body := route.Body{
		Raw:   request.Job,
		Retry: !request.FirstAttempt,
	}
	body.Job, body.Invalid = job.Parse(request.Job, id.Team)
	reply, err := server.router.Submit(ctx, id, body, request.Hops)
	if err != nil {
		return nil, err
	}
	return &peer.ForwardResponse{
		Answer: reply.Answer,
	}, nil
}

// Lookup returns the state of the submission under an ID, and its answer if the job
// has ended.
func (server *Server) Lookup(ctx context.Context, request *peer.LookupRequest) (*peer.LookupResponse, error) {
	id, err := server.keyring().Decode(request.SubmissionID)
	if err != nil {
		return nil, err
	}
	reply, err := server.router.Lookup(ctx, id, request.Hops)
	if err != nil {
		return nil, err
	}
	return &peer.LookupResponse{
		State:  stateOf(reply),
		Answer: answerOf(reply),
	}, nil
}

// Cancel cancels a job and returns when it has ended.
func (server *Server) Cancel(ctx context.Context, request *peer.CancelRequest) (*peer.CancelResponse, error) {
	id, err := server.keyring().Decode(request.SubmissionID)
	if err != nil {
		return nil, err
	}
	reply, err := server.router.Cancel(ctx, id, request.Hops)
	if err != nil {
		return nil, err
	}
	return &peer.CancelResponse{
		State: stateOf(reply),
	}, nil
}

// stateOf returns the submission state that reply stands for.
func stateOf(reply control.Reply) peer.SubmissionState {
	switch {
	case reply.Unspent:
		return peer.StateUnspent
	case reply.Running:
		return peer.StateRunning
	case reply.OwnedElsewhere:
		return peer.StateNotHeld
	}
	return peer.StateAnswered
}

// answerOf returns the answer in reply, or nil if reply has none.
func answerOf(reply control.Reply) *job.Answer {
	if reply.Unspent || reply.Running || reply.OwnedElsewhere {
		return nil
	}
	return &reply.Answer
}
