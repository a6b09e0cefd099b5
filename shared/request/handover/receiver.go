package handover

import (
	"slices"
	"time"

	"tanagerfall/shared/connection/peer"
	"tanagerfall/shared/request/submission"
)

const (
	// maxTransfers bounds the hand-overs received at the same time.
	maxTransfers = 4
	// maxPieces bounds the pieces of one hand-over.
	maxPieces = 4096
	// stagingLimit is the time after which pieces without a further message
	// are dropped.
	stagingLimit = 30 * time.Second
	// settledMemory is how long the outcome of a transfer is remembered for
	// repeated messages. It is longer than any sender retries.
	settledMemory = 20 * time.Minute
)

// CommittedTransfer is a committed hand-over: the ledger must import the pieces and the
// redirects of the incarnations to this VM must be announced.
type CommittedTransfer struct {
	From   uint64
	Pieces []submission.Piece
}

// Receiver takes hand-overs of other VMs. It is not safe for concurrent use.
type Receiver struct {
	incarnation uint64
	staged      map[transferKey]*staging
	settled     map[transferKey]settlement
}

type transferKey struct {
	from     uint64
	transfer uint64
}

type staging struct {
	pieces  []submission.Piece
	arrived []bool
	usedAt  time.Time
}

type settlement struct {
	committed bool
	at        time.Time
}

// NewReceiver returns a Receiver of the given incarnation.
func NewReceiver(incarnation uint64) *Receiver {
	return &Receiver{
		incarnation: incarnation,
		staged:      make(map[transferKey]*staging),
		settled:     make(map[transferKey]settlement),
	}
}

// Begin opens a hand-over. willing is false while this VM stops itself.
func (receiver *Receiver) Begin(
	now time.Time, request *peer.HandOverBeginRequest, willing bool,
) *peer.HandOverResponse {
	receiver.expire(now)
	key := transferKey{
		from:     request.From,
		transfer: request.Transfer,
	}
	if outcome, known := receiver.settled[key]; known {
		return receiver.response(outcome.committed)
	}
	held, known := receiver.staged[key]
	full := !known && len(receiver.staged) >= maxTransfers
	if !willing || full || request.Pieces < 0 || request.Pieces > maxPieces {
		return receiver.response(false)
	}
	if !known {
		held = &staging{
			pieces:  make([]submission.Piece, request.Pieces),
			arrived: make([]bool, request.Pieces),
		}
		receiver.staged[key] = held
	}
	held.usedAt = now
	return receiver.response(true)
}

// Piece takes one piece. Pieces may arrive repeatedly and in any order.
func (receiver *Receiver) Piece(now time.Time, request *peer.HandOverPieceRequest) *peer.HandOverResponse {
	receiver.expire(now)
	key := transferKey{
		from:     request.From,
		transfer: request.Transfer,
	}
	if outcome, known := receiver.settled[key]; known {
		return receiver.response(outcome.committed)
	}
	held, known := receiver.staged[key]
	if !known || request.Index < 0 || request.Index >= len(held.pieces) || !request.Piece.Valid() {
		return receiver.response(false)
	}
	held.usedAt = now
	held.pieces[request.Index] = request.Piece
	held.arrived[request.Index] = true
	return receiver.response(true)
}

// Commit ends a hand-over. The second result is set by the first commit of a
// complete hand-over; the ledger must then import it before this VM handles
// anything else. Any other commit is refused for good: a later one of the same
// transfer is refused too, so that the sender may take another successor.
func (receiver *Receiver) Commit(
	now time.Time, request *peer.HandOverCommitRequest, willing bool,
) (*peer.HandOverResponse, *CommittedTransfer) {
	receiver.expire(now)
	key := transferKey{
		from:     request.From,
		transfer: request.Transfer,
	}
	if outcome, known := receiver.settled[key]; known {
		return receiver.response(outcome.committed), nil
	}
	if request.Successor != receiver.incarnation {
		// An earlier incarnation at this address may have taken it.
		return receiver.response(false), nil
	}
	held, known := receiver.staged[key]
	complete := known && len(held.pieces) == request.Pieces && !slices.Contains(held.arrived, false)
	delete(receiver.staged, key)
	receiver.settled[key] = settlement{
		committed: complete && willing,
		at:        now,
	}
	if !complete || !willing {
		return receiver.response(false), nil
	}
	return receiver.response(true), &CommittedTransfer{
		From:   request.From,
		Pieces: held.pieces,
	}
}

func (receiver *Receiver) response(accepted bool) *peer.HandOverResponse {
	return &peer.HandOverResponse{
		Accepted:  accepted,
		Successor: receiver.incarnation,
	}
}

func (receiver *Receiver) expire(now time.Time) {
	for key, held := range receiver.staged {
		if now.Sub(held.usedAt) > stagingLimit {
			delete(receiver.staged, key)
		}
	}
	for key, outcome := range receiver.settled {
		if now.Sub(outcome.at) > settledMemory {
			delete(receiver.settled, key)
		}
	}
}

// Redirects returns the redirects to announce for a hand-over: each
// incarnation in it is now held by the successor at address.
func Redirects(pieces []submission.Piece, successor uint64, address string) []peer.Redirect {
	seen := make(map[uint64]bool)
	var redirects []peer.Redirect
	for _, piece := range pieces {
		if seen[piece.Incarnation] {
			continue
		}
		seen[piece.Incarnation] = true
		redirects = append(redirects, peer.Redirect{
			Incarnation: piece.Incarnation,
			Successor:   successor,
			Address:     address,
			ExpiryUnix:  piece.ExpiryUnix,
		})
	}
	return redirects
}
