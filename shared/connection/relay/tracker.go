package relay

import (
	"slices"
	"time"

	"tanagerfall/shared/request/cell"
	"tanagerfall/shared/version/region"
)

const (
	// DefaultMinUpstreams is the number of upstreams from which a scheduler uses relays. With
	// fewer, its own processor time suffices, and the way over a relay costs a
	// round trip and a second decoding.
	DefaultMinUpstreams = 128
	// orderTimeout exceeds the time that a relay gives an order, without the
	// time that a watch may wait, by a few round trips between entry VMs.
	orderTimeout = 200 * time.Millisecond
	// suspectFor is how long a relay that lost an order gets none. It is about
	// the silence after which a process counts as gone.
	suspectFor = time.Second
	// slowFor is how long a relay whose starts are slow gets no orders. VMs
	// turn slow for some seconds.
	slowFor = 5 * time.Second
	// slowStart is the average time of a relay's starts from which it counts as
	// slow. Upstreams answer within a few ms.
	slowStart = 30 * time.Millisecond
	// startGain is the weight of one start in that average.
	startGain = 0.1
	// numberBits is the part of an order's number that counts the orders of one
	// Tracker.
	numberBits = 40
)

// Tracker chooses the relay of each upstream and keeps the orders that have no
// answer yet.
type Tracker struct {
	upstreams map[string]string
	members   []region.Member
	// suspects holds until when a relay gets no orders.
	suspects map[string]time.Time
	// starts holds the average time of a relay's starts.
	starts map[string]time.Duration
	// chosen holds the relays of upstreams as far as they were asked for.
	chosen  map[string]string
	pending map[uint64]pending
	queued  map[string][]Order
	next    uint64
	from    int
}

type pending struct {
	order Order
	relay string
	sent  time.Time
	until time.Time
}

// New returns a Tracker without members. The numbers of its orders differ from
// those of a Tracker with another epoch. Relays are used from that many
// upstreams on.
func New(epoch, from int) *Tracker {
	return &Tracker{
		upstreams: make(map[string]string),
		suspects:  make(map[string]time.Time),
		starts:    make(map[string]time.Duration),
		chosen:    make(map[string]string),
		pending:   make(map[uint64]pending),
		queued:    make(map[string][]Order),
		next:      uint64(epoch) << numberBits,
		from:      from,
	}
}

// SetUpstreams sets the upstreams that orders are for.
func (tracker *Tracker) SetUpstreams(rows []cell.Upstream) {
	clear(tracker.upstreams)
	for _, row := range rows {
		tracker.upstreams[row.ID] = row.Domain
	}
	clear(tracker.chosen)
}

// SetMembers sets the processes that may carry orders, sorted by address.
func (tracker *Tracker) SetMembers(now time.Time, members []region.Member) {
	for address, until := range tracker.suspects {
		if !now.Before(until) {
			delete(tracker.suspects, address)
			clear(tracker.chosen)
		}
	}
	if !slices.Equal(members, tracker.members) {
		tracker.members = members
		clear(tracker.chosen)
	}
}

// Choose returns the relay for the orders to an upstream: a process of its
// failure domain, if there is one. The upstream keeps its relay as long as that
// is a member. It returns false where the scheduler sends orders itself.
func (tracker *Tracker) Choose(upstream string) (string, bool) {
	if len(tracker.upstreams) < tracker.from {
		return "", false
	}
	chosen, known := tracker.chosen[upstream]
	if !known {
		chosen = tracker.choose(upstream)
		tracker.chosen[upstream] = chosen
	}
	return chosen, chosen != ""
}

func (tracker *Tracker) choose(upstream string) string {
	domain := tracker.upstreams[upstream]
	var near, far string
	nearest, farthest := -1.0, -1.0
	for _, member := range tracker.members {
		if _, suspected := tracker.suspects[member.Address]; suspected {
			continue
		}
		score := region.RendezvousScore(member, upstream)
		if member.Domain == domain && score > nearest {
			near, nearest = member.Address, score
		}
		if score > farthest {
			far, farthest = member.Address, score
		}
	}
	if near != "" {
		return near
	}
	return far
}

// Enqueue queues an order for a relay.
func (tracker *Tracker) Enqueue(now time.Time, relay string, order Order) {
	tracker.next++
	order.Number = tracker.next
	wait := orderTimeout
	if order.Poll != nil {
		wait += order.Poll.Wait
	}
	tracker.pending[order.Number] = pending{
		order: order,
		relay: relay,
		sent:  now,
		until: now.Add(wait),
	}
	tracker.queued[relay] = append(tracker.queued[relay], order)
}

// TakeQueued returns the queued orders by relay, and empties the queues.
func (tracker *Tracker) TakeQueued() map[string][]Order {
	if len(tracker.queued) == 0 {
		return nil
	}
	taken := tracker.queued
	tracker.queued = make(map[string][]Order, len(taken))
	return taken
}

// HandleReply returns the event that a relay's answer stands for, and when the
// order was given. It returns nil for an order that has an answer.
func (tracker *Tracker) HandleReply(now time.Time, reply Reply) (cell.Event, time.Time) {
	held, known := tracker.pending[reply.Number]
	if !known {
		return nil, time.Time{}
	}
	delete(tracker.pending, reply.Number)
	if held.order.Start != nil && reply.Outcome == cell.OutcomeDone {
		tracker.measure(now, held.relay, reply.RoundTrip)
	}
	return held.order.event(held.sent, now, reply), held.sent
}

func (tracker *Tracker) measure(now time.Time, relay string, took time.Duration) {
	average := tracker.starts[relay]
	average += time.Duration(startGain * float64(took-average))
	tracker.starts[relay] = average
	if average > slowStart && tracker.suspect(relay, now.Add(slowFor)) {
		delete(tracker.starts, relay)
	}
}

// suspect gives a relay no orders for a time, unless that left less than half
// of the members: then it is not the relay that fails.
func (tracker *Tracker) suspect(relay string, until time.Time) bool {
	if _, suspected := tracker.suspects[relay]; !suspected && 2*(len(tracker.suspects)+1) > len(tracker.members) {
		return false
	}
	if until.After(tracker.suspects[relay]) {
		tracker.suspects[relay] = until
	}
	clear(tracker.chosen)
	return true
}

// HandleDisconnect takes note that the connection to a relay broke. It returns the events
// for the orders that it had: what came of them is not known.
func (tracker *Tracker) HandleDisconnect(now time.Time, relay string) []cell.Event {
	return tracker.lose(now, func(held pending) bool { return held.relay == relay })
}

// Expire returns the events for the orders whose answers are overdue.
func (tracker *Tracker) Expire(now time.Time) []cell.Event {
	return tracker.lose(now, func(held pending) bool { return now.After(held.until) })
}

func (tracker *Tracker) lose(now time.Time, lost func(held pending) bool) []cell.Event {
	var numbers []uint64
	for number, held := range tracker.pending {
		if lost(held) {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	events := make([]cell.Event, 0, len(numbers))
	for _, number := range numbers {
		held := tracker.pending[number]
		delete(tracker.pending, number)
		tracker.suspect(held.relay, now.Add(suspectFor))
		events = append(events, held.order.event(held.sent, now, Reply{
			Outcome: cell.OutcomeUnknown,
		}))
	}
	return events
}

// SuspectedRelays returns the relays that get no orders at present, sorted.
func (tracker *Tracker) SuspectedRelays() []string {
	suspects := make([]string, 0, len(tracker.suspects))
	for address := range tracker.suspects {
		suspects = append(suspects, address)
	}
	slices.Sort(suspects)
	return suspects
}

// PendingOrders returns the number of orders without an answer.
func (tracker *Tracker) PendingOrders() int { return len(tracker.pending) }
