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

// pieceEntries bounds the ledger entries in one message of a hand-over.
const pieceEntries = 2000

// stopping is the state of this VM's own planned stop.
type stopping struct {
	// draining is set from the start of the stop.
	draining bool
	// parked holds the submissions that arrived after the freeze. They are
	// passed to the successor, or refused where there is none.
	parked []submit
	// refusing is set where no successor was found: every job is refused.
	refusing bool
	// over is set once this VM may not spend an ID any more; successor is the
	// peer address of the VM that may, or "" where it is not known.
	over      bool
	successor string
}

// BeginDrain tells the peers that this VM stops. It goes on serving.
func (loop *Loop) BeginDrain(ctx context.Context) error {
	return loop.Do(ctx, func(now time.Time) {
		loop.stopping.draining = true
		loop.fleet(now, fleet.LeavingStarted{})
	})
}

// Freeze ends the issue and the use of this VM's submission IDs.
func (loop *Loop) Freeze(ctx context.Context) error {
	return loop.Do(ctx, func(time.Time) { loop.config.Ledger.Freeze() })
}

// RunningJobs returns the number of jobs that this VM runs.
func (loop *Loop) RunningJobs(ctx context.Context) (int, error) {
	running := 0
	err := loop.Do(ctx, func(time.Time) { running = loop.config.Ledger.Running() })
	return running, err
}

// StartHandover gives up this VM's slots and returns a sender of its ledger.
// It must be called after Freeze and once no job runs.
func (loop *Loop) StartHandover(ctx context.Context) (*handover.Sender, error) {
	var sender *handover.Sender
	err := loop.Do(ctx, func(now time.Time) {
		identity := loop.config.Identity
		pieces := loop.config.Ledger.Export(now, pieceEntries)
		sender = handover.NewSender(identity.Incarnation, identity.Address, pieces, loop.config.View.Successors())
		loop.fleet(now, fleet.SlotsReleased{})
		loop.config.Logger.Log(logevent.HandoverStarted, "pieces", len(pieces))
	})
	return sender, err
}

// Peers returns the peer addresses of all live entry VMs.
func (loop *Loop) Peers(ctx context.Context) ([]string, error) {
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

// EndHandover takes in how the hand-over ended and settles the submissions
// that arrived during it. It returns the redirects to be announced.
func (loop *Loop) EndHandover(ctx context.Context, sender *handover.Sender) ([]peer.Redirect, error) {
	var redirects []peer.Redirect
	err := loop.Do(ctx, func(now time.Time) {
		outcome, address, successor := sender.Outcome()
		switch outcome {
		case handover.Committed:
			loop.stopping.over = true
			loop.stopping.successor = address
			pieces := loop.config.Ledger.Export(now, pieceEntries)
			redirects = handover.Redirects(pieces, successor, address)
			loop.config.Logger.Log(logevent.HandoverDone, "successor", address)
		case handover.CommitUnknown, handover.InProgress:
			loop.stopping.over = true
			loop.config.Logger.Log(logevent.HandoverFailed)
		case handover.Abandoned:
			// Nobody else can ever spend an ID of this ledger, so a refusal by
			// this VM stays true.
			loop.config.Ledger.Thaw()
			loop.stopping.refusing = true
			loop.config.Logger.Log(logevent.HandoverFailed)
		}
		loop.settleParked(now)
	})
	return redirects, err
}

// settleParked handles the submissions that arrived after the freeze.
func (loop *Loop) settleParked(now time.Time) {
	parked := loop.stopping.parked
	loop.stopping.parked = nil
	for _, waiting := range parked {
		loop.submit(now, waiting)
	}
}

// handedOver returns the reply for an ID that this VM may not spend any more.
// It reports false while the VM may.
func (loop *Loop) handedOver(id submission.ID) (Reply, bool) {
	if !loop.stopping.over {
		return Reply{}, false
	}
	if loop.config.Ledger.Holds(id.Key.Incarnation) {
		return Reply{
			Foreign: true,
			Owner:   loop.stopping.successor,
		}, true
	}
	return Reply{
		Foreign: true,
		Owner:   loop.owner(id),
	}, true
}

// BeginReceiving answers the start of a peer's hand-over.
func (loop *Loop) BeginReceiving(ctx context.Context, request *peer.HandOverBeginRequest) (*peer.HandOverResponse, error) {
	var response *peer.HandOverResponse
	err := loop.Do(ctx, func(now time.Time) {
		response = loop.receiver.Begin(now, request, !loop.stopping.draining)
	})
	return response, err
}

// ReceivePiece takes a piece of a peer's ledger.
func (loop *Loop) ReceivePiece(ctx context.Context, request *peer.HandOverPieceRequest) (*peer.HandOverResponse, error) {
	var response *peer.HandOverResponse
	err := loop.Do(ctx, func(now time.Time) { response = loop.receiver.Piece(now, request) })
	return response, err
}

// CommitReceiving makes this VM the owner of a peer's submissions.
func (loop *Loop) CommitReceiving(ctx context.Context, request *peer.HandOverCommitRequest) (*peer.HandOverResponse, error) {
	var response *peer.HandOverResponse
	err := loop.Do(ctx, func(now time.Time) {
		var taken *handover.CommittedTransfer
		response, taken = loop.receiver.Commit(now, request, !loop.stopping.draining)
		if taken == nil {
			return
		}
		loop.config.Ledger.Import(taken.Pieces)
		identity := loop.config.Identity
		loop.fleet(now, fleet.RedirectsReceived{
			Redirects: handover.Redirects(taken.Pieces, identity.Incarnation, identity.Address),
		})
		loop.config.Logger.Log(logevent.HandoverReceived, "from", taken.From, "pieces", len(taken.Pieces))
	})
	return response, err
}
