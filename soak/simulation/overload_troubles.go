package simulation

import (
	"time"
)

// schedule plans troubles within a burst: one that the seed selects, and often others beside
// it.
func (overload *overload) schedule(from, length time.Duration) {
	world := overload.world
	troubles := []func(){
		overload.freezeScheduler,
		overload.freezeEntryVM,
		overload.freezeBoth,
		overload.replaceStreams,
		overload.separateEntryVM,
		overload.interruptScheduler,
		overload.divideSchedulers,
		overload.crossMessages,
		overload.delayEvents,
		func() { world.disturbWorkers(world.random.IntN(domainCount)) },
	}
	if world.hasLongTasks() {
		troubles = append(troubles, world.breakCallersAndStream, world.restartScheduler, world.cutDrainedWorkers)
	}
	if world.hasRefusingCuts() {
		troubles = append(troubles, world.refuseSchedulers, world.refuseSchedulers, world.refuseSchedulers)
	}
	number := int(world.options.Seed-FirstOverloadSeed) / 4
	plan := func(trouble func()) {
		world.after(from+world.between(0, length), trouble)
	}
	plan(troubles[number%len(troubles)])
	for world.chance(0.5) {
		plan(troubles[world.random.IntN(len(troubles))])
	}
	if world.chance(0.3) {
		plan(func() { world.trouble(world.focus()) })
	}
}

// aimCallers makes callers prefer a process for a time.
func (overload *overload) aimCallers(target *process, length time.Duration) {
	overload.target = target
	overload.world.after(length, func() {
		if overload.target == target {
			overload.target = nil
		}
	})
}

// freeze pauses a process, while callers go on sending jobs to it.
func (overload *overload) freeze(target *process) {
	length := overload.world.between(500*time.Millisecond, 2500*time.Millisecond)
	overload.aimCallers(target, length)
	target.pause(length)
}

func (overload *overload) freezeScheduler() { overload.freeze(overload.world.anyScheduler()) }

func (overload *overload) freezeEntryVM() { overload.freeze(overload.anyEntryVM()) }

func (overload *overload) freezeBoth() {
	scheduler, entryVM := overload.world.anyScheduler(), overload.anyEntryVM()
	overload.freeze(scheduler)
	overload.world.after(overload.world.between(0, 700*time.Millisecond), func() { overload.freeze(entryVM) })
}

// anyEntryVM returns a process that does not schedule.
func (overload *overload) anyEntryVM() *process {
	world := overload.world
	scheduler := world.anyScheduler()
	for {
		if target := world.processes[world.random.IntN(len(world.processes))]; target != scheduler {
			return target
		}
	}
}

// replaceStreams replaces the streams between an entry VM and its scheduler several times.
func (overload *overload) replaceStreams() {
	world := overload.world
	scheduler, entryVM := world.anyScheduler(), overload.anyEntryVM()
	overload.aimCallers(entryVM, time.Second)
	for range 1 + world.random.IntN(4) {
		world.after(world.between(0, time.Second), func() {
			from, to := entryVM, scheduler
			if world.chance(0.3) {
				from, to = to, from
			}
			if from.alive && !from.paused {
				world.trace("%s replaces its stream to %s", from.node.name, to.node.name)
				from.Reset(to.address)
			}
		})
	}
}

// separateEntryVM cuts an entry VM off from its scheduler, in both directions or in one, so
// that the scheduler withdraws its jobs.
func (overload *overload) separateEntryVM() {
	world := overload.world
	scheduler, entryVM := world.anyScheduler(), overload.anyEntryVM()
	length := world.between(500*time.Millisecond, 1800*time.Millisecond)
	overload.aimCallers(entryVM, length+300*time.Millisecond)
	overload.cutOneWay(entryVM, scheduler, length)
	if world.chance(0.4) {
		overload.cutOneWay(scheduler, entryVM, length)
	}
}

// cutOneWay blocks messages from one process to another one.
func (overload *overload) cutOneWay(from, to *process, length time.Duration) {
	world := overload.world
	world.addCutOf(&cut{
		blocks: func(source, destination *node) bool { return source == from.node && destination == to.node },
	}, from.node.name+" to "+to.node.name, length)
}

// interruptScheduler makes a scheduler step down, and mostly its successor after that, so that
// the first one may schedule again.
func (overload *overload) interruptScheduler() {
	world := overload.world
	scheduler := world.anyScheduler()
	switch world.random.IntN(5) {
	case 0:
		world.terminate(scheduler)
		return
	case 1:
		world.kill(scheduler, world.chance(0.5))
		return
	}
	scheduler.pause(world.between(650*time.Millisecond, 1100*time.Millisecond))
	if world.chance(0.7) {
		world.after(world.between(1200*time.Millisecond, 2200*time.Millisecond), func() {
			world.anyScheduler().pause(world.between(650*time.Millisecond, 1500*time.Millisecond))
		})
	}
}

// delayEvents makes an entry VM or a scheduler handle what arrives late.
func (overload *overload) delayEvents() {
	world := overload.world
	target := world.focus()
	target.lag = world.between(50*time.Millisecond, longestLag)
	length := world.between(300*time.Millisecond, 1500*time.Millisecond)
	world.trace("%s lags by %v", target.node.name, target.lag)
	overload.aimCallers(target, length)
	world.after(length, func() { target.lag = 0 })
	if world.chance(0.6) {
		overload.replaceStreams()
	}
}

// divideSchedulers cuts the processes into two groups, each of which gets a scheduler.
func (overload *overload) divideSchedulers() {
	world := overload.world
	group := make(map[*node]bool)
	for _, process := range world.processes {
		group[process.node] = world.chance(0.5)
	}
	group[world.anyScheduler().node] = true
	length := world.between(700*time.Millisecond, 2500*time.Millisecond)
	world.addCut("two groups", length, func(node *node) bool { return node.isProcess && group[node] },
		func(node *node) bool { return node.isProcess && !group[node] })
	if world.chance(0.5) {
		world.after(length+world.between(-100*time.Millisecond, 300*time.Millisecond), func() { world.resetStreams(world.focus()) })
	}
}

// crossMessages delays messages between an entry VM and its scheduler, so that answers and
// submissions cross.
func (overload *overload) crossMessages() {
	world := overload.world
	scheduler, entryVM := world.anyScheduler(), overload.anyEntryVM()
	length := world.between(500*time.Millisecond, 2*time.Second)
	overload.aimCallers(entryVM, length)
	inwards, outwards := world.between(0, 450*time.Millisecond), world.between(0, 450*time.Millisecond)
	world.trace("messages from %s to %s take %v, and back %v", entryVM.node.name, scheduler.node.name, outwards, inwards)
	world.linkDelay = func(from, to *node) time.Duration {
		switch {
		case from == entryVM.node && to == scheduler.node:
			return outwards
		case from == scheduler.node && to == entryVM.node:
			return inwards
		default:
			return 0
		}
	}
	world.after(length, func() { world.linkDelay = nil })
	if world.chance(0.7) {
		overload.replaceStreams()
	}
}
