package peer_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/connection/peer"
	"tanagerfall/shared/request/submission"
)

// checkReencoding checks that a message that can be decoded from data keeps its
// encoding when it is encoded and decoded again.
func checkReencoding[Message any](t *testing.T, data []byte) {
	var message, redecoded Message
	encoding := peer.Encoding{}
	if encoding.Unmarshal(data, &message) != nil {
		return
	}
	first, err := encoding.Marshal(&message)
	if err != nil {
		// Malformed JSON inside a message is no cause: it is encoded as bytes.
		t.Fatalf("a decoded message cannot be encoded: %v", err)
	}
	assert.NilError(t, encoding.Unmarshal(first, &redecoded))
	second, err := encoding.Marshal(&redecoded)
	assert.NilError(t, err)
	assert.DeepEqual(t, second, first)
}

// FuzzMessages guards against a message that crashes the receiver, and against
// one that changes when it is decoded and encoded to be passed on.
func FuzzMessages(f *testing.F) {
	seeds := []any{
		&peer.ForwardRequest{SubmissionID: "id", Job: []byte(`{}`), FirstAttempt: true},
		&peer.HeartbeatMessage{Address: "a", Drains: []peer.Drain{{Upstream: "u"}}, Redirects: []peer.Redirect{{Successor: 1}}},
		&peer.BorrowSlotsResponse{Loan: 1, Grants: []peer.SlotGrant{{Slots: 2}}},
		&peer.HandOverPieceRequest{Piece: submission.Piece{Counters: []uint64{1}, Expiries: []uint32{2}, Answers: []submission.PieceAnswer{{Counter: 1}}}},
	}
	for _, seed := range seeds {
		data, err := peer.Encoding{}.Marshal(seed)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		checkReencoding[peer.ForwardRequest](t, data)
		checkReencoding[peer.ForwardResponse](t, data)
		checkReencoding[peer.HeartbeatMessage](t, data)
		checkReencoding[peer.PullPlanResponse](t, data)
		checkReencoding[peer.BorrowSlotsRequest](t, data)
		checkReencoding[peer.BorrowSlotsResponse](t, data)
		checkReencoding[peer.ReturnSlotsRequest](t, data)
		checkReencoding[peer.HandOverPieceRequest](t, data)
		checkReencoding[peer.HandOverCommitRequest](t, data)
		checkReencoding[peer.RedirectRequest](t, data)
	})
}
