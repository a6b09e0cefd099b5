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
	response, err := server.loop.PullPlan(ctx, request.After)
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
