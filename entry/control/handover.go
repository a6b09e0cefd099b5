package control

import (
	"context"
	"time"

	"tanagerfall/shared/connection/peer"
	"tanagerfall/shared/process/logevent"
	"tanagerfall/shared/request/handover"
	"tanagerfall/shared/request/submission"
	"tanagerfall/shared/version/fleet"
)

// maxPieceEntries bounds the number of ledger entries in one message of a
// hand-over.
const maxPieceEntries = 2000

// gracefulShutdown is the state of the graceful shutdown of this VM.
type gracefulShutdown struct {
	// draining is set when the drain, the first phase, starts. It is never reset.
	draining bool
	// pendingSubmits holds the submissions that arrived after the ledger was
	// frozen. At the end of the hand-over they are forwarded to the successor, or
	// refused if there is none.
	pendingSubmits []submit
	// refuseJobs is set if no successor was found. Every job is then refused.
	refuseJobs bool
	// ledgerReleased is set when this VM may no longer spend an ID. successor is
	// the peer address of the VM that may, or "" if it is not known.
	ledgerReleased bool
	successor      string
}

// BeginDrain starts to announce in heartbeats that this VM is stopping. The VM
// continues to serve requests. The error is ErrStopped or the context's.
func (loop *Loop) BeginDrain(ctx context.Context) error {
	return loop.Do(ctx, func(now time.Time) {
		loop.gracefulShutdown.draining = true
		loop.handleFleetEvent(now, fleet.LeavingStarted{})
	})
}

// Freeze freezes the ledger: this VM issues and spends no submission ID any more.
// Jobs that are running continue. The error is ErrStopped or the context's.
func (loop *Loop) Freeze(ctx context.Context) error {
	return loop.Do(ctx, func(time.Time) { loop.config.Ledger.Freeze() })
}

// RunningJobs returns the number of jobs that this VM runs. The error is ErrStopped
// or the context's.
func (loop *Loop) RunningJobs(ctx context.Context) (int, error) {
	running := 0
	err := loop.Do(ctx, func(time.Time) { running = loop.config.Ledger.Running() })
	return running, err
}

// StartHandover releases this VM's slots and returns a Sender for its ledger. It
// must be called after Freeze and when no job runs any more. The error is
// ErrStopped or the context's.
func (loop *Loop) StartHandover(ctx context.Context) (*handover.Sender, error) {
	var sender *handover.Sender
	err := loop.Do(ctx, func(now time.Time) {
		identity := loop.config.Identity
		pieces := loop.config.Ledger.Export(now, maxPieceEntries)
		sender = handover.NewSender(identity.Incarnation, identity.Address, pieces, loop.config.View.Successors())
		loop.handleFleetEvent(now, fleet.SlotsReleased{})
		loop.config.Logger.Log(logevent.HandoverStarted, "pieces", len(pieces))
	})
	return sender, err
}

// LivePeers returns the peer addresses of all other live entry VMs. The error is
// ErrStopped or the context's.
func (loop *Loop) LivePeers(ctx context.Context) ([]string, error) {
	var addresses []string
	err := loop.Do(ctx, func(now time.Time) {
		for _, member := range loop.config.View.Members(now) {
			if member.Live {
				addresses = append(addresses, member.Address)
			}
		}
	})
	return addresses, err
}

// EndHandover applies the outcome of the hand-over and handles the submissions
// that arrived during it. It returns the redirects to announce to the peers; there
// are none unless the hand-over was committed. The error is ErrStopped or the
// context's.
func (loop *Loop) EndHandover(ctx context.Context, sender *handover.Sender) ([]peer.Redirect, error) {
	var redirects []peer.Redirect
	err := loop.Do(ctx, func(now time.Time) {
		outcome, address, successor := sender.Outcome()
		switch outcome {
		case handover.Committed:
			loop.gracefulShutdown.ledgerReleased = true
			loop.gracefulShutdown.successor = address
			pieces := loop.config.Ledger.Export(now, maxPieceEntries)
			redirects = handover.Redirects(pieces, successor, address)
			loop.config.Logger.Log(logevent.HandoverDone, "successor", address)
		case handover.CommitUnknown, handover.InProgress:
			loop.gracefulShutdown.ledgerReleased = true
			loop.config.Logger.Log(logevent.HandoverFailed)
		case handover.Abandoned:
			// No other VM can ever spend an ID of this ledger, so a refusal by
			// this VM remains valid.
			loop.config.Ledger.Thaw()
			loop.gracefulShutdown.refuseJobs = true
			loop.config.Logger.Log(logevent.HandoverFailed)
		}
		loop.submitPending(now)
	})
	return redirects, err
}

// submitPending handles the submissions that arrived after the ledger was frozen.
func (loop *Loop) submitPending(now time.Time) {
	requests := loop.gracefulShutdown.pendingSubmits
	loop.gracefulShutdown.pendingSubmits = nil
	for _, request := range requests {
		loop.submit(now, request)
	}
}

// replyAfterHandover returns the reply to a request about id if this VM may no
// longer spend IDs. It returns false as long as the VM may.
func (loop *Loop) replyAfterHandover(id submission.ID) (Reply, bool) {
	if !loop.gracefulShutdown.ledgerReleased {
		return Reply{}, false
	}
	if loop.config.Ledger.Holds(id.Key.Incarnation) {
		return Reply{
			OwnedElsewhere: true,
			Owner:          loop.gracefulShutdown.successor,
		}, true
	}
	return Reply{
		OwnedElsewhere: true,
		Owner:          loop.ownerAddress(id),
	}, true
}

// BeginReceiving starts to receive a peer's ledger. The response refuses the
// hand-over if this VM is stopping itself. The error is ErrStopped or the
// context's.
func (loop *Loop) BeginReceiving(ctx context.Context, request *peer.HandOverBeginRequest) (*peer.HandOverResponse, error) {
	var response *peer.HandOverResponse
	err := loop.Do(ctx, func(now time.Time) {
		response = loop.receiver.Begin(now, request, !loop.gracefulShutdown.draining)
	})
	return response, err
}

// ReceivePiece stages a piece of a peer's ledger. The error is ErrStopped or the
// context's.
func (loop *Loop) ReceivePiece(ctx context.Context, request *peer.HandOverPieceRequest) (*peer.HandOverResponse, error) {
	var response *peer.HandOverResponse
	err := loop.Do(ctx, func(now time.Time) { response = loop.receiver.Piece(now, request) })
	return response, err
}

// CommitReceiving imports a peer's ledger, which makes this VM the owner of the
// peer's submissions. The error is ErrStopped or the context's.
func (loop *Loop) CommitReceiving(ctx context.Context, request *peer.HandOverCommitRequest) (*peer.HandOverResponse, error) {
	var response *peer.HandOverResponse
	err := loop.Do(ctx, func(now time.Time) {
		var transfer *handover.CommittedTransfer
		response, transfer = loop.receiver.Commit(now, request, !loop.gracefulShutdown.draining)
		if transfer == nil {
			return
		}
		loop.config.Ledger.Import(transfer.Pieces)
		identity := loop.config.Identity
		loop.handleFleetEvent(now, fleet.RedirectsReceived{
			Redirects: handover.Redirects(transfer.Pieces, identity.Incarnation, identity.Address),
		})
		loop.config.Logger.Log(logevent.HandoverReceived, "from", transfer.From, "pieces", len(transfer.Pieces))
	})
	return response, err
}
