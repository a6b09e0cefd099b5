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
	Watch  *cell.Poll     `cbor:"4,keyasint,omitempty"`
}

// Reply is the answer to an Order.
type Reply struct {
	Number  uint64       `cbor:"1,keyasint"`
	Outcome cell.Outcome `cbor:"2,keyasint,omitempty"`
	// Clock is the upstream's clock in ms.
	Clock int64 `cbor:"3,keyasint,omitempty"`
	// Took is how long the relay waited for the upstream.
	Took time.Duration `cbor:"4,keyasint,omitempty"`
	// Incarnation, Running and Ended are set for a Watch.
	Incarnation int64             `cbor:"5,keyasint,omitempty"`
	Running     []cell.RunningRun `cbor:"6,keyasint,omitempty"`
	Ended       []cell.EndedRun   `cbor:"7,keyasint,omitempty"`
}

// Upstreams carries orders to upstreams. Each call returns when the answer is
// known or the time of the order is over.
type Upstreams interface {
	Start(ctx context.Context, order cell.StartRun) cell.StartReplied
	Stop(ctx context.Context, order cell.StopRun) cell.StopReplied
	Watch(ctx context.Context, order cell.Poll) cell.PollReplied
}

// target returns the part that all orders have in common.
func (order Order) target() cell.Order {
	switch {
	case order.Start != nil:
		return order.Start.Order
	case order.Stop != nil:
		return order.Stop.Order
	case order.Watch != nil:
		return order.Watch.Order
	default:
		return cell.Order{}
	}
}

// Upstream returns the ID of the upstream that the order is for.
func (order Order) Upstream() string { return order.target().Upstream }

// Do carries the order out. It returns nil for an order of an unknown kind.
func (order Order) Do(ctx context.Context, upstreams Upstreams) cell.Event {
	switch {
	case order.Start != nil:
		return upstreams.Start(ctx, *order.Start)
	case order.Stop != nil:
		return upstreams.Stop(ctx, *order.Stop)
	case order.Watch != nil:
		return upstreams.Watch(ctx, *order.Watch)
	default:
		return nil
	}
}

// Summarize returns the Reply that carries the event to the scheduler. An
// order of an unknown kind, whose event is nil, was not sent.
func Summarize(number uint64, event cell.Event) Reply {
	reply := Reply{
		Number:  number,
		Outcome: cell.OutcomeNotSent,
	}
	fill := func(common cell.Reply) {
		reply.Outcome = common.Outcome
		reply.Clock = common.Clock
		reply.Took = common.ReceivedAt.Sub(common.SentAt)
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
			Immediate:   order.Watch.Immediate,
			Incarnation: reply.Incarnation,
			Running:     reply.Running,
			Ended:       reply.Ended,
		}
	}
}
