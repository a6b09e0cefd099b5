package cell

import (
	"cmp"
	"slices"
	"sort"
)

// speedIndex finds the upstreams of one service that have free cores, by speed, without a
// pass over all of them.
type speedIndex struct {
	// bySpeed holds the upstreams, the fastest first.
	bySpeed []*upstreamState
	// size is the number of leaves of the tree, a power of two.
	size int
	// tree holds at size+i the free cores of bySpeed[i], in thousandths, or -1 if it may
	// get no task, and at each inner node the highest value below it.
	tree []int
}

// openCores holds the cores of the open upstreams and how many are free, in thousandths.
type openCores struct {
	total int
	free  int
}

// indexUpstreams builds the indexes anew from upstreamOrder.
func (cell *Cell) indexUpstreams() {
	for _, index := range cell.indexes {
		index.bySpeed = index.bySpeed[:0]
	}
	cell.openCores = openCores{}
	for _, upstream := range cell.upstreamOrder {
		service := upstream.listing.Service
		index, known := cell.indexes[service]
		if !known {
			index = &speedIndex{}
			cell.indexes[service] = index
		}
		index.bySpeed = append(index.bySpeed, upstream)
		upstream.index = index
		upstream.counted = upstream.countCores()
		cell.openCores.add(upstream.counted)
	}
	for service, index := range cell.indexes {
		if len(index.bySpeed) == 0 {
			delete(cell.indexes, service)
			continue
		}
		index.build()
	}
}

// reindex updates the indexes after the status, the runs or the reservations of an
// upstream have changed.
func (cell *Cell) reindex(upstream *upstreamState) {
	if upstream.index == nil {
		return
	}
	counted := upstream.countCores()
	cell.openCores.add(openCores{
		total: counted.total - upstream.counted.total,
		free:  counted.free - upstream.counted.free,
	})
	upstream.counted = counted
	upstream.index.update(upstream)
}

func (cores *openCores) add(other openCores) {
	cores.total += other.total
	cores.free += other.free
}

// countCores returns what the upstream adds to Cell.openCores.
func (upstream *upstreamState) countCores() openCores {
	if !upstream.serves() {
		return openCores{}
	}
	return openCores{
		total: upstream.listing.Capacity.MilliCores,
		free:  max(upstream.free.MilliCores, 0),
	}
}

// muchIdle reports whether more than IdleShare of the cores of open upstreams is free.
func (cell *Cell) muchIdle() bool {
	return float64(cell.openCores.free) > cell.config.Limits.IdleShare*float64(cell.openCores.total)
}

func (index *speedIndex) build() {
	slices.SortStableFunc(index.bySpeed, func(a, b *upstreamState) int { return cmp.Compare(b.speed, a.speed) })
	index.size = 1
	for index.size < len(index.bySpeed) {
		index.size *= 2
	}
	index.tree = slices.Grow(index.tree[:0], 2*index.size)[:2*index.size]
	for i := range index.size {
		index.tree[index.size+i] = -1
		if i < len(index.bySpeed) {
			index.bySpeed[i].indexPosition = i
			index.tree[index.size+i] = index.bySpeed[i].indexedCores()
		}
	}
	for node := index.size - 1; node > 0; node-- {
		index.tree[node] = max(index.tree[2*node], index.tree[2*node+1])
	}
}

// indexedCores returns the upstream's value in the index. acceptsTasks has further
// conditions, which change with time.
func (upstream *upstreamState) indexedCores() int {
	if !upstream.serves() || upstream.usedSlots >= upstream.listing.Slots {
		return -1
	}
	return max(upstream.free.MilliCores, -1)
}

func (index *speedIndex) update(upstream *upstreamState) {
	node := index.size + upstream.indexPosition
	index.tree[node] = upstream.indexedCores()
	for node /= 2; node > 0; node /= 2 {
		highest := max(index.tree[2*node], index.tree[2*node+1])
		if index.tree[node] == highest {
			return
		}
		index.tree[node] = highest
	}
}

// fastEnough returns the number of upstreams of at least a speed.
func (index *speedIndex) fastEnough(minSpeed float64) int {
	return sort.Search(len(index.bySpeed), func(i int) bool { return index.bySpeed[i].speed < minSpeed })
}

// next returns the first position from the given one on with the given free cores, or -1.
func (index *speedIndex) next(from, milliCores int) int {
	if from >= index.size {
		return -1
	}
	node := index.size + from
	for index.tree[node] < milliCores {
		for node&1 == 1 {
			node /= 2
		}
		if node == 0 {
			return -1
		}
		node++
	}
	for node < index.size {
		node *= 2
		if index.tree[node] < milliCores {
			node++
		}
	}
	return node - index.size
}

// previous returns the last position up to the given one with the given free cores, or -1.
func (index *speedIndex) previous(from, milliCores int) int {
	if from < 0 {
		return -1
	}
	node := index.size + from
	for index.tree[node] < milliCores {
		for node&1 == 0 {
			node /= 2
		}
		if node == 1 {
			return -1
		}
		node--
	}
	for node < index.size {
		node = 2*node + 1
		if index.tree[node] < milliCores {
			node--
		}
	}
	return node - index.size
}
