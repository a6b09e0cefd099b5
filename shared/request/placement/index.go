package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"tanagerfall/shared/request/estimate"
)

const (
	// speedClassRatio is the ratio of the speeds of neighbouring speed classes.
	// Upstreams of one class count as equally fast.
	speedClassRatio = 1.01
	// minClassSpeed and maxClassSpeed bound the speeds that classes distinguish.
	// They equal the bounds of the estimator.
	minClassSpeed = 0.02
	maxClassSpeed = 50
	// minSortInterval is the shortest time between two sorts of the upstreams
	// by observed speed. A sort costs O(n log n) and n upstreams get O(n) tasks
	// in 100 ms, so the cost per placed task stays O(log n).
	minSortInterval = 100 * time.Millisecond
)

var (
	classesPerLogSpeed = 1 / math.Log(speedClassRatio)
	classCount         = int(math.Log(maxClassSpeed/minClassSpeed)*classesPerLogSpeed) + 2
)

// speedClassOf returns the speed class of a speed, from 0 to classCount-1. A
// higher class is faster.
func speedClassOf(speed float64) int {
	if speed <= minClassSpeed {
		return 0
	}
	// The small term keeps a speed on a class boundary in the class above it
	// despite rounding.
	class := int(math.Log(speed/minClassSpeed)*classesPerLogSpeed + 1e-6)
	return min(class, classCount-1)
}

// resources is the amount of each resource that a task occupies or that an
// upstream has available.
type resources struct {
	slots        int32
	cores        int32
	memoryMb     int32
	accelerators int32
}

// resourcesFor returns what a task with a need occupies: one slot and the need.
func resourcesFor(need Need) resources {
	return resources{
		slots:        1,
		cores:        int32(need.Cores),
		memoryMb:     int32(need.MemoryMb),
		accelerators: int32(need.Accelerators),
	}
}

// covers reports whether no needed resource exceeds the amount in resources.
func (resources resources) covers(needed resources) bool {
	return needed.slots <= resources.slots &&
		needed.cores <= resources.cores &&
		needed.memoryMb <= resources.memoryMb &&
		needed.accelerators <= resources.accelerators
}

func (resources resources) plus(other resources) resources {
	resources.slots += other.slots
	resources.cores += other.cores
	resources.memoryMb += other.memoryMb
	resources.accelerators += other.accelerators
	return resources
}

func (resources resources) minus(other resources) resources {
	resources.slots -= other.slots
	resources.cores -= other.cores
	resources.memoryMb -= other.memoryMb
	resources.accelerators -= other.accelerators
	return resources
}

// elementwiseMax returns the larger amount of each resource.
func (resources resources) elementwiseMax(other resources) resources {
	return newResources(
		max(resources.slots, other.slots),
		max(resources.cores, other.cores),
		max(resources.memoryMb, other.memoryMb),
		max(resources.accelerators, other.accelerators),
	)
}

func newResources(slots, cores, memoryMb, accelerators int32) resources {
	return resources{
		slots:        slots,
		cores:        cores,
		memoryMb:     memoryMb,
		accelerators: accelerators,
	}
}

// upstreamState is an upstream with its available resources and its running tasks.
type upstreamState struct {
	declared Upstream
	// open is false for an upstream on which no more tasks may be placed.
	open bool
	free resources
	// speed and class are the estimated speed and its class at the last refresh
	// of the index, and leafIndex is the position after the last sort.
	speed     float64
	class     int
	leafIndex int
	running   []*runningTask
	// viewedOccupancy is the occupancy in the last view of LeastLoaded.
	viewedOccupancy float64
	// rackPosition is the number of upstreams of the same class and rack that
	// are sorted before this one.
	rackPosition int
}

// occupancy returns the share of the slots that are occupied, from 0 to 1.
func (state *upstreamState) occupancy() float64 {
	if state.declared.Slots == 0 {
		return 1
	}
	return 1 - float64(state.free.slots)/float64(state.declared.Slots)
}

// slotIndex finds upstreams with available resources by speed. It is a tournament
// tree over the upstreams in ascending order of speed class; each node holds the
// largest available amount of each resource in its subtree.
type slotIndex struct {
	upstreams     map[string]*upstreamState
	leaves        []*upstreamState
	availableTree []resources
	// capacityTree is the same tree for the total capacity of the open
	// upstreams.
	capacityTree []resources
	width        int
	// classCursors holds, for each class, the leaf after the last one that was
	// chosen, so that the upstreams of a class, interleaved by rack, are chosen
	// round-robin.
	classCursors []int
	// classStarts holds the first leaf of each class.
	classStarts []int
	// stale is set when the upstreams changed since the last refresh.
	stale    bool
	sortedAt time.Time

	openUpstreams int
	slots         int
	idleSlots     int
	totalSpeed    float64
	topSpeed      float64
	// reservedClass is the highest class below the reserved upstreams, and
	// reservedSlots is the number of slots of the reserved upstreams.
	reservedClass int
	reservedSlots int
}

func newSlotIndex() *slotIndex {
	return &slotIndex{
		upstreams:    make(map[string]*upstreamState),
		classCursors: make([]int, classCount+1),
		classStarts:  make([]int, classCount+1),
	}
}

// refresh updates the speeds and totals if upstreams changed or minSortInterval
// has passed, and sorts the upstreams if their order may have changed. It reports
// whether it sorted them.
func (index *slotIndex) refresh(now time.Time, estimator *estimate.Estimator) bool {
	if !index.stale && now.Sub(index.sortedAt) < minSortInterval {
		return false
	}
	orderChanged := index.stale
	index.slots, index.idleSlots, index.openUpstreams = 0, 0, 0
	index.totalSpeed, index.topSpeed = 0, 0
	for _, upstream := range index.upstreams {
		upstream.speed = estimator.Speed(upstream.declared.ID)
		if class := speedClassOf(upstream.speed); class != upstream.class {
			upstream.class = class
			orderChanged = true
		}
		if !upstream.open {
			continue
		}
		index.openUpstreams++
		index.slots += upstream.declared.Slots
		index.idleSlots += max(0, int(upstream.free.slots))
		index.totalSpeed += float64(upstream.declared.Slots) * upstream.speed
		index.topSpeed = max(index.topSpeed, upstream.speed)
	}
	index.reservedClass = speedClassOf(index.topSpeed*reservedSpeedShare) - 1
	index.reservedSlots = 0
	for _, upstream := range index.upstreams {
		if upstream.open && upstream.class > index.reservedClass {
			index.reservedSlots += upstream.declared.Slots
		}
	}
	index.sortedAt = now
	index.stale = false
	if orderChanged {
		index.sort()
	}
	return orderChanged
}

func (index *slotIndex) sort() {
	index.leaves = index.leaves[:0]
	for _, upstream := range index.upstreams {
		index.leaves = append(index.leaves, upstream)
	}
	slices.SortFunc(index.leaves, func(a, b *upstreamState) int {
		return cmp.Or(
			cmp.Compare(a.class, b.class),
			cmp.Compare(a.declared.Rack, b.declared.Rack),
			cmp.Compare(a.declared.ID, b.declared.ID),
		)
	})
	// Within a class, the first upstreams of all racks come first, then the
	// second ones, and so on.
	for i, upstream := range index.leaves {
		upstream.rackPosition = 0
		if i > 0 && index.leaves[i-1].class == upstream.class && index.leaves[i-1].declared.Rack == upstream.declared.Rack {
			upstream.rackPosition = index.leaves[i-1].rackPosition + 1
		}
	}
	slices.SortStableFunc(index.leaves, func(a, b *upstreamState) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.rackPosition, b.rackPosition))
	})
	index.width = 1
	for index.width < len(index.leaves) {
		index.width *= 2
	}
	index.availableTree = make([]resources, 2*index.width)
	index.capacityTree = make([]resources, 2*index.width)
	class := 0
	for i, upstream := range index.leaves {
		upstream.leafIndex = i
		for ; class <= upstream.class; class++ {
			index.classStarts[class] = i
		}
		index.availableTree[index.width+i] = upstream.available()
		index.capacityTree[index.width+i] = upstream.capacity()
	}
	for ; class < len(index.classStarts); class++ {
		index.classStarts[class] = len(index.leaves)
	}
	for i := index.width - 1; i > 0; i-- {
		index.availableTree[i] = index.availableTree[2*i].elementwiseMax(index.availableTree[2*i+1])
		index.capacityTree[i] = index.capacityTree[2*i].elementwiseMax(index.capacityTree[2*i+1])
	}
}

// available returns the resources that the index offers for new tasks: what is
// free, or nothing if the upstream is closed.
func (state *upstreamState) available() resources {
	if !state.open {
		return resources{}
	}
	return state.free
}

// capacity returns the resources of the upstream without running tasks, or nothing
// if it is closed.
func (state *upstreamState) capacity() resources {
	if !state.open {
		return resources{}
	}
	declared := state.declared
	return newResources(int32(declared.Slots), int32(declared.Cores), int32(declared.MemoryMb), int32(declared.Accelerators))
}

// update writes the available resources of an upstream into the tree. A stale
// index is left to the next refresh.
func (index *slotIndex) update(upstream *upstreamState) {
	if index.stale {
		return
	}
	i := index.width + upstream.leafIndex
	index.availableTree[i] = upstream.available()
	for i /= 2; i > 0; i /= 2 {
		maximum := index.availableTree[2*i].elementwiseMax(index.availableTree[2*i+1])
		if maximum == index.availableTree[i] {
			return
		}
		index.availableTree[i] = maximum
	}
}

// firstLeaf returns the first leaf in [from, to) of the tree that covers the needed
// resources, or -1.
func (index *slotIndex) firstLeaf(tree []resources, from, to int, need resources) int {
	return index.firstLeafInSubtree(tree, 1, 0, index.width, from, to, need)
}

// firstLeafInSubtree is firstLeaf for the subtree of a node, whose leaves are
// [low, high).
func (index *slotIndex) firstLeafInSubtree(tree []resources, node, low, high, from, to int, need resources) int {
	if high <= from || to <= low || !tree[node].covers(need) {
		return -1
	}
	if node >= index.width {
		return low
	}
	middle := (low + high) / 2
	if leaf := index.firstLeafInSubtree(tree, 2*node, low, middle, from, to, need); leaf >= 0 {
		return leaf
	}
	return index.firstLeafInSubtree(tree, 2*node+1, middle, high, from, to, need)
}

// lastLeaf returns the last leaf in [0, to) of the tree that covers the needed
// resources, or -1.
func (index *slotIndex) lastLeaf(tree []resources, to int, need resources) int {
	return index.lastLeafInSubtree(tree, 1, 0, index.width, to, need)
}

// lastLeafInSubtree is lastLeaf for the subtree of a node, whose leaves are
// [low, high).
func (index *slotIndex) lastLeafInSubtree(tree []resources, node, low, high, to int, need resources) int {
	if to <= low || !tree[node].covers(need) {
		return -1
	}
	if node >= index.width {
		return low
	}
	middle := (low + high) / 2
	if leaf := index.lastLeafInSubtree(tree, 2*node+1, middle, high, to, need); leaf >= 0 {
		return leaf
	}
	return index.lastLeafInSubtree(tree, 2*node, low, middle, to, need)
}

// slowestIdle returns an upstream of the lowest class, at or above the given one,
// that has the needed resources available, or nil.
func (index *slotIndex) slowestIdle(class int, need resources) *upstreamState {
	if len(index.leaves) == 0 {
		return nil
	}
	leaf := index.firstLeaf(index.availableTree, index.classStarts[class], len(index.leaves), need)
	if leaf < 0 {
		return nil
	}
	return index.nextInClass(index.leaves[leaf].class, need)
}

// fastestIdle returns an upstream of the highest class, at or below the given one,
// that has the needed resources available, or nil.
func (index *slotIndex) fastestIdle(class int, need resources) *upstreamState {
	if len(index.leaves) == 0 {
		return nil
	}
	leaf := index.lastLeaf(index.availableTree, index.classStarts[class+1], need)
	if leaf < 0 {
		return nil
	}
	return index.nextInClass(index.leaves[leaf].class, need)
}

// nextInClass returns the next upstream of a class, round-robin, that has the
// needed resources available. The class must contain one.
func (index *slotIndex) nextInClass(class int, need resources) *upstreamState {
	start, end := index.classStarts[class], index.classStarts[class+1]
	cursor := index.classCursors[class]
	if cursor < start || cursor >= end {
		cursor = start
	}
	leaf := index.firstLeaf(index.availableTree, cursor, end, need)
	if leaf < 0 {
		leaf = index.firstLeaf(index.availableTree, start, cursor, need)
	}
	index.classCursors[class] = leaf + 1
	return index.leaves[leaf]
}

// topSpeedWithCapacity returns the speed of the fastest open upstream whose total
// capacity covers the needed resources, or 0 if there is none.
func (index *slotIndex) topSpeedWithCapacity(need resources) float64 {
	if len(index.leaves) == 0 {
		return 0
	}
	leaf := index.lastLeaf(index.capacityTree, len(index.leaves), need)
	if leaf < 0 {
		return 0
	}
	return index.leaves[leaf].speed
}

// highestIdleClass returns the highest class, at or below the given one, with an
// idle slot, or -1.
func (index *slotIndex) highestIdleClass(class int) int {
	if len(index.leaves) == 0 {
		return -1
	}
	leaf := index.lastLeaf(index.availableTree, index.classStarts[class+1], resources{slots: 1})
	if leaf < 0 {
		return -1
	}
	return index.leaves[leaf].class
}
