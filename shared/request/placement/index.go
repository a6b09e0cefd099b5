package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"tanagerfall/shared/request/estimate"
)

const (
	// speedStep is the ratio of the speeds of neighbouring merit classes.
	// Upstreams of one class count as equally fast.
	speedStep = 1.01
	// slowest and fastest bound the speeds that classes tell apart. They are
	// the bounds of the estimator.
	slowest = 0.02
	fastest = 50
	// refreshInterval is the shortest time between two sorts of the upstreams
	// by observed speed. A sort costs O(n log n); in 100 ms the upstreams see
	// O(n) decisions, so the cost of one decision stays O(log n).
	refreshInterval = 100 * time.Millisecond
)

var (
	classScale = 1 / math.Log(speedStep)
	classCount = int(math.Log(fastest/slowest)*classScale) + 2
)

// classOf returns the merit class of a speed.
func classOf(speed float64) int {
	if speed <= slowest {
		return 0
	}
	// The small term keeps a speed on a boundary in its class in spite of
	// rounding.
	class := int(math.Log(speed/slowest)*classScale + 1e-6)
	return min(class, classCount-1)
}

// room is what a task occupies, or what an upstream has free.
type room struct {
	slots        int32
	cores        int32
	memoryMb     int32
	accelerators int32
}

func roomFor(need Need) room {
	return room{
		slots:        1,
		cores:        int32(need.Cores),
		memoryMb:     int32(need.MemoryMb),
		accelerators: int32(need.Accelerators),
	}
}

func (room room) holds(other room) bool {
	return other.slots <= room.slots &&
		other.cores <= room.cores &&
		other.memoryMb <= room.memoryMb &&
		other.accelerators <= room.accelerators
}

func (room room) plus(other room) room {
	room.slots += other.slots
	room.cores += other.cores
	room.memoryMb += other.memoryMb
	room.accelerators += other.accelerators
	return room
}

func (room room) minus(other room) room {
	room.slots -= other.slots
	room.cores -= other.cores
	room.memoryMb -= other.memoryMb
	room.accelerators -= other.accelerators
	return room
}

func (room room) largest(other room) room {
	return roomOf(
		max(room.slots, other.slots),
		max(room.cores, other.cores),
		max(room.memoryMb, other.memoryMb),
		max(room.accelerators, other.accelerators),
	)
}

func roomOf(slots, cores, memoryMb, accelerators int32) room {
	return room{
		slots:        slots,
		cores:        cores,
		memoryMb:     memoryMb,
		accelerators: accelerators,
	}
}

// host is an upstream with what runs there.
type host struct {
	upstream Upstream
	// open is false for an upstream that must get nothing new.
	open bool
	free room
	// speed and class are those of the last sort.
	speed float64
	class int
	leaf  int
	// running holds the tasks that occupy the upstream.
	running []*running
	// viewed is the occupancy in the view of LeastLoaded.
	viewed float64
	// rackPlace counts the upstreams of the same class and rack before this one.
	rackPlace int
}

func (host *host) occupancy() float64 {
	if host.upstream.Slots == 0 {
		return 1
	}
	return 1 - float64(host.free.slots)/float64(host.upstream.Slots)
}

// slotIndex finds idle slots by speed. It is a tournament tree over the
// upstreams in ascending order of speed; each node holds the largest room of
// its subtree.
type slotIndex struct {
	hosts  map[string]*host
	leaves []*host
	nodes  []room
	// whole holds the same tree for upstreams without tasks.
	whole []room
	width int
	// cursors holds, for each class, the leaf after the last one taken, so
	// that upstreams of one class, ordered across racks, are taken in turn.
	cursors []int
	// starts holds the first leaf of each class.
	starts []int
	stale  bool
	sorted time.Time

	open       int
	slots      int
	idle       int
	totalSpeed float64
	topSpeed   float64
	// reservedClass is the highest class below the reserved upstreams and
	// reservedSlots the number of slots above it.
	reservedClass int
	reservedSlots int
}

func newSlotIndex() *slotIndex {
	return &slotIndex{
		hosts:   make(map[string]*host),
		cursors: make([]int, classCount+1),
		starts:  make([]int, classCount+1),
	}
}

// refresh sorts the upstreams if they changed, or if their observed speeds may
// have changed since the last sort. It reports whether it did.
func (index *slotIndex) refresh(now time.Time, estimator *estimate.Estimator) bool {
	if !index.stale && now.Sub(index.sorted) < refreshInterval {
		return false
	}
	moved := index.stale
	index.slots, index.idle, index.open = 0, 0, 0
	index.totalSpeed, index.topSpeed = 0, 0
	for _, host := range index.hosts {
		host.speed = estimator.Speed(host.upstream.ID)
		if class := classOf(host.speed); class != host.class {
			host.class = class
			moved = true
		}
		if !host.open {
			continue
		}
		index.open++
		index.slots += host.upstream.Slots
		index.idle += max(0, int(host.free.slots))
		index.totalSpeed += float64(host.upstream.Slots) * host.speed
		index.topSpeed = max(index.topSpeed, host.speed)
	}
	index.reservedClass = classOf(index.topSpeed*reservedSpeed) - 1
	index.reservedSlots = 0
	for _, host := range index.hosts {
		if host.open && host.class > index.reservedClass {
			index.reservedSlots += host.upstream.Slots
		}
	}
	index.sorted = now
	index.stale = false
	if moved {
		index.sort()
	}
	return moved
}

func (index *slotIndex) sort() {
	index.leaves = index.leaves[:0]
	for _, host := range index.hosts {
		index.leaves = append(index.leaves, host)
	}
	slices.SortFunc(index.leaves, func(a, b *host) int {
		return cmp.Or(
			cmp.Compare(a.class, b.class),
			cmp.Compare(a.upstream.Rack, b.upstream.Rack),
			cmp.Compare(a.upstream.ID, b.upstream.ID),
		)
	})
	// Within a class the first upstreams of all racks come first, then the
	// second ones, and so on.
	for i, host := range index.leaves {
		host.rackPlace = 0
		if i > 0 && index.leaves[i-1].class == host.class && index.leaves[i-1].upstream.Rack == host.upstream.Rack {
			host.rackPlace = index.leaves[i-1].rackPlace + 1
		}
	}
	slices.SortStableFunc(index.leaves, func(a, b *host) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.rackPlace, b.rackPlace))
	})
	index.width = 1
	for index.width < len(index.leaves) {
		index.width *= 2
	}
	index.nodes = make([]room, 2*index.width)
	index.whole = make([]room, 2*index.width)
	class := 0
	for i, host := range index.leaves {
		host.leaf = i
		for ; class <= host.class; class++ {
			index.starts[class] = i
		}
		index.nodes[index.width+i] = host.offer()
		index.whole[index.width+i] = host.capacity()
	}
	for ; class < len(index.starts); class++ {
		index.starts[class] = len(index.leaves)
	}
	for i := index.width - 1; i > 0; i-- {
		index.nodes[i] = index.nodes[2*i].largest(index.nodes[2*i+1])
		index.whole[i] = index.whole[2*i].largest(index.whole[2*i+1])
	}
}

// offer is the room that the index shows for a host.
func (host *host) offer() room {
	if !host.open {
		return room{}
	}
	return host.free
}

func (host *host) capacity() room {
	if !host.open {
		return room{}
	}
	upstream := host.upstream
	return roomOf(int32(upstream.Slots), int32(upstream.Cores), int32(upstream.MemoryMb), int32(upstream.Accelerators))
}

// update brings the tree up to date with a host's room.
func (index *slotIndex) update(host *host) {
	if index.stale {
		return
	}
	i := index.width + host.leaf
	index.nodes[i] = host.offer()
	for i /= 2; i > 0; i /= 2 {
		larger := index.nodes[2*i].largest(index.nodes[2*i+1])
		if larger == index.nodes[i] {
			return
		}
		index.nodes[i] = larger
	}
}

// first returns the first leaf in [from, to) of the tree that holds the room,
// or -1.
func (index *slotIndex) first(tree []room, from, to int, need room) int {
	return index.firstBelow(tree, 1, 0, index.width, from, to, need)
}

func (index *slotIndex) firstBelow(tree []room, node, low, high, from, to int, need room) int {
	if high <= from || to <= low || !tree[node].holds(need) {
		return -1
	}
	if node >= index.width {
		return low
	}
	middle := (low + high) / 2
	if found := index.firstBelow(tree, 2*node, low, middle, from, to, need); found >= 0 {
		return found
	}
	return index.firstBelow(tree, 2*node+1, middle, high, from, to, need)
}

// last returns the last leaf below to of the tree that holds the room, or -1.
func (index *slotIndex) last(tree []room, to int, need room) int {
	return index.lastBelow(tree, 1, 0, index.width, to, need)
}

func (index *slotIndex) lastBelow(tree []room, node, low, high, to int, need room) int {
	if to <= low || !tree[node].holds(need) {
		return -1
	}
	if node >= index.width {
		return low
	}
	middle := (low + high) / 2
	if found := index.lastBelow(tree, 2*node+1, middle, high, to, need); found >= 0 {
		return found
	}
	return index.lastBelow(tree, 2*node, low, middle, to, need)
}

// slowestIdle returns an upstream of the lowest class, from the given one up,
// that has the room, or nil.
func (index *slotIndex) slowestIdle(class int, need room) *host {
	if len(index.leaves) == 0 {
		return nil
	}
	leaf := index.first(index.nodes, index.starts[class], len(index.leaves), need)
	if leaf < 0 {
		return nil
	}
	return index.inTurn(index.leaves[leaf].class, need)
}

// fastestIdle returns an upstream of the highest class, up to the given one,
// that has the room, or nil.
func (index *slotIndex) fastestIdle(class int, need room) *host {
	if len(index.leaves) == 0 {
		return nil
	}
	leaf := index.last(index.nodes, index.starts[class+1], need)
	if leaf < 0 {
		return nil
	}
	return index.inTurn(index.leaves[leaf].class, need)
}

// inTurn returns the next upstream of a class that has the room. There must be
// one.
func (index *slotIndex) inTurn(class int, need room) *host {
	start, end := index.starts[class], index.starts[class+1]
	cursor := index.cursors[class]
	if cursor < start || cursor >= end {
		cursor = start
	}
	leaf := index.first(index.nodes, cursor, end, need)
	if leaf < 0 {
		leaf = index.first(index.nodes, start, cursor, need)
	}
	index.cursors[class] = leaf + 1
	return index.leaves[leaf]
}

// topSpeedFor returns the speed of the fastest open upstream that could ever
// hold the room, or 0.
func (index *slotIndex) topSpeedFor(need room) float64 {
	if len(index.leaves) == 0 {
		return 0
	}
	leaf := index.last(index.whole, len(index.leaves), need)
	if leaf < 0 {
		return 0
	}
	return index.leaves[leaf].speed
}

// idleClass returns the highest class, up to the given one, with an idle slot,
// or -1.
func (index *slotIndex) idleClass(class int) int {
	if len(index.leaves) == 0 {
		return -1
	}
	leaf := index.last(index.nodes, index.starts[class+1], room{slots: 1})
	if leaf < 0 {
		return -1
	}
	return index.leaves[leaf].class
}
