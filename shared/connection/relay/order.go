package relay

import (
	"context"
	"time"

	"tanagerfall/shared/request/cell"
)

// Order is an order to an upstream that a relay carries out: exactly one of
// Start, Stop and Watch.
type Order struct {
	// Number tells the orders of one scheduler apart.
	Number uint64         `cbor:"1,keyasint"`
	Start  *cell.StartRun `cbor:"2,keyasint,omitempty"`
	Stop   *cell.StopRun  `cbor:"3,keyasint,omitempty"`
	Poll   *cell.Poll     `cbor:"4,keyasint,omitempty"`
}

// Reply is the answer to an Order.
type Reply struct {
	Number  uint64       `cbor:"1,keyasint"`
	Outcome cell.Outcome `cbor:"2,keyasint,omitempty"`
	// Clock is the upstream's clock in ms.
	Clock int64 `cbor:"3,keyasint,omitempty"`
	// RoundTrip is how long the relay waited for the upstream.
	RoundTrip time.Duration `cbor:"4,keyasint,omitempty"`
	// Incarnation, Running and Ended are set for a Watch.
	Incarnation int64             `cbor:"5,keyasint,omitempty"`
	Running     []cell.RunningRun `cbor:"6,keyasint,omitempty"`
	Ended       []cell.EndedRun   `cbor:"7,keyasint,omitempty"`
}

// UpstreamClient carries orders to upstreams. Each call returns when the answer is
// known or the time of the order is over.
type UpstreamClient interface {
	Start(ctx context.Context, order cell.StartRun) cell.StartReplied
	Stop(ctx context.Context, order cell.StopRun) cell.StopReplied
	Poll(ctx context.Context, order cell.Poll) cell.PollReplied
}

// target returns the part that all orders have in common.
func (order Order) target() cell.Order {
	switch {
	case order.Start != nil:
		return order.Start.Order
	case order.Stop != nil:
		return order.Stop.Order
	case order.Poll != nil:
		return order.Poll.Order
	default:
		return cell.Order{}
	}
}

// Upstream returns the ID of the upstream that the order is for.
func (order Order) Upstream() string { return order.target().Upstream }

// Execute carries the order out. It returns nil for an order of an unknown kind.
func (order Order) Execute(ctx context.Context, upstreams UpstreamClient) cell.Event {
	switch {
	case order.Start != nil:
		return upstreams.Start(ctx, *order.Start)
	case order.Stop != nil:
		return upstreams.Stop(ctx, *order.Stop)
	case order.Poll != nil:
		return upstreams.Poll(ctx, *order.Poll)
	default:
		return nil
	}
}

// NewReply returns the Reply that carries the event to the scheduler. An
// order of an unknown kind, whose event is nil, was not sent.
func NewReply(number uint64, event cell.Event) Reply {
	reply := Reply{
		Number:  number,
		Outcome: cell.OutcomeNotSent,
	}
	fill := func(common cell.Reply) {
		reply.Outcome = common.Outcome
		reply.Clock = common.Clock
		reply.RoundTrip = common.ReceivedAt.Sub(common.SentAt)
	}
	switch event := event.(type) {
	case cell.StartReplied:
		fill(event.Reply)
	case cell.StopReplied:
		fill(event.Reply)
	case cell.PollReplied:
		fill(event.Reply)
		reply.Incarnation = event.Incarnation
		reply.Running = event.Running
		reply.Ended = event.Ended
	default:
	}
	return reply
}

// event returns the event that answers the order. Its times are those of the
// scheduler, so that they include the way to the relay.
func (order Order) event(sent, received time.Time, reply Reply) cell.Event {
	common := cell.Reply{
		Order:      order.target(),
		Outcome:    reply.Outcome,
		Clock:      reply.Clock,
		SentAt:     sent,
		ReceivedAt: received,
	}
	switch {
	case order.Start != nil:
		return cell.StartReplied{
			Reply: common,
			Run:   order.Start.Run,
		}
	case order.Stop != nil:
		return cell.StopReplied{
			Reply: common,
			Run:   order.Stop.Run,
		}
	default:
		return cell.PollReplied{
			Reply:       common,
			Immediate:   order.Poll.Immediate,
			Incarnation: reply.Incarnation,
			Running:     reply.Running,
			Ended:       reply.Ended,
		}
	}
}
