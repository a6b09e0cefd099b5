package region

import (
	"slices"
	"sync"
	"time"

	"tanagerfall/soak/proxy"
)

// domainCount is the number of failure domains of a soak.
const domainCount = 3

// direction says which messages a cut blocks.
type direction int

// Values of direction.
const (
	bothDirections direction = iota
	// outgoing blocks the messages that leave the side that is cut off.
	outgoing
	// incoming blocks the messages that reach it.
	incoming
)

// reversed returns the direction as the other side sees it.
func (direction direction) reversed() direction {
	switch direction {
	case outgoing:
		return incoming
	case incoming:
		return outgoing
	default:
		return bothDirections
	}
}

// side is a set of processes and workers, by index.
type side struct {
	processes []int
	workers   []int
}

// domain returns the processes and workers of a failure domain.
func (region *region) domain(number int) side {
	var members side
	for index := number; index < len(region.processes); index += domainCount {
		members.processes = append(members.processes, index)
	}
	for index := number; index < len(region.workers); index += domainCount {
		members.workers = append(members.workers, index)
	}
	return members
}

// allBut returns the processes and workers that are not on a side.
func (region *region) allBut(excluded side) side {
	var rest side
	for index := range region.processes {
		if !slices.Contains(excluded.processes, index) {
			rest.processes = append(rest.processes, index)
		}
	}
	for index := range region.workers {
		if !slices.Contains(excluded.workers, index) {
			rest.workers = append(rest.workers, index)
		}
	}
	return rest
}

// path is the connections that one process opens through a proxy.
type path struct {
	proxy   *proxy.Proxy
	process string
}

// block is the effect of a cut on a path.
type block struct {
	path path
	mode proxy.Mode
}

// cutBetween returns the blocks of a cut between two sides.
func (region *region) cutBetween(cutOff, rest side, direction direction) []block {
	return append(region.blocksFrom(cutOff, rest, direction), region.blocksFrom(rest, cutOff, direction.reversed())...)
}

// blocksFrom returns the blocks of the paths that the processes on one side open to
// the other. Messages and orders travel on them, and the answers of workers come back.
func (region *region) blocksFrom(near, far side, direction direction) []block {
	var blocks []block
	for _, process := range near.processes {
		add := func(blocked *proxy.Proxy, mode proxy.Mode) {
			blocks = append(blocks, block{
				path: path{
					proxy:   blocked,
					process: region.processes[process].name,
				},
				mode: mode,
			})
		}
		for _, receiver := range far.processes {
			if direction != incoming {
				add(region.peerProxies[receiver], proxy.Silent)
			}
		}
		for _, worker := range far.workers {
			if direction == incoming {
				add(region.workerProxies[worker], proxy.OneWay)
			} else {
				add(region.workerProxies[worker], proxy.Silent)
			}
		}
	}
	return blocks
}

// cutFromLog returns the blocks of a cut between a side and the log.
func (region *region) cutFromLog(cutOff side) []block {
	var blocks []block
	for _, process := range cutOff.processes {
		blocks = append(blocks, block{
			path: path{
				proxy:   region.logProxies[process],
				process: region.processes[process].name,
			},
			mode: proxy.Silent,
		})
	}
	return blocks
}

// cuts counts the blocks in force by path, because cuts overlap.
type cuts struct {
	mutex  sync.Mutex
	counts map[path]map[proxy.Mode]int
	// silentWorkers counts, by worker, the cuts that keep its reports from the log.
	silentWorkers map[int]int
}

func newCuts() *cuts {
	return &cuts{
		counts:        make(map[path]map[proxy.Mode]int),
		silentWorkers: make(map[int]int),
	}
}

// apply puts blocks in force for a time, and keeps the reports of workers from the log.
func (cuts *cuts) apply(blocks []block, silentWorkers []int, duration time.Duration) {
	cuts.change(blocks, silentWorkers, 1)
	time.AfterFunc(duration, func() { cuts.change(blocks, silentWorkers, -1) })
}

// change adds delta to the counts of blocks and silent workers.
func (cuts *cuts) change(blocks []block, silentWorkers []int, delta int) {
	cuts.mutex.Lock()
	defer cuts.mutex.Unlock()
	for _, block := range blocks {
		counts := cuts.counts[block.path]
		if counts == nil {
			counts = make(map[proxy.Mode]int)
			cuts.counts[block.path] = counts
		}
		counts[block.mode] += delta
		mode := proxy.Pass
		switch {
		case counts[proxy.Silent] > 0:
			mode = proxy.Silent
		case counts[proxy.OneWay] > 0:
			mode = proxy.OneWay
		}
		block.path.proxy.ConfigureClient(block.path.process, mode)
	}
	for _, worker := range silentWorkers {
		cuts.silentWorkers[worker] += delta
	}
}

// isSilent reports whether a cut keeps the reports of a worker from the log.
func (cuts *cuts) isSilent(worker int) bool {
	cuts.mutex.Lock()
	defer cuts.mutex.Unlock()
	return cuts.silentWorkers[worker] > 0
}
