package peerapi

import (
	"context"

	"tanagerfall/shared/connection/peer"
)

// HandOverBegin starts the hand-over of a peer's ledger to this VM.
func (server *Server) HandOverBegin(ctx context.Context, request *peer.HandOverBeginRequest) (*peer.HandOverResponse, error) {
	return server.loop.BeginReceiving(ctx, request)
}

// HandOverPiece stages one piece of a peer's ledger.
func (server *Server) HandOverPiece(ctx context.Context, request *peer.HandOverPieceRequest) (*peer.HandOverResponse, error) {
	return server.loop.ReceivePiece(ctx, request)
}

// HandOverCommit imports the staged ledger, which makes this VM the owner of the
// peer's submissions.
func (server *Server) HandOverCommit(ctx context.Context, request *peer.HandOverCommitRequest) (*peer.HandOverResponse, error) {
	return server.loop.CommitReceiving(ctx, request)
}
