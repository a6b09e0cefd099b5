package simulation

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"tanagerfall/shared/connection/relay"
	"tanagerfall/shared/version/evacuation"
)

const (
	// FirstEvacuationSeed is the first seed whose series evacuate failure domains, beside a
	// scenario.
	FirstEvacuationSeed = 200_000
	// evacuationBound is how long a process in touch may start tasks in an evacuated domain.
	// It is below the 5 s of the platform, and above the sum of the delays of the scenarios.
	evacuationBound = 3 * time.Second
	// touchInterval is the time between two checks of which processes are in touch.
	touchInterval = 50 * time.Millisecond
)

// evacuations holds what the operators have evacuated, as the log has it.
type evacuations struct {
	world *world
	// history holds the snapshots of the log, the newest last.
	history []evacuation.Snapshot
	// since holds when each evacuated domain was evacuated.
	since map[string]time.Duration
	// readers holds the processes that read the operators' records; the others hear of them
	// from peers.
	readers map[*process]bool
	// touchedSince holds since when each process is in touch.
	touchedSince map[*process]time.Duration
}

// startEvacuations plans the evacuations of the series.
func (world *world) startEvacuations() {
	state := &evacuations{
		world: world,
		history: []evacuation.Snapshot{{
			Position: 1,
		}},
		since:        make(map[string]time.Duration),
		readers:      make(map[*process]bool),
		touchedSince: make(map[*process]time.Duration),
	}
	world.evacuations = state
	for _, process := range world.processes {
		state.readers[process] = world.chance(0.7)
	}
	for range 1 + world.random.IntN(4) {
		domain := domainName(world.random.IntN(domainCount))
		from := world.between(warmUpTime, max(world.faultsEnd-evacuationBound, warmUpTime))
		world.after(from, func() { state.change(domain, true) })
		world.after(from+world.between(500*time.Millisecond, 7*time.Second), func() { state.change(domain, false) })
	}
	world.after(touchInterval, state.checkTouch)
}

// change writes a record to the log, which readers that wait for one get at once.
func (evacuations *evacuations) change(domain string, evacuated bool) {
	world := evacuations.world
	if _, known := evacuations.since[domain]; known == evacuated {
		return
	}
	world.trace("%s is evacuated: %v", domain, evacuated)
	delete(evacuations.since, domain)
	if evacuated {
		evacuations.since[domain] = world.now
	}
	position := evacuations.history[len(evacuations.history)-1].Position + 1 + int64(world.random.IntN(3))
	evacuations.history = append(evacuations.history, evacuation.Snapshot{
		Position:  position,
		Domains:   slices.Sorted(maps.Keys(evacuations.since)),
		ChangedAt: position,
	})
	for _, process := range world.processes {
		if process.alive && evacuations.reachesLog(process) {
			process.later(world.latency(), func() { evacuations.read(process) })
		}
	}
}

// read passes the newest snapshot to a process that reads the log, or now and then an
// older one.
func (evacuations *evacuations) read(process *process) {
	if !evacuations.readers[process] {
		return
	}
	snapshot := evacuations.history[len(evacuations.history)-1]
	if evacuations.world.chance(0.1) {
		snapshot = evacuations.history[evacuations.world.random.IntN(len(evacuations.history))]
	}
	process.receive(func() { process.dispatcher.SetEvacuations(snapshot) })
}

func (evacuations *evacuations) reachesLog(process *process) bool {
	world := evacuations.world
	return !world.blocked(process.node, world.log.node) && !world.blocked(world.log.node, process.node)
}

// checkTouch records which processes are in touch: those that read the log, and those that
// exchange messages with one that does.
func (evacuations *evacuations) checkTouch() {
	world := evacuations.world
	for _, process := range world.processes {
		inTouch := slices.ContainsFunc(world.processes, evacuations.informs(process))
		since, known := evacuations.touchedSince[process]
		switch {
		case !inTouch:
			delete(evacuations.touchedSince, process)
		case !known || since < process.startedAt:
			evacuations.touchedSince[process] = world.now
		}
	}
	world.after(touchInterval, evacuations.checkTouch)
}

// informs returns a function that reports whether a process learns of changes by another
// one, or by itself.
func (evacuations *evacuations) informs(target *process) func(other *process) bool {
	world := evacuations.world
	return func(other *process) bool {
		return target.alive && !target.paused && other.alive && !other.paused &&
			evacuations.readers[other] && evacuations.reachesLog(other) && !world.log.slow &&
			(other == target || !world.blocked(other.node, target.node) && !world.blocked(target.node, other.node))
	}
}

// checkOrder records a violation if a process in touch starts a task in a domain that has
// been evacuated for longer than the bound.
func (evacuations *evacuations) checkOrder(process *process, order relay.Order) {
	world := evacuations.world
	if order.Start == nil {
		return
	}
	domain := domainName(world.findWorker(order.Upstream()).node.domain)
	since, evacuated := evacuations.since[domain]
	touchedSince, inTouch := evacuations.touchedSince[process]
	if !evacuated || !inTouch || world.now-max(since, touchedSince) < evacuationBound {
		return
	}
	job := order.Start.Run.Task.Job
	text := fmt.Sprintf("%s starts job %s on %s at %.3f; %s was evacuated at %.3f",
		process.node.name, job, order.Upstream(), world.now.Seconds(), domain, since.Seconds())
	world.recordViolation(RuleEvacuated, job, text)
}
