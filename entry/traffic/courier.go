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
	TellFleet(event fleet.Event)
	EndPull(snapshot *plan.Snapshot)
	EndBorrowing(response *peer.BorrowSlotsResponse, delivered bool)
}

// Courier sends the fleet's messages to peers.
type Courier struct {
	pool    *peer.Pool
	sink    FleetSink
	logger  *logevent.Logger
	running sync.WaitGroup

	mutex sync.Mutex
	// failing holds the peers whose last exchange failed.
	failing map[string]bool
}

// NewCourier returns a Courier.
func NewCourier(pool *peer.Pool, sink FleetSink, logger *logevent.Logger) *Courier {
	return &Courier{
		pool:    pool,
		sink:    sink,
		logger:  logger,
		failing: make(map[string]bool),
	}
}

// note logs when a peer is lost and when it is back.
func (courier *Courier) note(address string, err error) {
	courier.mutex.Lock()
	failed := courier.failing[address]
	if err != nil {
		courier.failing[address] = true
	} else {
		delete(courier.failing, address)
	}
	courier.mutex.Unlock()
	switch {
	case err != nil && !failed:
		courier.logger.Log(logevent.PeerUnreachable, "peer", address, "cause", err.Error())
	case err == nil && failed:
		courier.logger.Log(logevent.PeerReachable, "peer", address)
	}
}

// Deliver carries out a fleet.SendHeartbeat or a fleet.PullPlan without
// blocking. It ignores other decisions.
func (courier *Courier) Deliver(decision fleet.Decision) {
	switch decision := decision.(type) {
	case fleet.SendHeartbeat:
		courier.running.Go(func() { courier.heartbeat(decision) })
	case fleet.PullPlan:
		courier.running.Go(func() { courier.pull(decision) })
	case fleet.UpstreamsChanged, fleet.MembershipExpired, fleet.MemberJoined, fleet.MemberLost, fleet.StopRequested:
	}
}

// Wait waits until all messages have ended.
func (courier *Courier) Wait() { courier.running.Wait() }

func (courier *Courier) heartbeat(send fleet.SendHeartbeat) {
	ctx, cancel := context.WithTimeout(context.Background(), send.Timeout)
	defer cancel()
	response, err := peer.Heartbeat.Call(ctx, courier.pool, send.Address, &send.Message)
	courier.note(send.Address, err)
	if err != nil {
		courier.sink.TellFleet(fleet.HeartbeatFailed{
			Address:     send.Address,
			Undelivered: errors.Is(err, peer.ErrNotDelivered),
		})
		return
	}
	courier.sink.TellFleet(fleet.HeartbeatReceived{
		Message: *response,
	})
}

func (courier *Courier) pull(pull fleet.PullPlan) {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	response, err := peer.PullPlan.Call(ctx, courier.pool, pull.Address, &peer.PullPlanRequest{
		AboveVersion: pull.Version - 1,
	})
	if err != nil || len(response.Snapshot) == 0 {
		courier.sink.EndPull(nil)
		return
	}
	record, err := plan.Decode(response.Snapshot)
	if err != nil {
		courier.logger.Log(logevent.PlanInvalid, "peer", pull.Address, "cause", err.Error())
		courier.sink.EndPull(nil)
		return
	}
	snapshot, _ := record.(*plan.Snapshot)
	courier.sink.EndPull(snapshot)
}

// Borrow asks a peer for slots without blocking. FleetSink.EndBorrowing
// follows.
func (courier *Courier) Borrow(request fleet.BorrowRequest) {
	courier.running.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), lendingTimeout)
		defer cancel()
		response, err := peer.BorrowSlots.Call(ctx, courier.pool, request.Address, &request.Request)
		if err != nil {
			courier.sink.EndBorrowing(nil, !errors.Is(err, peer.ErrNotDelivered))
			return
		}
		courier.sink.EndBorrowing(response, true)
	})
}

// Return gives slots back to a peer without blocking. A lost return is not
// repeated: the lease ends the loan.
func (courier *Courier) Return(request fleet.ReturnRequest) {
	courier.running.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), lendingTimeout)
		defer cancel()
		_, _ = peer.ReturnSlots.Call(ctx, courier.pool, request.Address, &request.Request)
	})
}

// Recall asks a peer for slots back without blocking. The lease ends the loan
// where the message is lost.
func (courier *Courier) Recall(recall fleet.RecallRequest) {
	courier.running.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), lendingTimeout)
		defer cancel()
		_, _ = peer.RecallSlots.Call(ctx, courier.pool, recall.Borrower, &recall.Request)
	})
}
