package peer_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/connection/peer"
	"tanagerfall/shared/request/submission"
)

// decodeStable decodes data and checks that a message that decodes is the same
// after it was encoded and decoded again.
func decodeStable[Message any](t *testing.T, data []byte) {
	var message, again Message
	encoding := peer.Encoding{}
	if encoding.Unmarshal(data, &message) != nil {
		return
	}
	first, err := encoding.Marshal(&message)
	if err != nil {
		// A JSON value inside a message may be malformed; it stays bytes.
		t.Fatalf("a decoded message does not encode: %v", err)
	}
	assert.NilError(t, encoding.Unmarshal(first, &again))
	second, err := encoding.Marshal(&again)
	assert.NilError(t, err)
	assert.DeepEqual(t, second, first)
}

// Guards against a message that crashes the receiver, or that changes when it
// is passed on.
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
		decodeStable[peer.ForwardRequest](t, data)
		decodeStable[peer.ForwardResponse](t, data)
		decodeStable[peer.HeartbeatMessage](t, data)
		decodeStable[peer.PullPlanResponse](t, data)
		decodeStable[peer.BorrowSlotsRequest](t, data)
		decodeStable[peer.BorrowSlotsResponse](t, data)
		decodeStable[peer.ReturnSlotsRequest](t, data)
		decodeStable[peer.HandOverPieceRequest](t, data)
		decodeStable[peer.HandOverCommitRequest](t, data)
		decodeStable[peer.RedirectRequest](t, data)
	})
}
