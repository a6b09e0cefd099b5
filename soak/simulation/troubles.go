package simulation

import (
	"time"
)

const (
	// maxAimedTroubles bounds the troubles of a series that follow a takeover.
	maxAimedTroubles = 4
	// drainTime is how long a process accepts jobs after a termination, and grace how
	// long it completes those in progress.
	drainTime  = 2500 * time.Millisecond
	drainGrace = 3500 * time.Millisecond
)

// scheduleTroubles plans the troubles of the series: some moments, and at each of them
// several troubles within a second, mostly at the same domain and processes.
func (world *world) scheduleTroubles() {
	for range 1 + world.random.IntN(4) {
		moment := world.between(warmUpTime, world.faultsEnd)
		for range 1 + world.random.IntN(5) {
			world.after(moment+world.between(0, time.Second), func() { world.trouble(world.focus()) })
		}
	}
}

// focus returns the process that a trouble is aimed at: often one that schedules.
func (world *world) focus() *process {
	if schedulers := world.schedulers(); len(schedulers) > 0 && world.chance(0.5) {
		return schedulers[world.random.IntN(len(schedulers))]
	}
	return world.processes[world.random.IntN(len(world.processes))]
}

// aimTrouble may plan a trouble at a process that has just begun to schedule, or near it.
func (world *world) aimTrouble(scheduler *process) {
	if world.now < warmUpTime || world.now > world.faultsEnd || world.aimedTroubles >= maxAimedTroubles || !world.chance(0.4) {
		return
	}
	world.aimedTroubles++
	world.after(world.between(0, 600*time.Millisecond), func() {
		target := scheduler
		if world.chance(0.3) {
			target = world.focus()
		}
		world.trouble(target)
	})
}

// cutLength returns the length of a cut. Long ones occur in long series only.
func (world *world) cutLength() time.Duration {
	switch {
	case world.faultsEnd > 18*time.Second && world.chance(0.4):
		return world.between(8*time.Second, 24*time.Second)
	case world.chance(0.5):
		return world.between(100*time.Millisecond, 1200*time.Millisecond)
	default:
		return world.between(time.Second, 4*time.Second)
	}
}

// cutOff blocks messages between two groups of nodes, in one direction or both.
func (world *world) cutOff(name string, inside, outside func(node *node) bool) {
	outwards, inwards := true, true
	switch world.random.IntN(5) {
	case 0:
		inwards = false
	case 1:
		outwards = false
	}
	added := &cut{
		blocks: func(from, to *node) bool {
			return outwards && inside(from) && outside(to) || inwards && outside(from) && inside(to)
		},
	}
	length := world.cutLength()
	world.trace("cut of %s (outwards: %v, inwards: %v) for %v", name, outwards, inwards, length)
	world.cuts = append(world.cuts, added)
	world.after(length, func() {
		world.trace("cut of %s ends", name)
		for i, other := range world.cuts {
			if other == added {
				world.cuts = append(world.cuts[:i:i], world.cuts[i+1:]...)
				return
			}
		}
	})
}

// trouble begins a random trouble, mostly at a process or its domain.
func (world *world) trouble(target *process) {
	domain := target.node.domain
	isTarget := func(node *node) bool { return node == target.node }
	isOther := func(node *node) bool { return node != target.node }
	switch kind := world.random.IntN(100); {
	case kind < 18:
		inDomain := func(node *node) bool { return node.domain == domain }
		withLog := world.chance(0.7)
		world.cutOff("domain "+domainName(domain), inDomain, func(node *node) bool {
			return !inDomain(node) && (withLog || node != world.log.node)
		})
	case kind < 24:
		world.cutOff(target.node.name, isTarget, isOther)
	case kind < 30:
		world.cutOff(target.node.name+" from processes", isTarget, func(node *node) bool { return isOther(node) && node.isProcess })
	case kind < 34:
		peer := world.focus()
		world.cutOff(target.node.name+" from "+peer.node.name, isTarget, func(node *node) bool { return isOther(node) && node == peer.node })
	case kind < 38:
		workerDomain := world.random.IntN(domainCount)
		world.cutOff(target.node.name+" from workers", isTarget, func(node *node) bool { return node.isWorker && node.domain == workerDomain })
	case kind < 42:
		worker := world.workers[world.random.IntN(len(world.workers))]
		world.cutOff(worker.node.name, func(node *node) bool { return node == worker.node }, func(node *node) bool { return node.isProcess })
	case kind < 48:
		world.resetStreams(target)
	case kind < 53:
		target.pause(world.between(50*time.Millisecond, 620*time.Millisecond))
	case kind < 58:
		target.pause(world.between(600*time.Millisecond, 3*time.Second))
	case kind < 66:
		world.kill(target, world.chance(0.3))
	case kind < 69:
		world.terminate(target)
	case kind < 70:
		silent := world.chance(0.5)
		for _, process := range world.processes {
			world.kill(process, silent)
		}
	case kind < 76:
		for range 1 + world.random.IntN(4) {
			world.restartWorker(world.workers[world.random.IntN(len(world.workers))])
		}
	case kind < 84:
		world.disturbWorkers(domain)
	case kind < 88:
		offset := 2400 * time.Millisecond
		if world.chance(0.5) {
			offset = -offset
		}
		world.trace("%s time of day steps to %v", target.node.name, offset)
		target.dispatcher.SetTimeOfDayOffset(offset)
	case kind < 92:
		all := world.chance(0.5)
		world.cutOff("log", func(node *node) bool { return node == world.log.node }, func(node *node) bool { return all || isTarget(node) })
	case kind < 94:
		world.log.slow = true
		world.after(world.cutLength(), func() { world.log.slow = false })
	case kind < 98:
		world.resetCallers(target)
	default:
		world.replaceWorker()
	}
}

// resetStreams breaks the streams from and to a process, or some of them.
func (world *world) resetStreams(target *process) {
	if !target.alive {
		return
	}
	world.trace("streams of %s are reset", target.node.name)
	share := 1.0
	if world.chance(0.5) {
		share = 0.4
	}
	for _, other := range world.processes {
		if !other.alive || other == target {
			continue
		}
		if outgoing := target.streams[other.address]; outgoing != nil && outgoing.up && world.chance(share) {
			outgoing.fail(false, false)
		}
		if incoming := other.streams[target.address]; incoming != nil && incoming.up && world.chance(share) {
			incoming.fail(false, false)
		}
	}
	if world.chance(0.4) {
		world.resetCallers(target)
	}
}

// resetCallers breaks the connections of callers to a process.
func (world *world) resetCallers(target *process) {
	callers := target.callers
	target.callers = nil
	for _, connection := range callers {
		connection.broken(false)
	}
}

// kill ends a process and starts another one at its address later.
func (world *world) kill(target *process, silent bool) {
	if !target.alive {
		return
	}
	target.end(silent)
	world.after(world.between(100*time.Millisecond, 2500*time.Millisecond), target.start)
}

// terminate ends a process gracefully.
func (world *world) terminate(target *process) {
	if !target.alive {
		return
	}
	world.trace("%s is terminated", target.node.name)
	target.receive(target.dispatcher.Leave)
	target.later(drainTime, func() { target.receive(target.dispatcher.AbandonJobs) })
	target.later(drainGrace, func() { world.kill(target, false) })
}

// restartWorker replaces the process of a worker under its ID.
func (world *world) restartWorker(target *worker) {
	if !target.up {
		return
	}
	target.shutDown("restarts")
	world.after(world.between(0, 500*time.Millisecond), func() {
		target.boot()
		world.trace("%s is up again", target.node.name)
		if world.chance(0.5) && !world.blocked(target.node, world.log.node) {
			world.log.write(target)
		}
	})
}

// disturbWorkers makes workers answer badly for a time.
func (world *world) disturbWorkers(domain int) {
	faults := workerFaults{}
	switch world.random.IntN(4) {
	case 0:
		faults.late = 0.1 + 0.5*world.random.Float64()
	case 1:
		faults.lostAnswer = 0.1 + 0.5*world.random.Float64()
	case 2:
		faults.slowAnswer = 0.2 + 0.8*world.random.Float64()
	default:
		faults = workerFaults{
			late:       0.1,
			lostAnswer: 0.2,
			slowAnswer: 0.2,
			unhealthy:  0.1,
		}
	}
	everywhere := world.chance(0.3)
	world.trace("workers of domain %d (all: %v) have %+v", domain, everywhere, faults)
	var disturbed []*worker
	for _, worker := range world.workers {
		if everywhere || worker.node.domain == domain {
			worker.faults = faults
			disturbed = append(disturbed, worker)
		}
	}
	world.after(world.between(300*time.Millisecond, 3*time.Second), func() {
		world.trace("workers of domain %d are well again", domain)
		for _, worker := range disturbed {
			worker.faults = workerFaults{}
		}
	})
}

// drain makes a worker report that it drains, and exit after a time.
func (worker *worker) drain(exitsAfter time.Duration) {
	if !worker.up || worker.draining {
		return
	}
	world := worker.world
	worker.draining = true
	life := worker.life
	world.trace("%s drains", worker.node.name)
	if !world.blocked(worker.node, world.log.node) {
		world.log.write(worker)
	}
	world.after(exitsAfter, func() {
		if worker.life == life && worker.up {
			worker.shutDown("exits")
			delete(world.log.entries, worker.node.name)
		}
	})
}

// replaceWorker drains a worker and adds another one.
func (world *world) replaceWorker() {
	drained := world.workers[world.random.IntN(len(world.workers))]
	drained.drain(world.between(2*time.Second, 5*time.Second))
	added := world.addWorker()
	world.trace("%s joins", added.node.name)
}
