package dispatcher

import (
	"testing"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/connection/relay"
	"tanagerfall/shared/request/cell"
	"tanagerfall/shared/version/evacuation"
	"tanagerfall/shared/version/region"
)

// Guards against a relay that starts tasks in an evacuated domain for a scheduler that
// does not know of the evacuation yet, and against one that knows less than the scheduler
// and refuses its starts after the evacuation was taken back.
func TestRelayRefusesStartsInEvacuatedDomains(t *testing.T) {
	loop := newEntryVMLoop(t)
	sent := make(sentMessages)
	loop.dispatcher.links = sent
	executed := 0
	loop.dispatcher.execute = func(relay.Order, func(cell.Event)) { executed++ }
	var upstreams []cell.Upstream
	for id, domain := range inOrder(map[string]string{"u1": "a", "u2": "b"}) {
		upstreams = append(upstreams, cell.Upstream{
			ID:     id,
			Domain: domain,
		})
	}
	loop.adoptUpstreams(upstreams, 0)
	loop.evacuations.AdoptRead(evacuation.Snapshot{
		Position: 7,
		Domains:  []string{"a"},
	})
	start := func(upstream string) relay.Order {
		return relay.Order{
			Start: &cell.StartRun{
				Order: cell.Order{
					Upstream: upstream,
				},
			},
		}
	}
	poll := relay.Order{
		Poll: &cell.Poll{
			Order: start("u1").Start.Order,
		},
	}
	loop.executeRelayedOrders(schedulerAddress, 1, []relay.Order{start("u1"), start("u2"), poll})
	assert.Equal(t, executed, 2)
	assert.Equal(t, len(sent.evacuations(schedulerAddress)), 1, "the scheduler is told")
	replies := loop.queuedReplies[remoteScheduler{
		address:     schedulerAddress,
		incarnation: 1,
	}]
	assert.Equal(t, len(replies), 1)
	assert.Equal(t, replies[0].Outcome, cell.OutcomeFull)

	loop.view.HandleHeartbeat(region.Heartbeat{
		Member: region.Member{
			Address:     schedulerAddress,
			Incarnation: 1,
		},
		EvacuationsPosition: 9,
	}, 0)
	loop.executeRelayedOrders(schedulerAddress, 1, []relay.Order{start("u1")})
	assert.Equal(t, executed, 3)
}

// evacuations returns the snapshots that were sent to an address.
func (sent sentMessages) evacuations(address string) []evacuation.Snapshot {
	var snapshots []evacuation.Snapshot
	for _, message := range sent[address] {
		if message.Evacuations != nil {
			snapshots = append(snapshots, *message.Evacuations)
		}
	}
	return snapshots
}

// Guards against a process that has started and schedules before it is told of an
// evacuation, and against peers that are told while they may read it themselves.
func TestStartedPeerIsToldOfEvacuationsAtOnce(t *testing.T) {
	loop := newEntryVMLoop(t)
	sent := make(sentMessages)
	loop.dispatcher.links = sent
	loop.receiveHeartbeat()
	loop.evacuations.AdoptRead(evacuation.Snapshot{
		Position: 7,
		Domains:  []string{"a"},
	})
	loop.receiveHeartbeat()
	assert.Equal(t, len(sent.evacuations(entryVMAddress)), 0)
	restarted := heartbeatTo(loop.view.Self().Address)
	restarted.Heartbeat.Member.Incarnation++
	loop.receive(restarted)
	assert.Equal(t, len(sent.evacuations(entryVMAddress)), 1)
}
