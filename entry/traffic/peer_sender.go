package traffic

import (
	"context"
	"errors"
	"sync"
	"time"

	"tanagerfall/shared/connection/peer"
	"tanagerfall/shared/process/logevent"
	"tanagerfall/shared/version/fleet"
	"tanagerfall/shared/version/plan"
)

const (
	// pullTimeout bounds the pull of a plan from a peer.
	pullTimeout = time.Second
	// lendingTimeout bounds the messages about borrowed slots.
	lendingTimeout = 500 * time.Millisecond
)

// FleetSink takes what came of the messages to peers. It may block.
type FleetSink interface {
	NotifyFleet(event fleet.Event)
	PlanPullEnded(snapshot *plan.Snapshot)
	BorrowEnded(response *peer.BorrowSlotsResponse, delivered bool)
}

// PeerSender sends the fleet's messages to peers.
type PeerSender struct {
	pool    *peer.Pool
	sink    FleetSink
	logger  *logevent.Logger
	running sync.WaitGroup

	mutex sync.Mutex
	// unreachable holds the peers whose last exchange failed.
	unreachable map[string]bool
}

// NewPeerSender returns a Courier.
func NewPeerSender(pool *peer.Pool, sink FleetSink, logger *logevent.Logger) *PeerSender {
	return &PeerSender{
		pool:        pool,
		sink:        sink,
		logger:      logger,
		unreachable: make(map[string]bool),
	}
}

// recordReachability logs when a peer is lost and when it is back.
func (courier *PeerSender) recordReachability(address string, err error) {
	courier.mutex.Lock()
	failed := courier.unreachable[address]
	if err != nil {
		courier.unreachable[address] = true
	} else {
		delete(courier.unreachable, address)
	}
	courier.mutex.Unlock()
	switch {
	case err != nil && !failed:
		courier.logger.Log(logevent.PeerUnreachable, "peer", address, "cause", err.Error())
	case err == nil && failed:
		courier.logger.Log(logevent.PeerReachable, "peer", address)
	}
}

// Send carries out a fleet.SendHeartbeat or a fleet.PullPlan without
// blocking. It ignores other decisions.
func (courier *PeerSender) Send(decision fleet.Decision) {
	switch decision := decision.(type) {
	case fleet.SendHeartbeat:
		courier.running.Go(func() { courier.heartbeat(decision) })
	case fleet.PullPlan:
		courier.running.Go(func() { courier.pull(decision) })
	case fleet.UpstreamsChanged, fleet.MembershipExpired, fleet.MemberJoined, fleet.MemberLost, fleet.StopRequested:
	}
}

// Wait waits until all messages have ended.
func (courier *PeerSender) Wait() { courier.running.Wait() }

func (courier *PeerSender) heartbeat(send fleet.SendHeartbeat) {
	ctx, cancel := context.WithTimeout(context.Background(), send.Timeout)
	defer cancel()
	response, err := peer.Heartbeat.Call(ctx, courier.pool, send.Address, &send.Message)
	courier.recordReachability(send.Address, err)
	if err != nil {
		courier.sink.NotifyFleet(fleet.HeartbeatFailed{
			Address:     send.Address,
			Undelivered: errors.Is(err, peer.ErrNotDelivered),
		})
		return
	}
	courier.sink.NotifyFleet(fleet.HeartbeatReceived{
		Message: *response,
	})
}

func (courier *PeerSender) pull(pull fleet.PullPlan) {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	response, err := peer.PullPlan.Call(ctx, courier.pool, pull.Address, &peer.PullPlanRequest{
		After: pull.Version - 1,
	})
	if err != nil || len(response.Snapshot) == 0 {
		courier.sink.PlanPullEnded(nil)
		return
	}
	record, err := plan.Decode(response.Snapshot)
	if err != nil {
		courier.logger.Log(logevent.PlanInvalid, "peer", pull.Address, "cause", err.Error())
		courier.sink.PlanPullEnded(nil)
		return
	}
	snapshot, _ := record.(*plan.Snapshot)
	courier.sink.PlanPullEnded(snapshot)
}

// Borrow asks a peer for slots without blocking. FleetSink.EndBorrowing
// follows.
func (courier *PeerSender) Borrow(request fleet.BorrowRequest) {
	courier.running.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), lendingTimeout)
		defer cancel()
		response, err := peer.BorrowSlots.Call(ctx, courier.pool, request.Address, &request.Request)
		if err != nil {
			courier.sink.BorrowEnded(nil, !errors.Is(err, peer.ErrNotDelivered))
			return
		}
		courier.sink.BorrowEnded(response, true)
	})
}

// Return gives slots back to a peer without blocking. A lost return is not
// repeated: the lease ends the loan.
func (courier *PeerSender) Return(request fleet.ReturnRequest) {
	courier.running.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), lendingTimeout)
		defer cancel()
		_, _ = peer.ReturnSlots.Call(ctx, courier.pool, request.Address, &request.Request)
	})
}

// Recall asks a peer for slots back without blocking. The lease ends the loan
// where the message is lost.
func (courier *PeerSender) Recall(recall fleet.RecallRequest) {
	courier.running.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), lendingTimeout)
		defer cancel()
		_, _ = peer.RecallSlots.Call(ctx, courier.pool, recall.Borrower, &recall.Request)
	})
}
