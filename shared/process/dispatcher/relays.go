package dispatcher

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"tanagerfall/shared/connection/link"
	"tanagerfall/shared/connection/relay"
	"tanagerfall/shared/process/logevent"
	"tanagerfall/shared/request/cell"
	"tanagerfall/shared/version/region"
)

const (
	// maxRelayedOrders is the number of orders that this process executes for
	// other schedulers at a time. It exceeds the number that the upstreams of a
	// region answer within the timeout of an order. Further orders are answered as
	// not sent.
	maxRelayedOrders = 4096
	// maxBatch is the number of queued orders and replies at which the queues are
	// sent, even if more events wait.
	maxBatch = 64
)

// remoteScheduler identifies a scheduler for which this process relays orders.
type remoteScheduler struct {
	address     string
	incarnation uint64
}

// sendOrder sends an order of the Cell to its upstream, directly or through a
// relay. The reply is handled only by the Cell that gave the order.
func (loop *loop) sendOrder(order relay.Order) {
	if address, relayed := loop.relays.Choose(order.Upstream()); relayed {
		loop.relays.Enqueue(loop.now, address, order)
		loop.queuedCount++
		return
	}
	activation := loop.activation
	dispatcher := loop.dispatcher
	sentAt := loop.now
	dispatcher.execute(order, func(reply cell.Event) {
		dispatcher.post(orderReplied{
			activation: activation,
			event:      reply,
			sentAt:     sentAt,
		})
	})
}

// handleOrderReply passes the reply to an order to the Cell.
func (loop *loop) handleOrderReply(event cell.Event, sentAt time.Time) {
	loop.dispatcher.instruments.recordOrderReply(event)
	loop.recordStartTime(event, sentAt)
	loop.executeDecisions(loop.cell.Handle(loop.now, event))
}

// executeRelayedOrders executes orders of a peer that schedules. Each reply is
// queued when it is known.
func (loop *loop) executeRelayedOrders(from string, incarnation uint64, orders []relay.Order) {
	scheduler := remoteScheduler{
		address:     from,
		incarnation: incarnation,
	}
	for _, order := range orders {
		if loop.relayedOrders >= maxRelayedOrders {
			loop.queueReply(scheduler, relay.NewReply(order.Number, nil))
			continue
		}
		if reply, refused := loop.refuseEvacuated(from, order); refused {
			loop.queueReply(scheduler, reply)
			continue
		}
		loop.relayedOrders++
		dispatcher := loop.dispatcher
		dispatcher.execute(order, func(reply cell.Event) {
			dispatcher.post(relayedOrderDone{
				scheduler: scheduler,
				reply:     relay.NewReply(order.Number, reply),
			})
		})
	}
}

// queueReply queues a reply for the scheduler that gave the order.
func (loop *loop) queueReply(scheduler remoteScheduler, reply relay.Reply) {
	loop.queuedReplies[scheduler] = append(loop.queuedReplies[scheduler], reply)
	loop.queuedCount++
}

// flush sends the queued orders and replies, in one message for each receiver.
func (loop *loop) flush() {
	if loop.queuedCount == 0 {
		return
	}
	loop.queuedCount = 0
	if loop.relays != nil {
		for address, orders := range inOrder(loop.relays.TakeQueued()) {
			loop.send(address, link.Message{
				Orders: loop.newOrderBatch(address, orders),
			})
		}
	}
	schedulers := slices.SortedFunc(maps.Keys(loop.queuedReplies), func(a, b remoteScheduler) int {
		return cmp.Or(cmp.Compare(a.address, b.address), cmp.Compare(a.incarnation, b.incarnation))
	})
	for _, scheduler := range schedulers {
		replies := loop.queuedReplies[scheduler]
		delete(loop.queuedReplies, scheduler)
		loop.send(scheduler.address, link.Message{
			Replies: &link.ReplyBatch{
				ReceiverIncarnation: scheduler.incarnation,
				Replies:             replies,
			},
		})
	}
}

// newOrderBatch returns the message with orders for a relay. A relay of an earlier
// version, which does not report a division, gets each order with its spec.
func (loop *loop) newOrderBatch(address string, orders []relay.Order) *link.OrderBatch {
	batch := &link.OrderBatch{
		Orders: orders,
	}
	if heartbeat, known := loop.view.LastHeartbeat(address); known && heartbeat.Division != region.DivisionUnknown {
		batch.Orders, batch.Specs = relay.Pack(orders)
	}
	return batch
}

// handleRelayReplies handles the replies of a relay. Replies to another
// incarnation of this process are ignored, because the numbers of its orders may
// be the same.
func (loop *loop) handleRelayReplies(replies link.ReplyBatch) {
	if replies.ReceiverIncarnation != loop.view.Self().Incarnation {
		return
	}
	for _, reply := range replies.Replies {
		if loop.cell == nil {
			return
		}
		if event, sentAt := loop.relays.HandleReply(loop.now, reply); event != nil {
			loop.handleOrderReply(event, sentAt)
		}
	}
}

// handleRelayDisconnect fails the orders at a relay whose connection broke.
func (loop *loop) handleRelayDisconnect(address string) {
	if loop.cell != nil {
		loop.handleLostOrders(loop.relays.HandleDisconnect(loop.now, address))
	}
}

// handleLostOrders counts the relayed orders that got no reply and passes their
// events to the Cell.
func (loop *loop) handleLostOrders(events []cell.Event) {
	for _, event := range events {
		loop.dispatcher.instruments.increment(metricLostRelayedOrders)
		loop.handleOrderReply(event, loop.now)
	}
}

// updateRelays updates the set of relays, fails overdue orders, and logs changes
// of the suspected relays.
func (loop *loop) updateRelays() {
	loop.relays.SetMembers(loop.now, loop.view.RelayCandidates())
	loop.handleLostOrders(loop.relays.Expire(loop.now))
	suspects := loop.relays.SuspectedRelays()
	if !slices.Equal(suspects, loop.suspectedRelays) {
		loop.suspectedRelays = suspects
		loop.log(logevent.RelaysSuspected, "relays", suspects, "pending", loop.relays.PendingOrders())
	}
}
