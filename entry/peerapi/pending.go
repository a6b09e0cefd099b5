package peerapi

import (
	"context"

	"tanagerfall/shared/connection/peer"
)

// HandOverBegin is not taken yet.
func (server *Server) HandOverBegin(context.Context, *peer.HandOverBeginRequest) (*peer.HandOverResponse, error) {
	return nil, ErrNotTaken
}

// HandOverPiece is not taken yet.
func (server *Server) HandOverPiece(context.Context, *peer.HandOverPieceRequest) (*peer.HandOverResponse, error) {
	return nil, ErrNotTaken
}

// HandOverCommit is not taken yet.
func (server *Server) HandOverCommit(context.Context, *peer.HandOverCommitRequest) (*peer.HandOverResponse, error) {
	return nil, ErrNotTaken
}
