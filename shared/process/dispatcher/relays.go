package dispatcher

import (
	"slices"
	"time"

	"tanagerfall/shared/connection/link"
	"tanagerfall/shared/connection/relay"
	"tanagerfall/shared/process/logevent"
	"tanagerfall/shared/request/cell"
)

const (
	// maxCarried bounds the orders that this process carries out for others at
	// a time. It exceeds what the upstreams of a region answer in the time of
	// an order; what comes beyond it is answered as not sent.
	maxCarried = 4096
	// maxBatch is the number of orders or answers that are not held back for
	// more to come.
	maxBatch = 64
)

// destination is a scheduler that this process carries orders out for.
type destination struct {
	address     string
	incarnation uint64
}

// order carries one order out, here or through a relay, and brings its answer
// back to the Cell that gave it.
func (loop *loop) order(order relay.Order) {
	if address, through := loop.relays.Choose(order.Upstream()); through {
		loop.relays.Enqueue(loop.now, address, order)
		loop.batched++
		return
	}
	activation := loop.activation
	dispatcher := loop.dispatcher
	began := loop.now
	go func() {
		dispatcher.post(replied{
			activation: activation,
			event:      order.Execute(loop.ctx, loop.options.Upstreams),
			began:      began,
		})
	}()
}

// orderReplied hands the answer to an order to the Cell.
func (loop *loop) orderReplied(event cell.Event, began time.Time) {
	loop.dispatcher.meters.reply(event)
	loop.measure(event, began)
	loop.act(loop.cell.Handle(loop.now, event))
}

// carry carries out the orders of a peer that schedules.
func (loop *loop) carry(from string, incarnation uint64, orders []relay.Order) {
	to := destination{
		address:     from,
		incarnation: incarnation,
	}
	for _, order := range orders {
		if loop.carrying >= maxCarried {
			loop.sendReply(to, relay.NewReply(order.Number, nil))
			continue
		}
		loop.carrying++
		dispatcher := loop.dispatcher
		go func() {
			dispatcher.post(carried{
				to:    to,
				reply: relay.NewReply(order.Number, order.Execute(loop.ctx, loop.options.Upstreams)),
			})
		}()
	}
}

// sendReply queues an answer for the scheduler that gave the order.
func (loop *loop) sendReply(to destination, reply relay.Reply) {
	loop.replies[to] = append(loop.replies[to], reply)
	loop.batched++
}

// flush sends the queued orders and answers.
func (loop *loop) flush() {
	if loop.batched == 0 {
		return
	}
	loop.batched = 0
	if loop.relays != nil {
		for address, orders := range loop.relays.TakeQueued() {
			loop.send(address, link.Message{
				Orders: &link.OrderBatch{
					Orders: orders,
				},
			})
		}
	}
	for to, replies := range loop.replies {
		delete(loop.replies, to)
		loop.send(to.address, link.Message{
			Replies: &link.ReplyBatch{
				ReceiverIncarnation: to.incarnation,
				Replies:             replies,
			},
		})
	}
}

// relayed takes the answers of a relay.
func (loop *loop) relayed(replies link.ReplyBatch) {
	if replies.ReceiverIncarnation != loop.view.Self().Incarnation {
		return
	}
	for _, reply := range replies.Replies {
		if loop.cell == nil {
			return
		}
		if event, began := loop.relays.HandleReply(loop.now, reply); event != nil {
			loop.orderReplied(event, began)
		}
	}
}

// relayBroke takes note that the connection to a relay broke.
func (loop *loop) relayBroke(address string) {
	if loop.cell != nil {
		loop.ordersLost(loop.relays.HandleDisconnect(loop.now, address))
	}
}

func (loop *loop) ordersLost(events []cell.Event) {
	for _, event := range events {
		loop.dispatcher.meters.count(metricRelayLost)
		loop.orderReplied(event, loop.now)
	}
}

// tickRelays brings the relays up to date, and gives overdue orders up.
func (loop *loop) tickRelays() {
	loop.relays.SetMembers(loop.now, loop.view.RelayCandidates())
	loop.ordersLost(loop.relays.Expire(loop.now))
	suspects := loop.relays.SuspectedRelays()
	if !slices.Equal(suspects, loop.suspects) {
		loop.suspects = suspects
		loop.log(logevent.RelaysSuspected, "relays", suspects, "pending", loop.relays.PendingOrders())
	}
}
