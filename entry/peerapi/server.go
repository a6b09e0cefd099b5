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

// ErrNotTaken is returned for messages that this VM can't take now.
var ErrNotTaken = eris.New("message can't be taken now")

// Server implements peer.Handlers.
type Server struct {
	router  *route.Router
	loop    *control.Loop
	keyring func() *submission.Keyring
}

var _ peer.Handlers = (*Server)(nil)

// New returns a Server.
func New(router *route.Router, loop *control.Loop, keyring func() *submission.Keyring) *Server {
	return &Server{
		router:  router,
		loop:    loop,
		keyring: keyring,
	}
}

// Forward runs a submission that reached another VM.
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

// Lookup says what became of an ID.
func (server *Server) Lookup(ctx context.Context, request *peer.LookupRequest) (*peer.LookupResponse, error) {
	id, err := server.keyring().Decode(request.SubmissionID)
	if err != nil {
		return nil, err
	}
	reply, err := server.router.Look(ctx, id, request.Hops)
	if err != nil {
		return nil, err
	}
	return &peer.LookupResponse{
		State:  stateOf(reply),
		Answer: answerOf(reply),
	}, nil
}

// Cancel gives a job up and returns when it has ended.
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

func stateOf(reply control.Reply) peer.SubmissionState {
	switch {
	case reply.Unspent:
		return peer.StateUnspent
	case reply.Running:
		return peer.StateRunning
	case reply.Foreign:
		return peer.StateNotHeld
	}
	return peer.StateAnswered
}

func answerOf(reply control.Reply) *job.Answer {
	if reply.Unspent || reply.Running || reply.Foreign {
		return nil
	}
	return &reply.Answer
}
