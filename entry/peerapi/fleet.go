package peerapi

import (
	"context"

	"tanagerfall/shared/connection/peer"
	"tanagerfall/shared/version/fleet"
)

// Heartbeat processes a peer's heartbeat and responds with this VM's.
func (server *Server) Heartbeat(ctx context.Context, request *peer.HeartbeatMessage) (*peer.HeartbeatMessage, error) {
	response, err := server.loop.Heartbeat(ctx, *request)
	if err != nil {
		return nil, err
	}
	return &response, nil
}

// PullPlan responds with the latest known plan if it is newer than the peer's.
// Otherwise the response is empty.
func (server *Server) PullPlan(ctx context.Context, request *peer.PullPlanRequest) (*peer.PullPlanResponse, error) {
	response, err := server.loop.PullPlan(ctx, request.AboveVersion)
	if err != nil {
		return nil, err
	}
	return &response, nil
}

// Redirect records which VM holds the submissions of a VM that stopped.
func (server *Server) Redirect(_ context.Context, request *peer.RedirectRequest) (*peer.RedirectResponse, error) {
	server.loop.NotifyFleet(fleet.RedirectsReceived{
		Redirects: request.Redirects,
	})
	return &peer.RedirectResponse{}, nil
}

// BorrowSlots lends idle slots and unused shares of team caps to a peer.
func (server *Server) BorrowSlots(ctx context.Context, request *peer.BorrowSlotsRequest) (*peer.BorrowSlotsResponse, error) {
	response, err := server.loop.LendSlots(ctx, request)
	if err != nil {
		return nil, err
	}
	return &response, nil
}

// ReturnSlots takes back slots that this VM lent to a peer.
func (server *Server) ReturnSlots(_ context.Context, request *peer.ReturnSlotsRequest) (*peer.ReturnSlotsResponse, error) {
	server.loop.ReturnSlots(request)
	return &peer.ReturnSlotsResponse{}, nil
}

// RecallSlots ends the use of slots that a peer lent to this VM and now recalls.
func (server *Server) RecallSlots(_ context.Context, request *peer.RecallSlotsRequest) (*peer.RecallSlotsResponse, error) {
	server.loop.RecallSlots(request)
	return &peer.RecallSlotsResponse{}, nil
}
