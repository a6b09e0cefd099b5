package simulation

import (
	"time"
)

// maxHandlingTime is the longest time that a process takes for one event of its backlog.
const maxHandlingTime = 600 * time.Microsecond

// received is something that arrived during a pause.
type received struct {
	// source identifies the socket; events of one socket are handled in the order of their
	// arrival. It is nil for one that brings a single event.
	source any
	action func()
}

// receiveFrom passes something from a socket to the process, when it is not paused and has
// handled what arrived during its last pause.
func (process *process) receiveFrom(source any, action func()) {
	if process.paused || process.wakingUp {
		process.backlog = append(process.backlog, received{
			source: source,
			action: action,
		})
		return
	}
	action()
	process.handleQueued()
}

// handleBacklog handles what arrived during a pause at once, in the order of arrival.
func (process *process) handleBacklog() {
	backlog := process.backlog
	process.backlog = nil
	for _, received := range backlog {
		received.action()
		if process.world.chance(0.3) {
			process.handleQueued()
		}
	}
	process.handleQueued()
	process.tick()
}

// readBacklog handles what arrived during a pause one event after the other, in any order of
// the sockets, while the process goes on with its other work.
func (process *process) readBacklog() {
	if process.paused {
		return
	}
	process.wakingUp = len(process.backlog) > 0
	if !process.wakingUp {
		process.handleQueued()
		return
	}
	world := process.world
	chosen := world.random.IntN(len(process.backlog))
	if source := process.backlog[chosen].source; source != nil {
		for i, earlier := range process.backlog[:chosen] {
			if earlier.source == source {
				chosen = i
				break
			}
		}
	}
	action := process.backlog[chosen].action
	process.backlog = append(process.backlog[:chosen:chosen], process.backlog[chosen+1:]...)
	action()
	if world.chance(0.5) {
		process.handleQueued()
	}
	process.later(world.between(0, maxHandlingTime), process.readBacklog)
}
