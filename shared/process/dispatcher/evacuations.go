package dispatcher

import (
	"time"

	"tanagerfall/shared/connection/link"
	"tanagerfall/shared/connection/relay"
	"tanagerfall/shared/process/logevent"
	"tanagerfall/shared/request/cell"
	"tanagerfall/shared/version/region"
)

// evacuationsInterval is the minimum time between copies of the evacuations for a peer.
// Before the first copy it gives the peer time to read them itself.
const evacuationsInterval = 150 * time.Millisecond

// adoptEvacuations applies the evacuations that were just adopted, if the evacuated
// domains changed. The source, for the log, is the platform or the address of a peer.
func (loop *loop) adoptEvacuations(changed bool, source string) {
	if !changed {
		return
	}
	loop.log(logevent.EvacuationsChanged, "domains", loop.evacuations.Domains(), "position", loop.evacuations.Position(), "source", source)
	loop.passEvacuations()
}

// passEvacuations passes the evacuations to the Cell, if this process schedules.
func (loop *loop) passEvacuations() {
	loop.passedMayHandOver = loop.mayHandOver()
	loop.notifyCell(cell.DomainsEvacuated{
		Domains:     loop.evacuations.Domains(),
		Unserved:    loop.unservedServices(),
		MayHandOver: loop.passedMayHandOver,
	})
}

// mayHandOver reports whether the scheduler of another cell is known, which may take jobs
// that wait here.
func (loop *loop) mayHandOver() bool {
	return loop.view.Division() == region.DividedByDomain && len(loop.neighbours.planner.Reports(loop.now)) > 0
}

// updateEvacuations passes the evacuations again when mayHandOver has changed.
func (loop *loop) updateEvacuations() {
	if len(loop.evacuations.Domains()) > 0 && loop.mayHandOver() != loop.passedMayHandOver {
		loop.passEvacuations()
	}
}

// unservedServices returns the services that have upstreams in the region, but none
// that may get new tasks outside the evacuated failure domains.
func (loop *loop) unservedServices() []string {
	served := make(map[string]bool)
	for _, upstream := range loop.upstreams {
		evacuated := loop.evacuations.Evacuated(upstream.Domain)
		if evacuated || (!upstream.Removed && !upstream.Leaving) {
			served[upstream.Service] = served[upstream.Service] || !evacuated
		}
	}
	var unserved []string
	for service, isServed := range inOrder(served) {
		if !isServed {
			unserved = append(unserved, service)
		}
	}
	return unserved
}

// sendEvacuations sends a peer the evacuations if its position is older.
func (loop *loop) sendEvacuations(address string, position int64) {
	if !loop.evacuations.NewerThan(position) {
		return
	}
	loop.send(address, link.Message{
		Evacuations: loop.evacuations.Snapshot(),
	})
}

// refuseEvacuated refuses a start that a scheduler elsewhere orders in an evacuated
// failure domain because it does not know of the evacuation yet, and tells it. It
// reports whether it has refused the order.
func (loop *loop) refuseEvacuated(scheduler string, order relay.Order) (relay.Reply, bool) {
	if order.Start == nil || len(loop.evacuations.Domains()) == 0 {
		return relay.Reply{}, false
	}
	heartbeat, _ := loop.view.LastHeartbeat(scheduler)
	if !loop.evacuations.NewerThan(heartbeat.EvacuationsPosition) || !loop.inEvacuatedDomain(order.Upstream()) {
		return relay.Reply{}, false
	}
	loop.dispatcher.instruments.increment(metricEvacuatedOrders)
	loop.sendEvacuations(scheduler, heartbeat.EvacuationsPosition)
	return relay.NewReply(order.Number, cell.StartReplied{
		Reply: cell.Reply{
			Order:      order.Start.Order,
			Outcome:    cell.OutcomeFull,
			SentAt:     loop.now,
			ReceivedAt: loop.now,
		},
		Run: order.Start.Run,
	}), true
}

// inEvacuatedDomain reports whether a listed upstream is in an evacuated domain.
func (loop *loop) inEvacuatedDomain(id string) bool {
	for i := range loop.upstreams {
		if loop.upstreams[i].ID == id {
			return loop.evacuations.Evacuated(loop.upstreams[i].Domain)
		}
	}
	return false
}
