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

// pullTimeout bounds the pull of a plan from a peer.
const pullTimeout = time.Second

// FleetSink takes what came of the messages to peers. It may block.
type FleetSink interface {
	TellFleet(event fleet.Event)
	EndPull(snapshot *plan.Snapshot)
}

// Courier sends the fleet's messages to peers.
type Courier struct {
	pool    *peer.Pool
	sink    FleetSink
	logger  *logevent.Logger
	running sync.WaitGroup
}

// NewCourier returns a Courier.
func NewCourier(pool *peer.Pool, sink FleetSink, logger *logevent.Logger) *Courier {
	return &Courier{
		pool:   pool,
		sink:   sink,
		logger: logger,
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
	case fleet.UpstreamsChanged, fleet.MembershipLapsed, fleet.MemberJoined, fleet.MemberLost, fleet.StopRequested:
	}
}

// Wait waits until all messages have ended.
func (courier *Courier) Wait() { courier.running.Wait() }

func (courier *Courier) heartbeat(send fleet.SendHeartbeat) {
	ctx, cancel := context.WithTimeout(context.Background(), send.Timeout)
	defer cancel()
	response, err := peer.Heartbeat.Call(ctx, courier.pool, send.Address, &send.Message)
	if err != nil {
		courier.sink.TellFleet(fleet.HeartbeatFailed{
			Address: send.Address,
			Refused: errors.Is(err, peer.ErrNotDelivered),
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
		After: pull.Version - 1,
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
