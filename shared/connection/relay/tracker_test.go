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

var began = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func after(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }

func members(count int) []region.Member {
	var all []region.Member
	for number := range count {
		all = append(all, region.Member{
			Address: fmt.Sprintf("vm-%d", number),
			Domain:  fmt.Sprintf("domain-%d", number%3),
			Weight:  1,
		})
	}
	return all
}

func upstreams(count int) []cell.Upstream {
	var rows []cell.Upstream
	for number := range count {
		rows = append(rows, cell.Upstream{
			ID:     fmt.Sprintf("w%d", number),
			Domain: fmt.Sprintf("domain-%d", number%3),
		})
	}
	return rows
}

func newTracker(epoch, vms, workers, from int) *relay.Tracker {
	tracker := relay.New(epoch, from)
	tracker.SetUpstreams(upstreams(workers))
	tracker.SetMembers(began, members(vms))
	return tracker
}

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

func watch(upstream string, wait time.Duration) relay.Order {
	return relay.Order{
		Poll: &cell.Poll{
			Order: cell.Order{
				Upstream: upstream,
			},
			Wait: wait,
		},
	}
}

// A small region must not pay for the way over relays, and a scheduler that is
// alone has nobody to relay.
func TestRelaysAreUsedFromASize(t *testing.T) {
	for _, test := range []struct {
		name    string
		vms     int
		workers int
		want    bool
	}{
		{"few upstreams", 6, 9, false},
		{"many upstreams", 6, 10, true},
		{"no other process", 0, 10, false},
	} {
		_, through := newTracker(1, test.vms, test.workers, 10).Choose("w0")
		assert.Equal(t, through, test.want, test.name)
	}
}

// Connections to upstreams are priced, so an upstream keeps its relay when
// another process comes or goes; a relay in another failure domain is cut off
// from the upstream when the domain is.
func TestRelaysStayAndAreNear(t *testing.T) {
	tracker := newTracker(1, 12, 60, 1)
	domains := make(map[string]string)
	for _, member := range members(12) {
		domains[member.Address] = member.Domain
	}
	before := make(map[string]string)
	used := make(map[string]int)
	for _, row := range upstreams(60) {
		address, through := tracker.Choose(row.ID)
		assert.Assert(t, through)
		assert.Equal(t, domains[address], row.Domain)
		before[row.ID] = address
		used[address]++
	}
	assert.Equal(t, len(used), 12, "all relays have upstreams: %v", used)
	tracker.SetMembers(after(10), members(11))
	for _, row := range upstreams(60) {
		address, _ := tracker.Choose(row.ID)
		if before[row.ID] != "vm-11" {
			assert.Equal(t, address, before[row.ID])
		}
		assert.Assert(t, address != "vm-11")
	}
	// No process of the domain is left: any other may do.
	tracker.SetMembers(after(20), members(2))
	address, through := tracker.Choose("w2")
	assert.Assert(t, through)
	assert.Assert(t, address == "vm-0" || address == "vm-1")
}

// An order that a relay loses may have been carried out: taken as not sent, its
// task would start twice.
func TestLostOrdersAreUnknown(t *testing.T) {
	tracker := newTracker(1, 6, 12, 1)
	address, _ := tracker.Choose("w0")
	tracker.Enqueue(began, address, start("w0"))
	tracker.Enqueue(began, address, watch("w0", 300*time.Millisecond))
	taken := tracker.TakeQueued()
	assert.Equal(t, len(taken[address]), 2)
	assert.Equal(t, len(tracker.TakeQueued()), 0)

	assert.Equal(t, len(tracker.Expire(after(200))), 0)
	lost := tracker.Expire(after(201))
	assert.Equal(t, len(lost), 1, "a watch may wait longer than a start")
	started := lost[0].(cell.StartReplied)
	assert.Equal(t, started.Reply.Outcome, cell.OutcomeUnknown)
	assert.Equal(t, started.Reply.SentAt, began)
	assert.Equal(t, started.Run.Number, 1)

	broken := tracker.HandleDisconnect(after(210), address)
	assert.Equal(t, len(broken), 1)
	assert.Equal(t, broken[0].(cell.PollReplied).Reply.Outcome, cell.OutcomeUnknown)
	assert.Equal(t, tracker.PendingOrders(), 0)

	// The answer that comes after all changes nothing.
	event, _ := tracker.HandleReply(after(220), relay.Reply{
		Number: taken[address][0].Number,
	})
	assert.Assert(t, event == nil)
}

// A relay that hangs must not get the next orders as well, but when the sender
// itself loses touch with most of them it must not wander from one to another.
func TestRelaysThatLoseOrdersAreSuspected(t *testing.T) {
	tracker := newTracker(1, 6, 12, 1)
	address, _ := tracker.Choose("w0")
	tracker.Enqueue(began, address, start("w0"))
	tracker.Expire(after(201))
	assert.DeepEqual(t, tracker.SuspectedRelays(), []string{address})
	other, through := tracker.Choose("w0")
	assert.Assert(t, through)
	assert.Assert(t, other != address)

	for _, member := range members(6) {
		tracker.Enqueue(after(201), member.Address, start("w1"))
	}
	tracker.Expire(after(402))
	assert.Equal(t, len(tracker.SuspectedRelays()), 3, "half of the relays at most")

	tracker.SetMembers(after(1500), members(6))
	assert.Equal(t, len(tracker.SuspectedRelays()), 0)
	back, _ := tracker.Choose("w0")
	assert.Equal(t, back, address)
}

// A relay on a slow VM answers all orders, only late: each start through it
// would cost a part of its task's latency objective.
func TestSlowRelaysAreSuspected(t *testing.T) {
	tracker := newTracker(1, 6, 12, 1)
	address, _ := tracker.Choose("w0")
	for range 20 {
		tracker.Enqueue(began, address, start("w0"))
		for _, order := range tracker.TakeQueued()[address] {
			event, sent := tracker.HandleReply(after(70), relay.Reply{
				Number:    order.Number,
				RoundTrip: 60 * time.Millisecond,
			})
			assert.Assert(t, event != nil)
			assert.Equal(t, sent, began)
		}
	}
	assert.DeepEqual(t, tracker.SuspectedRelays(), []string{address})
}

// Answers to the orders of an earlier Cell must not be taken for those of the
// present one.
func TestNumbersDifferBetweenTrackers(t *testing.T) {
	first, second := newTracker(1, 6, 12, 1), newTracker(2, 6, 12, 1)
	address, _ := first.Choose("w0")
	first.Enqueue(began, address, start("w0"))
	second.Enqueue(began, address, start("w0"))
	event, _ := second.HandleReply(began, relay.Reply{
		Number: first.TakeQueued()[address][0].Number,
	})
	assert.Assert(t, event == nil)
	assert.Equal(t, second.PendingOrders(), 1)
}

// What an upstream answers must reach the scheduler whole through a Reply.
func TestRepliesCarryTheAnswer(t *testing.T) {
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
		{watch("w0", 0), cell.PollReplied{
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
		tracker.Enqueue(began, "vm-0", test.order)
		number := tracker.TakeQueued()["vm-0"][0].Number
		got, _ := tracker.HandleReply(after(5), relay.NewReply(number, test.event))
		switch want := test.event.(type) {
		case cell.StartReplied:
			want.Reply.Order = test.order.Start.Order
			want.Reply.SentAt, want.Reply.ReceivedAt = began, after(5)
			assert.DeepEqual(t, got, want)
		case cell.StopReplied:
			want.Reply.SentAt, want.Reply.ReceivedAt = began, after(5)
			assert.DeepEqual(t, got, want)
		case cell.PollReplied:
			want.Reply.Order = test.order.Poll.Order
			want.Reply.SentAt, want.Reply.ReceivedAt = began, after(5)
			assert.DeepEqual(t, got, want)
		}
	}
}

// A peer of a later version may send an order of a kind that this one does not
// know. It must not be told as carried out.
func TestUnknownOrdersAreNotSent(t *testing.T) {
	var unknown relay.Order
	assert.Assert(t, unknown.Execute(t.Context(), nil) == nil)
	assert.Equal(t, relay.NewReply(1, nil).Outcome, cell.OutcomeNotSent)
}

func BenchmarkOrder(b *testing.B) {
	for _, count := range []int{100, 1000} {
		b.Run(fmt.Sprintf("upstreams-%d", count), func(b *testing.B) {
			tracker := newTracker(1, 32, count, 1)
			for turn := range b.N {
				upstream := fmt.Sprintf("w%d", turn%count)
				address, _ := tracker.Choose(upstream)
				tracker.Enqueue(began, address, start(upstream))
				tracker.HandleReply(began, relay.Reply{
					Number: tracker.TakeQueued()[address][0].Number,
				})
			}
		})
	}
}
