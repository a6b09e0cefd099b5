package simulation

import (
	"slices"
	"time"

	"tanagerfall/shared/process/dispatcher"
)

const (
	// FirstScenarioSeed is the first seed whose series plays a scenario beside random
	// troubles.
	FirstScenarioSeed = 100_000
	// longSeriesLength is the length of a series with a cut in which entries expire.
	longSeriesLength = 30 * time.Second
	// longestLag is how long what arrives waits at most in the queue of a busy process.
	longestLag = 550 * time.Millisecond
)

// scenario is a sequence of troubles that random ones rarely yield.
type scenario int

const (
	forgottenWorkers scenario = iota
	busyProcesses
	slowLinks
	unreadableLog
	lostSchedulers
	lateOrders
	scenarioCount
)

// scenario returns the scenario of the series. One series in 30 has a long cut.
func (world *world) scenario() scenario {
	number := world.options.Seed - FirstScenarioSeed
	if number%30 == 0 {
		return forgottenWorkers
	}
	return 1 + scenario(number)%(scenarioCount-1)
}

// scheduleScenario plans the scenario of the series, with random troubles beside it.
func (world *world) scheduleScenario() {
	switch scenario := world.scenario(); scenario {
	case forgottenWorkers:
		world.after(world.between(warmUpTime, 4*time.Second), world.forgetWorkers)
	case busyProcesses:
		world.repeatScenario(world.playBusyProcesses)
	case slowLinks:
		world.repeatScenario(world.playSlowLinks)
	case unreadableLog:
		world.repeatScenario(world.playUnreadableLog)
	case lostSchedulers:
		world.repeatScenario(world.loseScheduler)
	case lateOrders:
		world.repeatScenario(world.playLateOrders)
	}
	if world.chance(0.5) {
		moment := world.between(warmUpTime, world.faultsEnd)
		for range 1 + world.random.IntN(3) {
			world.after(moment+world.between(0, time.Second), func() { world.trouble(world.focus()) })
		}
	}
}

// repeatScenario plays a scenario one to three times.
func (world *world) repeatScenario(play func()) {
	for range 1 + world.random.IntN(3) {
		world.after(world.between(warmUpTime, world.faultsEnd), play)
	}
}

// addCut blocks messages between two groups of nodes for a time.
func (world *world) addCut(name string, length time.Duration, inside, outside func(node *node) bool) {
	added := &cut{
		blocks: func(from, to *node) bool { return inside(from) && outside(to) || outside(from) && inside(to) },
	}
	world.addCutOf(added, name, length)
}

func (world *world) addCutOf(added *cut, name string, length time.Duration) {
	world.trace("cut of %s for %v", name, length)
	world.cuts = append(world.cuts, added)
	world.after(length, func() {
		world.trace("cut of %s ends", name)
		world.cuts = slices.DeleteFunc(slices.Clone(world.cuts), func(other *cut) bool { return other == added })
	})
}

// anyScheduler returns a process that schedules, or any process while there is none.
func (world *world) anyScheduler() *process {
	if schedulers := world.schedulers(); len(schedulers) > 0 {
		return schedulers[world.random.IntN(len(schedulers))]
	}
	return world.processes[world.random.IntN(len(world.processes))]
}

// forgetWorkers cuts off a domain until the others have forgotten its workers. At the end
// of the cut, streams are reset and schedulers of the domain fail, while its workers can't
// write their entries yet.
func (world *world) forgetWorkers() {
	domain := world.random.IntN(domainCount)
	inDomain := func(node *node) bool { return node.domain == domain }
	length := world.between(16*time.Second, 24*time.Second)
	isLog := func(node *node) bool { return node == world.log.node }
	world.addCut("domain "+domainName(domain), length, inDomain, func(node *node) bool { return !inDomain(node) && !isLog(node) })
	world.addCut("domain "+domainName(domain)+" from the log", length+world.between(0, 2*time.Second), inDomain, isLog)
	for _, process := range world.processes {
		if !inDomain(process.node) {
			continue
		}
		for range 1 + world.random.IntN(4) {
			world.after(length+world.between(0, 1500*time.Millisecond), func() { world.resetStreams(process) })
		}
		if world.chance(0.5) {
			world.after(length+world.between(-200*time.Millisecond, 800*time.Millisecond), func() {
				if process.role == dispatcher.RoleScheduler {
					process.pause(world.between(100*time.Millisecond, 900*time.Millisecond))
				}
			})
		}
	}
}

// playBusyProcesses makes processes lag, and disturbs their streams meanwhile.
func (world *world) playBusyProcesses() {
	for range 1 + world.random.IntN(2) {
		target := world.focus()
		lag := world.between(100*time.Millisecond, longestLag)
		world.trace("%s lags by %v", target.node.name, lag)
		target.lag = lag
		world.after(world.between(500*time.Millisecond, 3*time.Second), func() { target.lag = 0 })
		world.after(world.between(0, 2*time.Second), func() { world.disturbStreams(target) })
	}
}

// playSlowLinks delays messages between some processes.
func (world *world) playSlowLinks() {
	target := world.focus()
	inwards, outwards := world.chance(0.7), world.chance(0.7)
	delays := make(map[*node]time.Duration)
	for _, other := range world.processes {
		if other != target && world.chance(0.7) {
			delays[other.node] = world.between(100*time.Millisecond, 590*time.Millisecond)
		}
	}
	world.trace("links of %s are slow (inwards: %v, outwards: %v)", target.node.name, inwards, outwards)
	world.linkDelay = func(from, to *node) time.Duration {
		switch {
		case outwards && from == target.node:
			return delays[to]
		case inwards && to == target.node:
			return delays[from]
		default:
			return 0
		}
	}
	world.after(world.between(500*time.Millisecond, 4*time.Second), func() { world.linkDelay = nil })
	world.after(world.between(0, 2*time.Second), func() { world.disturbStreams(target) })
}

// disturbStreams cuts a process off from another one, or resets its streams.
func (world *world) disturbStreams(target *process) {
	peer := world.focus()
	if peer == target || world.chance(0.3) {
		world.resetStreams(target)
		return
	}
	world.addCut(target.node.name+" from "+peer.node.name, world.between(500*time.Millisecond, 3*time.Second),
		func(node *node) bool { return node == target.node }, func(node *node) bool { return node == peer.node })
}

// playUnreadableLog lets workers join and drain while some processes can't read the log,
// and then changes the schedulers.
func (world *world) playUnreadableLog() {
	domain := world.random.IntN(domainCount)
	length := world.between(2*time.Second, 6*time.Second)
	world.addCut("processes of "+domainName(domain)+" from the log", length,
		func(node *node) bool { return node.isProcess && node.domain == domain }, func(node *node) bool { return node == world.log.node })
	for range 1 + world.random.IntN(4) {
		world.after(world.between(0, length), world.replaceWorker)
	}
	for range 1 + world.random.IntN(2) {
		world.after(world.between(length/4, length), world.loseScheduler)
	}
}

// loseScheduler cuts an entry VM off from a scheduler, which is lost after the entry VM
// has left it.
func (world *world) loseScheduler() {
	scheduler := world.anyScheduler()
	peer := world.processes[world.random.IntN(len(world.processes))]
	world.addCut(scheduler.node.name+" from "+peer.node.name, world.between(700*time.Millisecond, 3*time.Second),
		func(node *node) bool { return node == scheduler.node }, func(node *node) bool { return node == peer.node })
	world.after(world.between(900*time.Millisecond, 1600*time.Millisecond), func() {
		switch world.random.IntN(4) {
		case 0:
			world.kill(scheduler, world.chance(0.5))
		case 1:
			scheduler.pause(world.between(500*time.Millisecond, 1500*time.Millisecond))
		case 2:
			world.addCut(scheduler.node.name+" from processes", world.between(time.Second, 3*time.Second),
				func(node *node) bool { return node == scheduler.node }, func(node *node) bool { return node.isProcess && node != scheduler.node })
		default:
			world.addCut(scheduler.node.name, world.between(time.Second, 3*time.Second),
				func(node *node) bool { return node == scheduler.node }, func(node *node) bool { return node != scheduler.node })
		}
	})
}

// playLateOrders restarts workers that carry out orders late and can't be reached then.
func (world *world) playLateOrders() {
	domain := world.random.IntN(domainCount)
	for _, target := range world.workers {
		if target.node.domain != domain {
			continue
		}
		target.faults = workerFaults{
			late: 0.3 + 0.4*world.random.Float64(),
		}
		world.after(world.between(200*time.Millisecond, 1200*time.Millisecond), func() {
			target.faults = workerFaults{}
			world.restartWorker(target)
			if world.chance(0.7) {
				world.addCut(target.node.name, world.between(time.Second, 6*time.Second),
					func(node *node) bool { return node == target.node }, func(node *node) bool { return node.isProcess })
			}
		})
	}
	world.after(world.between(0, 3*time.Second), func() { world.trouble(world.anyScheduler()) })
}
