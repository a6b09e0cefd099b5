package handover

import (
	"slices"
	"time"

	"tanagerfall/shared/connection/peer"
	"tanagerfall/shared/request/submission"
)

const (
	// maxInboundTransfers bounds the hand-overs received at the same time.
	maxInboundTransfers = 4
	// maxPieces bounds the pieces of one hand-over.
	maxPieces = 4096
	// stagingTimeout is the time after which pieces without a further message
	// are dropped.
	stagingTimeout = 30 * time.Second
	// finishedRetention is how long the outcome of a transfer is remembered for
	// repeated messages. It is longer than any sender retries.
	finishedRetention = 20 * time.Minute
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
	inbound     map[transferKey]*inboundTransfer
	finished    map[transferKey]finishedTransfer
}

type transferKey struct {
	sender uint64
	number uint64
}

type inboundTransfer struct {
	pieces        []submission.Piece
	received      []bool
	lastMessageAt time.Time
}

type finishedTransfer struct {
	committed  bool
	finishedAt time.Time
}

// NewReceiver returns a Receiver of the given incarnation.
func NewReceiver(incarnation uint64) *Receiver {
	return &Receiver{
		incarnation: incarnation,
		inbound:     make(map[transferKey]*inboundTransfer),
		finished:    make(map[transferKey]finishedTransfer),
	}
}

// Begin opens a hand-over. willing is false while this VM stops itself.
func (receiver *Receiver) Begin(
	now time.Time, request *peer.HandOverBeginRequest, accepting bool,
) *peer.HandOverResponse {
	receiver.expire(now)
	key := transferKey{
		sender: request.From,
		number: request.Transfer,
	}
	if outcome, known := receiver.finished[key]; known {
		return receiver.respond(outcome.committed)
	}
	transfer, known := receiver.inbound[key]
	full := !known && len(receiver.inbound) >= maxInboundTransfers
	if !accepting || full || request.Pieces < 0 || request.Pieces > maxPieces {
		return receiver.respond(false)
	}
	if !known {
		transfer = &inboundTransfer{
			pieces:   make([]submission.Piece, request.Pieces),
			received: make([]bool, request.Pieces),
		}
		receiver.inbound[key] = transfer
	}
	transfer.lastMessageAt = now
	return receiver.respond(true)
}

// Piece takes one piece. Pieces may arrive repeatedly and in any order.
func (receiver *Receiver) Piece(now time.Time, request *peer.HandOverPieceRequest) *peer.HandOverResponse {
	receiver.expire(now)
	key := transferKey{
		sender: request.From,
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

// Commit ends a hand-over. The second result is set by the first commit of a
// complete hand-over; the ledger must then import it before this VM handles
// anything else. Any other commit is refused for good: a later one of the same
// transfer is refused too, so that the sender may take another successor.
func (receiver *Receiver) Commit(
	now time.Time, request *peer.HandOverCommitRequest, accepting bool,
) (*peer.HandOverResponse, *CommittedTransfer) {
	receiver.expire(now)
	key := transferKey{
		sender: request.From,
		number: request.Transfer,
	}
	if outcome, known := receiver.finished[key]; known {
		return receiver.respond(outcome.committed), nil
	}
	if request.Successor != receiver.incarnation {
		// An earlier incarnation at this address may have taken it.
		return receiver.respond(false), nil
	}
	transfer, known := receiver.inbound[key]
	complete := known && len(transfer.pieces) == request.Pieces && !slices.Contains(transfer.received, false)
	delete(receiver.inbound, key)
	receiver.finished[key] = finishedTransfer{
		committed:  complete && accepting,
		finishedAt: now,
	}
	if !complete || !accepting {
		return receiver.respond(false), nil
	}
	return receiver.respond(true), &CommittedTransfer{
		From:   request.From,
		Pieces: transfer.pieces,
	}
}

func (receiver *Receiver) respond(accepted bool) *peer.HandOverResponse {
	return &peer.HandOverResponse{
		Accepted:  accepted,
		Successor: receiver.incarnation,
	}
}

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
