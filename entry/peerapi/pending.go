package peerapi

import (
	"context"

	"tanagerfall/shared/connection/peer"
)

// BorrowSlots is not taken yet.
func (server *Server) BorrowSlots(context.Context, *peer.BorrowSlotsRequest) (*peer.BorrowSlotsResponse, error) {
	return nil, ErrNotTaken
}

// ReturnSlots is not taken yet.
func (server *Server) ReturnSlots(context.Context, *peer.ReturnSlotsRequest) (*peer.ReturnSlotsResponse, error) {
	return nil, ErrNotTaken
}

// RecallSlots is not taken yet.
func (server *Server) RecallSlots(context.Context, *peer.RecallSlotsRequest) (*peer.RecallSlotsResponse, error) {
	return nil, ErrNotTaken
}

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
