package peerapi

import (
	"context"

	"tanagerfall/shared/connection/peer"
	"tanagerfall/shared/version/fleet"
)

// Heartbeat exchanges heartbeats.
func (server *Server) Heartbeat(ctx context.Context, request *peer.HeartbeatMessage) (*peer.HeartbeatMessage, error) {
	response, err := server.loop.Heartbeat(ctx, *request)
	if err != nil {
		return nil, err
	}
	return &response, nil
}

// PullPlan answers with the plan in force if it is newer than the peer's.
func (server *Server) PullPlan(ctx context.Context, request *peer.PullPlanRequest) (*peer.PullPlanResponse, error) {
	response, err := server.loop.PullPlan(ctx, request.AboveVersion)
	if err != nil {
		return nil, err
	}
	return &response, nil
}

// Redirect takes in who holds the submissions of a VM that stopped.
func (server *Server) Redirect(_ context.Context, request *peer.RedirectRequest) (*peer.RedirectResponse, error) {
	server.loop.TellFleet(fleet.RedirectsReceived{
		Redirects: request.Redirects,
	})
	return &peer.RedirectResponse{}, nil
}

// BorrowSlots lends idle slots to a peer.
func (server *Server) BorrowSlots(ctx context.Context, request *peer.BorrowSlotsRequest) (*peer.BorrowSlotsResponse, error) {
	response, err := server.loop.Lend(ctx, request)
	if err != nil {
		return nil, err
	}
	return &response, nil
}

// ReturnSlots takes slots back from a peer.
func (server *Server) ReturnSlots(_ context.Context, request *peer.ReturnSlotsRequest) (*peer.ReturnSlotsResponse, error) {
	server.loop.TakeBack(request)
	return &peer.ReturnSlotsResponse{}, nil
}

// RecallSlots ends the use of slots that a peer wants back.
func (server *Server) RecallSlots(_ context.Context, request *peer.RecallSlotsRequest) (*peer.RecallSlotsResponse, error) {
	server.loop.EndLoan(request)
	return &peer.RecallSlotsResponse{}, nil
}
