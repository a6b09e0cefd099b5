package relay

import (
	"slices"
	"time"

	"tanagerfall/shared/request/cell"
	"tanagerfall/shared/version/region"
)

const (
	// DefaultMinUpstreams is the number of upstreams from which a scheduler uses
	// relays by default. With fewer, its own processor time suffices, and a relay
	// would cost a round trip and a second decoding per order.
	DefaultMinUpstreams = 128
	// orderTimeout is how long a Tracker waits for a reply, in addition to the
	// wait of a long poll. It exceeds the time that a relay gives an order by a
	// few round trips between entry VMs.
	orderTimeout = 200 * time.Millisecond
	// lossSuspicion is how long a relay that lost an order is suspected. It is
	// about the silence after which a process is no longer live.
	lossSuspicion = time.Second
	// slowSuspicion is how long a relay with slow starts is suspected. VMs run
	// slowly for some seconds at a time.
	slowSuspicion = 5 * time.Second
	// slowStartTime is the average round trip of a relay's starts above which the
	// relay is slow. Upstreams reply within a few ms.
	slowStartTime = 30 * time.Millisecond
	// startTimeWeight is the weight of a new value in that moving average.
	startTimeWeight = 0.1
	// counterBits is the number of low bits of an order's number that count the
	// orders of one Tracker. The bits above hold its epoch.
	counterBits = 40
)

// Tracker assigns a relay to each upstream, queues the orders for the relays and
// tracks the orders without a reply. Relays that lose orders or are slow are
// suspected: they get no orders for a time.
type Tracker struct {
	// domains holds the failure domains of the upstreams by ID.
	domains map[string]string
	members []region.Member
	// suspectedUntil holds, by address, when the suspicion of a relay ends.
	suspectedUntil map[string]time.Time
	// startTimes holds, by address, the moving average of the round trips of a
	// relay's starts.
	startTimes map[string]time.Duration
	// assigned caches the relays of upstreams; empty for an upstream without one.
	assigned map[string]string
	// pendingOrders holds, by number, the orders without a reply.
	pendingOrders map[uint64]pendingOrder
	// queued holds, by relay, the orders that were not sent yet.
	queued       map[string][]Order
	lastNumber   uint64
	minUpstreams int
}

// pendingOrder is an order that has no reply yet.
type pendingOrder struct {
	order     Order
	relay     string
	sentAt    time.Time
	expiresAt time.Time
}

// New returns a Tracker without upstreams and members. epoch identifies the
// cell.Cell that gives the orders: their numbers differ from those of a Tracker
// with another epoch. Relays are used if there are at least minUpstreams
// upstreams.
func New(epoch, minUpstreams int) *Tracker {
	return &Tracker{
		domains:        make(map[string]string),
		suspectedUntil: make(map[string]time.Time),
		startTimes:     make(map[string]time.Duration),
		assigned:       make(map[string]string),
		pendingOrders:  make(map[uint64]pendingOrder),
		queued:         make(map[string][]Order),
		lastNumber:     uint64(epoch) << counterBits,
		minUpstreams:   minUpstreams,
	}
}

// SetUpstreams replaces the upstreams that relays are assigned to.
func (tracker *Tracker) SetUpstreams(upstreams []cell.Upstream) {
	clear(tracker.domains)
	for _, upstream := range upstreams {
		tracker.domains[upstream.ID] = upstream.Domain
	}
	clear(tracker.assigned)
}

// SetMembers sets the processes that may be relays, sorted by address. It also
// ends the suspicions whose time is over.
func (tracker *Tracker) SetMembers(now time.Time, members []region.Member) {
	for address, until := range tracker.suspectedUntil {
		if !now.Before(until) {
			delete(tracker.suspectedUntil, address)
			clear(tracker.assigned)
		}
	}
	if !slices.Equal(members, tracker.members) {
		tracker.members = members
		clear(tracker.assigned)
	}
}

// Choose returns the address of the relay for orders to an upstream: a process
// in the failure domain of the upstream, if there is one. The upstream keeps its
// relay while that is a member and not suspected. Choose returns false if the
// scheduler must send the orders itself.
func (tracker *Tracker) Choose(upstream string) (string, bool) {
	if len(tracker.domains) < tracker.minUpstreams {
		return "", false
	}
	relay, ok := tracker.assigned[upstream]
	if !ok {
		relay = tracker.selectRelay(upstream)
		tracker.assigned[upstream] = relay
	}
	return relay, relay != ""
}

// selectRelay returns the member that is not suspected and has the highest
// rendezvous score for an upstream. Members in the failure domain of the
// upstream are preferred.
func (tracker *Tracker) selectRelay(upstream string) string {
	domain := tracker.domains[upstream]
	var inDomain, inRegion string
	inDomainScore, inRegionScore := -1.0, -1.0
	for _, member := range tracker.members {
		if _, suspected := tracker.suspectedUntil[member.Address]; suspected {
			continue
		}
		score := region.RendezvousScore(member, upstream)
		if member.Domain == domain && score > inDomainScore {
			inDomain, inDomainScore = member.Address, score
		}
		if score > inRegionScore {
			inRegion, inRegionScore = member.Address, score
		}
	}
	if inDomain != "" {
		return inDomain
	}
	return inRegion
}

// Enqueue numbers an order and queues it for a relay.
func (tracker *Tracker) Enqueue(now time.Time, relay string, order Order) {
	tracker.lastNumber++
	order.Number = tracker.lastNumber
	timeout := orderTimeout
	if order.Poll != nil {
		timeout += order.Poll.Wait
	}
	tracker.pendingOrders[order.Number] = pendingOrder{
		order:     order,
		relay:     relay,
		sentAt:    now,
		expiresAt: now.Add(timeout),
	}
	tracker.queued[relay] = append(tracker.queued[relay], order)
}

// TakeQueued returns the queued orders by relay, and empties the queues.
func (tracker *Tracker) TakeQueued() map[string][]Order {
	if len(tracker.queued) == 0 {
		return nil
	}
	batches := tracker.queued
	tracker.queued = make(map[string][]Order, len(batches))
	return batches
}

// HandleReply returns the event for a relay's reply, and when the order was
// queued. It returns nil for an order that is not pending: one that already has
// a reply, has expired or is of another Tracker.
func (tracker *Tracker) HandleReply(now time.Time, reply Reply) (cell.Event, time.Time) {
	pending, ok := tracker.pendingOrders[reply.Number]
	if !ok {
		return nil, time.Time{}
	}
	delete(tracker.pendingOrders, reply.Number)
	if pending.order.Start != nil && reply.Outcome == cell.OutcomeDone {
		tracker.recordStartTime(now, pending.relay, reply.RoundTrip)
	}
	return pending.order.replyEvent(pending.sentAt, now, reply), pending.sentAt
}

// recordStartTime updates the moving average of a relay, and suspects the relay
// if it is slow.
func (tracker *Tracker) recordStartTime(now time.Time, relay string, roundTrip time.Duration) {
	average := tracker.startTimes[relay]
	average += time.Duration(startTimeWeight * float64(roundTrip-average))
	tracker.startTimes[relay] = average
	if average > slowStartTime && tracker.suspect(relay, now.Add(slowSuspicion)) {
		delete(tracker.startTimes, relay)
	}
}

// suspect excludes a relay from orders for a time and returns true. It refuses
// to suspect more than half of the members: then the scheduler or the network
// fails rather than the relay.
func (tracker *Tracker) suspect(relay string, until time.Time) bool {
	if _, suspected := tracker.suspectedUntil[relay]; !suspected && 2*(len(tracker.suspectedUntil)+1) > len(tracker.members) {
		return false
	}
	if until.After(tracker.suspectedUntil[relay]) {
		tracker.suspectedUntil[relay] = until
	}
	clear(tracker.assigned)
	return true
}

// HandleDisconnect records that the connection to a relay broke. It returns
// events with OutcomeUnknown for the pending orders of the relay, which may or
// may not have been executed, and suspects the relay if there are any.
func (tracker *Tracker) HandleDisconnect(now time.Time, relay string) []cell.Event {
	return tracker.failOrders(now, func(pending pendingOrder) bool { return pending.relay == relay })
}

// Expire returns events with OutcomeUnknown for the orders whose replies are
// overdue, and suspects their relays.
func (tracker *Tracker) Expire(now time.Time) []cell.Event {
	return tracker.failOrders(now, func(pending pendingOrder) bool { return now.After(pending.expiresAt) })
}

// failOrders removes the pending orders for which lost returns true, suspects
// their relays and returns the events, in the order of the numbers.
func (tracker *Tracker) failOrders(now time.Time, lost func(pending pendingOrder) bool) []cell.Event {
	var numbers []uint64
	for number, pending := range tracker.pendingOrders {
		if lost(pending) {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	events := make([]cell.Event, 0, len(numbers))
	for _, number := range numbers {
		pending := tracker.pendingOrders[number]
		delete(tracker.pendingOrders, number)
		tracker.suspect(pending.relay, now.Add(lossSuspicion))
		events = append(events, pending.order.replyEvent(pending.sentAt, now, Reply{
			Outcome: cell.OutcomeUnknown,
		}))
	}
	return events
}

// SuspectedRelays returns the addresses of the suspected relays, sorted.
func (tracker *Tracker) SuspectedRelays() []string {
	addresses := make([]string, 0, len(tracker.suspectedUntil))
	for address := range tracker.suspectedUntil {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}

// PendingOrders returns the number of orders without a reply.
func (tracker *Tracker) PendingOrders() int { return len(tracker.pendingOrders) }
