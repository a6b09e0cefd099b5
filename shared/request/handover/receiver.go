package handover

import (
	"slices"
	"time"

	"tanagerfall/shared/connection/peer"
	"tanagerfall/shared/request/submission"
)

const (
	// maxInboundTransfers is the maximum number of transfers received at the
	// same time.
	maxInboundTransfers = 4
	// maxPieces is the maximum number of pieces of one transfer.
	maxPieces = 4096
	// stagingTimeout is the time after the last message of a transfer after
	// which its staged pieces are dropped.
	stagingTimeout = 30 * time.Second
	// finishedRetention is the time for which the outcome of a transfer is kept
	// to answer repeated messages. Every sender stops retrying earlier.
	finishedRetention = 20 * time.Minute
)

// CommittedTransfer is a committed hand-over. The ledger must import its pieces,
// and redirects of its incarnations to this VM must be announced.
type CommittedTransfer struct {
	// From is the incarnation of the sender.
	From   uint64
	Pieces []submission.Piece
}

// Receiver receives the hand-overs of other VMs. It is not safe for concurrent
// use.
type Receiver struct {
	incarnation uint64
	inbound     map[transferKey]*inboundTransfer
	finished    map[transferKey]finishedTransfer
}

// transferKey identifies a transfer by the incarnation of its sender and the
// number that the sender gave it.
type transferKey struct {
	sender uint64
	number uint64
}

// inboundTransfer holds the staged pieces of a transfer without a commit.
// received is set for those that have arrived, by index.
type inboundTransfer struct {
	pieces        []submission.Piece
	received      []bool
	lastMessageAt time.Time
}

// finishedTransfer is the outcome of a transfer that was committed or refused.
type finishedTransfer struct {
	committed  bool
	finishedAt time.Time
}

// NewReceiver returns a Receiver for a process of the given incarnation.
func NewReceiver(incarnation uint64) *Receiver {
	return &Receiver{
		incarnation: incarnation,
		inbound:     make(map[transferKey]*inboundTransfer),
		finished:    make(map[transferKey]finishedTransfer),
	}
}

// Begin opens a transfer. accepting is false while this VM itself stops. The
// transfer is also refused if too many are open or its number of pieces is not
// allowed.
func (receiver *Receiver) Begin(
	now time.Time, request *peer.HandOverBeginRequest, accepting bool,
) *peer.HandOverResponse {
	receiver.expire(now)
	key := transferKey{
		sender: request.Predecessor,
		number: request.Transfer,
	}
	if outcome, known := receiver.finished[key]; known {
		return receiver.respond(outcome.committed)
	}
	transfer, known := receiver.inbound[key]
	full := !known && len(receiver.inbound) >= maxInboundTransfers
	if !accepting || full || request.PieceCount < 0 || request.PieceCount > maxPieces {
		return receiver.respond(false)
	}
	if !known {
		transfer = &inboundTransfer{
			pieces:   make([]submission.Piece, request.PieceCount),
			received: make([]bool, request.PieceCount),
		}
		receiver.inbound[key] = transfer
	}
	transfer.lastMessageAt = now
	return receiver.respond(true)
}

// Piece stages one piece of an open transfer. Pieces may arrive repeatedly and
// in any order.
func (receiver *Receiver) Piece(now time.Time, request *peer.HandOverPieceRequest) *peer.HandOverResponse {
	receiver.expire(now)
	key := transferKey{
		sender: request.Predecessor,
		number: request.Transfer,
	}
	if outcome, known := receiver.finished[key]; known {
		return receiver.respond(outcome.committed)
	}
	transfer, known := receiver.inbound[key]
	if !known || request.Index < 0 || request.Index >= len(transfer.pieces) || !request.Piece.Valid() {
		return receiver.respond(false)
	}
	transfer.lastMessageAt = now
	transfer.pieces[request.Index] = request.Piece
	transfer.received[request.Index] = true
	return receiver.respond(true)
}

// Commit ends a transfer. The first commit of a complete transfer, while
// accepting is true, returns the transfer. The ledger must import it before this
// VM handles anything else. A repeated commit gets the same response and no
// transfer. Any other commit to this incarnation is refused permanently, and later
// commits of the same transfer are refused too, so that the sender may try
// another successor.
func (receiver *Receiver) Commit(
	now time.Time, request *peer.HandOverCommitRequest, accepting bool,
) (*peer.HandOverResponse, *CommittedTransfer) {
	receiver.expire(now)
	key := transferKey{
		sender: request.Predecessor,
		number: request.Transfer,
	}
	if outcome, known := receiver.finished[key]; known {
		return receiver.respond(outcome.committed), nil
	}
	if request.Successor != receiver.incarnation {
		// An earlier incarnation at this address may have committed the transfer.
		return receiver.respond(false), nil
	}
	transfer, known := receiver.inbound[key]
	complete := known && len(transfer.pieces) == request.PieceCount && !slices.Contains(transfer.received, false)
	delete(receiver.inbound, key)
	receiver.finished[key] = finishedTransfer{
		committed:  complete && accepting,
		finishedAt: now,
	}
	if !complete || !accepting {
		return receiver.respond(false), nil
	}
	return receiver.respond(true), &CommittedTransfer{
		From:   request.Predecessor,
		Pieces: transfer.pieces,
	}
}

func (receiver *Receiver) respond(accepted bool) *peer.HandOverResponse {
	return &peer.HandOverResponse{
		Accepted:  accepted,
		Successor: receiver.incarnation,
	}
}

// expire drops staged pieces after stagingTimeout and outcomes after
// finishedRetention.
func (receiver *Receiver) expire(now time.Time) {
	for key, transfer := range receiver.inbound {
		if now.Sub(transfer.lastMessageAt) > stagingTimeout {
			delete(receiver.inbound, key)
		}
	}
	for key, outcome := range receiver.finished {
		if now.Sub(outcome.finishedAt) > finishedRetention {
			delete(receiver.finished, key)
		}
	}
}

// Redirects returns the redirects to announce after a hand-over: the successor
// at address now holds every incarnation in pieces.
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
