package simulation

import "time"

const (
	// FirstLongTaskSeed is the first seed whose series have long tasks, so that earlier runs
	// go on after troubles that last for seconds. Those of even seeds are in a region divided
	// by failure domains.
	FirstLongTaskSeed = 400_000
	longestTask       = 6 * time.Second
	// FirstRefusingCutSeed is the first seed whose series of long tasks have cuts that refuse
	// connections.
	FirstRefusingCutSeed = 500_000
)

// hasLongTasks reports whether the tasks of the series may take several seconds.
func (world *world) hasLongTasks() bool { return world.options.Seed >= FirstLongTaskSeed }

// hasRefusingCuts reports whether the series has cuts that refuse connections.
func (world *world) hasRefusingCuts() bool { return world.options.Seed >= FirstRefusingCutSeed }

// breakCallersAndStream breaks the connections of a process's callers and its stream to the
// scheduler together. The callers send their jobs again, to any process.
func (world *world) breakCallersAndStream() {
	entryVM := world.overload.anyEntryVM()
	world.trace("callers and stream of %s break", entryVM.node.name)
	for _, connection := range entryVM.callers {
		connection.broken(false)
	}
	// The process notices the breaks of the connections before or after that of the stream.
	world.after(world.between(0, 20*time.Millisecond), func() {
		for _, other := range world.processes {
			if entryVM.alive && !entryVM.paused && other != entryVM {
				entryVM.Reset(other.address)
			}
		}
	})
}

// restartScheduler kills a scheduler whose next process is there after a moment.
func (world *world) restartScheduler() {
	scheduler := world.anyScheduler()
	if !scheduler.alive {
		return
	}
	scheduler.end(false)
	world.after(world.between(50*time.Millisecond, 400*time.Millisecond), scheduler.start)
}

// cutDrainedWorkers makes workers drain and cuts them off from the log, so that their entries
// expire while their tasks go on. Then a scheduler is lost.
func (world *world) cutDrainedWorkers() {
	drained := make(map[*node]bool)
	for range 1 + world.random.IntN(4) {
		worker := world.workers[world.random.IntN(len(world.workers))]
		worker.drain(world.between(4*time.Second, 12*time.Second))
		drained[worker.node] = true
	}
	world.after(world.between(500*time.Millisecond, 1500*time.Millisecond), func() {
		world.addCut("drained workers from the log", world.between(4*time.Second, 7*time.Second),
			func(node *node) bool { return drained[node] }, func(node *node) bool { return node == world.log.node })
	})
	world.after(world.between(3*time.Second, 6*time.Second), func() {
		if world.chance(0.5) {
			world.restartScheduler()
			return
		}
		world.kill(world.anyScheduler(), world.chance(0.5))
	})
}

// refuseSchedulers cuts workers off from the log, so that their entries expire while their tasks
// go on. They refuse the connections of some processes while a scheduler is lost.
func (world *world) refuseSchedulers() {
	isCut := make(map[*node]bool)
	for range 1 + world.random.IntN(4) {
		isCut[world.workers[world.random.IntN(len(world.workers))].node] = true
	}
	share := world.between(0, time.Second).Seconds()
	isRefused := make(map[*node]bool)
	for _, process := range world.processes {
		isRefused[process.node] = world.chance(share)
	}
	inCut := func(node *node) bool { return isCut[node] }
	lostAt := world.between(3*time.Second, 6*time.Second)
	world.addCut("workers from the log", lostAt+world.between(0, 2*time.Second), inCut, func(node *node) bool { return node == world.log.node })
	world.after(lostAt, func() {
		world.addCutOf(&cut{
			blocks: func(from, to *node) bool {
				return inCut(from) && isRefused[to] || isRefused[from] && inCut(to)
			},
			refuses: true,
		}, "workers that refuse connections", world.between(200*time.Millisecond, 2*time.Second))
	})
	world.after(lostAt+world.between(0, 300*time.Millisecond), func() {
		if world.chance(0.5) {
			world.restartScheduler()
			return
		}
		world.kill(world.anyScheduler(), world.chance(0.5))
	})
}
