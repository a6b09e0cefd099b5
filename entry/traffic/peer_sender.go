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
	// lendingTimeout bounds one message about borrowed slots.
	lendingTimeout = 500 * time.Millisecond
)

// FleetSink receives the results of messages to peers. Its methods may block.
type FleetSink interface {
	// NotifyFleet reports the result of a heartbeat: a fleet.HeartbeatReceived or a
	// fleet.HeartbeatFailed.
	NotifyFleet(event fleet.Event)
	// PlanPullEnded reports the snapshot that a peer sent, or nil if it sent none.
	PlanPullEnded(snapshot *plan.Snapshot)
	// BorrowEnded reports the response of a peer to a request for slots. The
	// response is nil if there was none; delivered then reports whether the peer
	// may have received the request.
	BorrowEnded(response *peer.BorrowSlotsResponse, delivered bool)
}

// PeerSender sends the messages that the control loop decides on to peers.
type PeerSender struct {
	pool   *peer.Pool
	sink   FleetSink
	logger *logevent.Logger
	// running counts the goroutines that send messages.
	running sync.WaitGroup

	// mutex guards unreachable.
	mutex sync.Mutex
	// unreachable holds the peers whose last heartbeat failed.
	unreachable map[string]bool
}

// NewPeerSender returns a PeerSender that calls peers through pool and reports the
// results to sink.
func NewPeerSender(pool *peer.Pool, sink FleetSink, logger *logevent.Logger) *PeerSender {
	return &PeerSender{
		pool:        pool,
		sink:        sink,
		logger:      logger,
		unreachable: make(map[string]bool),
	}
}

// recordReachability logs when a peer becomes unreachable and when it is reachable
// again. err is the result of the last heartbeat.
func (sender *PeerSender) recordReachability(address string, err error) {
	sender.mutex.Lock()
	wasUnreachable := sender.unreachable[address]
	if err != nil {
		sender.unreachable[address] = true
	} else {
		delete(sender.unreachable, address)
	}
	sender.mutex.Unlock()
	switch {
	case err != nil && !wasUnreachable:
		sender.logger.Log(logevent.PeerUnreachable, "peer", address, "cause", err.Error())
	case err == nil && wasUnreachable:
		sender.logger.Log(logevent.PeerReachable, "peer", address)
	}
}

// Send starts to execute a fleet.SendHeartbeat or a fleet.PullPlan without blocking.
// It ignores other decisions.
func (sender *PeerSender) Send(decision fleet.Decision) {
	switch decision := decision.(type) {
	case fleet.SendHeartbeat:
		sender.running.Go(func() { sender.heartbeat(decision) })
	case fleet.PullPlan:
		sender.running.Go(func() { sender.pull(decision) })
	case fleet.UpstreamsChanged, fleet.MembershipExpired, fleet.MemberJoined, fleet.MemberLost, fleet.StopRequested:
	}
}

// Wait waits until all messages have been sent and answered, or have failed.
func (sender *PeerSender) Wait() { sender.running.Wait() }

// heartbeat sends a heartbeat and reports the response.
func (sender *PeerSender) heartbeat(decision fleet.SendHeartbeat) {
	ctx, cancel := context.WithTimeout(context.Background(), decision.Timeout)
	defer cancel()
	response, err := peer.Heartbeat.Call(ctx, sender.pool, decision.Address, &decision.Message)
	sender.recordReachability(decision.Address, err)
	if err != nil {
		sender.sink.NotifyFleet(fleet.HeartbeatFailed{
			Address:     decision.Address,
			Undelivered: errors.Is(err, peer.ErrNotDelivered),
		})
		return
	}
	sender.sink.NotifyFleet(fleet.HeartbeatReceived{
		Message: *response,
	})
}

// pull requests the plan of a peer and reports it.
func (sender *PeerSender) pull(decision fleet.PullPlan) {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	response, err := peer.PullPlan.Call(ctx, sender.pool, decision.Address, &peer.PullPlanRequest{
		AboveVersion: decision.Version - 1,
	})
	if err != nil || len(response.Snapshot) == 0 {
		sender.sink.PlanPullEnded(nil)
		return
	}
	record, err := plan.Decode(response.Snapshot)
	if err != nil {
		sender.logger.Log(logevent.PlanInvalid, "peer", decision.Address, "cause", err.Error())
		sender.sink.PlanPullEnded(nil)
		return
	}
	snapshot, _ := record.(*plan.Snapshot)
	sender.sink.PlanPullEnded(snapshot)
}

// Borrow requests slots from a peer without blocking. A call of
// FleetSink.BorrowEnded follows.
func (sender *PeerSender) Borrow(request fleet.BorrowRequest) {
	sender.running.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), lendingTimeout)
		defer cancel()
		response, err := peer.BorrowSlots.Call(ctx, sender.pool, request.Address, &request.Request)
		if err != nil {
			sender.sink.BorrowEnded(nil, !errors.Is(err, peer.ErrNotDelivered))
			return
		}
		sender.sink.BorrowEnded(response, true)
	})
}

// Return returns slots to a peer without blocking. A lost message is not repeated:
// the loan ends when its lease expires.
func (sender *PeerSender) Return(request fleet.ReturnRequest) {
	sender.running.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), lendingTimeout)
		defer cancel()
		_, _ = peer.ReturnSlots.Call(ctx, sender.pool, request.Address, &request.Request)
	})
}

// Recall requests a borrower to return slots, without blocking. If the message is
// lost, the loan ends when its lease expires.
func (sender *PeerSender) Recall(recall fleet.RecallRequest) {
	sender.running.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), lendingTimeout)
		defer cancel()
		_, _ = peer.RecallSlots.Call(ctx, sender.pool, recall.Borrower, &recall.Request)
	})
}
