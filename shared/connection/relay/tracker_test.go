package relay_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/connection/relay"
	"tanagerfall/shared/request/cell"
	"tanagerfall/shared/version/region"
)

var testStart = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

// afterMs returns the time so many ms after testStart.
func afterMs(ms int) time.Time { return testStart.Add(time.Duration(ms) * time.Millisecond) }

func members(count int) []region.Member {
	var list []region.Member
	for number := range count {
		list = append(list, region.Member{
			Address: fmt.Sprintf("vm-%d", number),
			Domain:  fmt.Sprintf("domain-%d", number%3),
			Weight:  1,
		})
	}
	return list
}

func upstreams(count int) []cell.Upstream {
	var list []cell.Upstream
	for number := range count {
		list = append(list, cell.Upstream{
			ID:     fmt.Sprintf("w%d", number),
			Domain: fmt.Sprintf("domain-%d", number%3),
		})
	}
	return list
}

func newTracker(epoch, memberCount, upstreamCount, minUpstreams int) *relay.Tracker {
	tracker := relay.New(epoch, minUpstreams)
	tracker.SetUpstreams(upstreams(upstreamCount))
	tracker.SetMembers(testStart, members(memberCount))
	return tracker
}

// start returns an order to start a run.
func start(upstream string) relay.Order {
	return relay.Order{
		Start: &cell.StartRun{
			Order: cell.Order{
				Upstream: upstream,
				Token:    7,
			},
			Run: cell.RunName{
				Task: cell.TaskName{
					Job: "job",
				},
				Number: 1,
			},
		},
	}
}

// poll returns an order that polls the runs of an upstream.
func poll(upstream string, wait time.Duration) relay.Order {
	return relay.Order{
		Poll: &cell.Poll{
			Order: cell.Order{
				Upstream: upstream,
			},
			Wait: wait,
		},
	}
}

// Guards against the cost of relays in a small region, and against a choice of
// relays by a scheduler that is the only process.
func TestRelaysAreUsedFromMinUpstreams(t *testing.T) {
	for _, test := range []struct {
		name          string
		memberCount   int
		upstreamCount int
		want          bool
	}{
		{"few upstreams", 6, 9, false},
		{"many upstreams", 6, 10, true},
		{"no other process", 0, 10, false},
	} {
		_, relayed := newTracker(1, test.memberCount, test.upstreamCount, 10).Choose("w0")
		assert.Equal(t, relayed, test.want, test.name)
	}
}

// Guards against an upstream that changes its relay when another process joins or
// leaves, as connections to upstreams are priced, and against a relay in another
// failure domain, from which the upstream is separated when a partition cuts off
// its domain.
func TestRelaysAreStableAndInTheFailureDomain(t *testing.T) {
	tracker := newTracker(1, 12, 60, 1)
	domains := make(map[string]string)
	for _, member := range members(12) {
		domains[member.Address] = member.Domain
	}
	relays := make(map[string]string)
	counts := make(map[string]int)
	for _, upstream := range upstreams(60) {
		address, relayed := tracker.Choose(upstream.ID)
		assert.Assert(t, relayed)
		assert.Equal(t, domains[address], upstream.Domain)
		relays[upstream.ID] = address
		counts[address]++
	}
	assert.Equal(t, len(counts), 12, "each relay must have upstreams: %v", counts)
	tracker.SetMembers(afterMs(10), members(11))
	for _, upstream := range upstreams(60) {
		address, _ := tracker.Choose(upstream.ID)
		if relays[upstream.ID] != "vm-11" {
			assert.Equal(t, address, relays[upstream.ID])
		}
		assert.Assert(t, address != "vm-11")
	}
	// The failure domain has no process left, so that any other may be the relay.
	tracker.SetMembers(afterMs(20), members(2))
	address, relayed := tracker.Choose("w2")
	assert.Assert(t, relayed)
	assert.Assert(t, address == "vm-0" || address == "vm-1")
}

// Guards against a task that starts twice because an order that a relay lost is
// reported as not sent, although the relay may have executed it.
func TestLostOrdersAreUnknown(t *testing.T) {
	tracker := newTracker(1, 6, 12, 1)
	address, _ := tracker.Choose("w0")
	tracker.Enqueue(testStart, address, start("w0"))
	tracker.Enqueue(testStart, address, poll("w0", 300*time.Millisecond))
	batches := tracker.TakeQueued()
	assert.Equal(t, len(batches[address]), 2)
	assert.Equal(t, len(tracker.TakeQueued()), 0)

	assert.Equal(t, len(tracker.Expire(afterMs(200))), 0)
	expired := tracker.Expire(afterMs(201))
	assert.Equal(t, len(expired), 1, "a long poll must expire later than a start")
	startReplied := expired[0].(cell.StartReplied)
	assert.Equal(t, startReplied.Reply.Outcome, cell.OutcomeUnknown)
	assert.Equal(t, startReplied.Reply.SentAt, testStart)
	assert.Equal(t, startReplied.Run.Number, 1)

	disconnected := tracker.HandleDisconnect(afterMs(210), address)
	assert.Equal(t, len(disconnected), 1)
	assert.Equal(t, disconnected[0].(cell.PollReplied).Reply.Outcome, cell.OutcomeUnknown)
	assert.Equal(t, tracker.PendingOrders(), 0)

	// A reply that arrives later is ignored.
	event, _ := tracker.HandleReply(afterMs(220), relay.Reply{
		Number: batches[address][0].Number,
	})
	assert.Assert(t, event == nil)
}

// Guards against further orders to a relay that hangs, and against a scheduler
// that suspects one relay after the other when the fault is its own connection
// to most of them.
func TestRelaysThatLoseOrdersAreSuspected(t *testing.T) {
	tracker := newTracker(1, 6, 12, 1)
	address, _ := tracker.Choose("w0")
	tracker.Enqueue(testStart, address, start("w0"))
	tracker.Expire(afterMs(201))
	assert.DeepEqual(t, tracker.SuspectedRelays(), []string{address})
	substitute, relayed := tracker.Choose("w0")
	assert.Assert(t, relayed)
	assert.Assert(t, substitute != address)

	for _, member := range members(6) {
		tracker.Enqueue(afterMs(201), member.Address, start("w1"))
	}
	tracker.Expire(afterMs(402))
	assert.Equal(t, len(tracker.SuspectedRelays()), 3, "at most half of the relays may be suspected")

	tracker.SetMembers(afterMs(1500), members(6))
	assert.Equal(t, len(tracker.SuspectedRelays()), 0)
	restored, _ := tracker.Choose("w0")
	assert.Equal(t, restored, address)
}

// Guards against the use of a relay on a slow VM. It replies to all orders, but
// late, so that each start through it uses up a part of the latency objective of
// its task.
func TestSlowRelaysAreSuspected(t *testing.T) {
	tracker := newTracker(1, 6, 12, 1)
	address, _ := tracker.Choose("w0")
	for range 20 {
		tracker.Enqueue(testStart, address, start("w0"))
		for _, order := range tracker.TakeQueued()[address] {
			event, sentAt := tracker.HandleReply(afterMs(70), relay.Reply{
				Number:    order.Number,
				RoundTrip: 60 * time.Millisecond,
			})
			assert.Assert(t, event != nil)
			assert.Equal(t, sentAt, testStart)
		}
	}
	assert.DeepEqual(t, tracker.SuspectedRelays(), []string{address})
}

// Guards against a reply to an order of an earlier Cell that is taken for a reply
// to an order of the current one.
func TestNumbersDifferBetweenTrackers(t *testing.T) {
	first, second := newTracker(1, 6, 12, 1), newTracker(2, 6, 12, 1)
	address, _ := first.Choose("w0")
	first.Enqueue(testStart, address, start("w0"))
	second.Enqueue(testStart, address, start("w0"))
	event, _ := second.HandleReply(testStart, relay.Reply{
		Number: first.TakeQueued()[address][0].Number,
	})
	assert.Assert(t, event == nil)
	assert.Equal(t, second.PendingOrders(), 1)
}

// Guards against parts of an upstream's reply that are lost on the way through a
// relay.
func TestRepliesCarryTheUpstreamReply(t *testing.T) {
	tracker := newTracker(1, 6, 12, 1)
	run := cell.RunName{
		Task: cell.TaskName{
			Job:  "job",
			Step: 1,
		},
		Number: 3,
	}
	for _, test := range []struct {
		order relay.Order
		event cell.Event
	}{
		{start("w0"), cell.StartReplied{
			Reply: cell.Reply{
				Outcome: cell.OutcomeFull,
				Clock:   42,
			},
			Run: start("w0").Start.Run,
		}},
		{relay.Order{
			Stop: &cell.StopRun{
				Run: run,
			},
		}, cell.StopReplied{
			Reply: cell.Reply{
				Outcome: cell.OutcomeDone,
				Clock:   43,
			},
			Run: run,
		}},
		{poll("w0", 0), cell.PollReplied{
			Reply: cell.Reply{
				Clock: 44,
			},
			Incarnation: 9,
			Running: []cell.RunningRun{{
				Run:     run,
				Percent: 40,
			}},
			Ended: []cell.EndedRun{{
				Run:      run,
				Sequence: 5,
				End:      cell.EndFailed,
			}},
		}},
	} {
		tracker.Enqueue(testStart, "vm-0", test.order)
		number := tracker.TakeQueued()["vm-0"][0].Number
		replied, _ := tracker.HandleReply(afterMs(5), relay.NewReply(number, test.event))
		switch want := test.event.(type) {
		case cell.StartReplied:
			want.Reply.Order = test.order.Start.Order
			want.Reply.SentAt, want.Reply.ReceivedAt = testStart, afterMs(5)
			assert.DeepEqual(t, replied, want)
		case cell.StopReplied:
			want.Reply.SentAt, want.Reply.ReceivedAt = testStart, afterMs(5)
			assert.DeepEqual(t, replied, want)
		case cell.PollReplied:
			want.Reply.Order = test.order.Poll.Order
			want.Reply.SentAt, want.Reply.ReceivedAt = testStart, afterMs(5)
			assert.DeepEqual(t, replied, want)
		}
	}
}

// Guards against an order of an unknown kind, as a scheduler of a later version
// may send, that is reported as executed.
func TestOrdersOfUnknownKindAreNotSent(t *testing.T) {
	var unknown relay.Order
	assert.Assert(t, unknown.Execute(t.Context(), nil) == nil)
	assert.Equal(t, relay.NewReply(1, nil).Outcome, cell.OutcomeNotSent)
}

func BenchmarkOrder(b *testing.B) {
	for _, count := range []int{100, 1000} {
		b.Run(fmt.Sprintf("upstreams-%d", count), func(b *testing.B) {
			tracker := newTracker(1, 32, count, 1)
			for i := range b.N {
				upstream := fmt.Sprintf("w%d", i%count)
				address, _ := tracker.Choose(upstream)
				tracker.Enqueue(testStart, address, start(upstream))
				tracker.HandleReply(testStart, relay.Reply{
					Number: tracker.TakeQueued()[address][0].Number,
				})
			}
		})
	}
}

// Guards against a start with another spec than its job's, and against orders that
// the packing changes for the scheduler, which may send them again.
func TestPackedOrdersKeepTheirSpecs(t *testing.T) {
	var orders []relay.Order
	for number, spec := range []string{"a", "a", "b", "", "a"} {
		orders = append(orders, relay.Order{
			Number: uint64(number),
			Start: &cell.StartRun{
				Spec: spec,
			},
		})
	}
	orders = append(orders, relay.Order{
		Number: 5,
		Poll:   &cell.Poll{},
	})
	packed, specs := relay.Pack(orders)
	assert.DeepEqual(t, specs, []string{"a", "b"})
	assert.Equal(t, orders[0].Start.Spec, "a")
	assert.Equal(t, packed[0].Start.Spec, "")
	for i, order := range relay.Unpack(packed, specs) {
		assert.Equal(t, order.Number, orders[i].Number)
		if order.Start != nil {
			assert.Equal(t, order.Start.Spec, orders[i].Start.Spec)
		}
	}
	packed, _ = relay.Pack(orders)
	unpacked := relay.Unpack(packed, nil)
	assert.Assert(t, unpacked[0].Start == nil, "a start without its spec must not be executed")
	assert.Assert(t, unpacked[0].Execute(t.Context(), nil) == nil)
}
