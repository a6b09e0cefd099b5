package dispatch

import (
	"slices"
	"time"

	"tanagerfall/shared/connection/upstream"
	"tanagerfall/shared/request/limit"
	"tanagerfall/shared/request/placement"
)

// recheckBackoff spaces the status queries to an upstream on which tasks of
// another VM, its former owner, still occupy slots.
var recheckBackoff = limit.Backoff{
	Base: 250 * time.Millisecond,
	Max:  3 * time.Second,
}

// upstreamState is the Core's state of one upstream.
type upstreamState struct {
	declared     placement.Upstream
	capabilities upstream.Capabilities
	// borrowed is true while only a peer's loan allows tasks there.
	borrowed bool
	// active holds the attempts of this VM that may be running there.
	active []*task
	// occupiedElsewhere counts the slots that other VMs occupy.
	occupiedElsewhere int
	// occupancyKnown is false until the first occupancy arrives or
	// occupancyDeadline passes.
	occupancyKnown bool
	leaving        bool
	draining       bool
	// unlisted is set if the upstream is no longer listed but still runs tasks of
	// this VM.
	unlisted bool

	// open and slots are what the scheduler last got.
	open  bool
	slots int
	// speed is the estimate when the upstream was last closed. The estimator
	// drops upstreams that are closed and idle.
	speed float64

	// queryTasks and listTasks are the status query that is collected until
	// sendQueryAt.
	queryTasks   []*task
	listTasks    bool
	sendQueryAt  time.Time
	recheckCount int
	// recheckAt is when the occupancy is queried again.
	recheckAt time.Time
	// occupancyDeadline is when the upstream is used even if its occupancy is
	// unknown.
	occupancyDeadline time.Time

	health health
	timer  timer
}

// applyFleet applies a list of upstreams. Leaving and draining last until the
// upstream is no longer listed, so that a stale list doesn't reopen it.
func (core *Core) applyFleet(event FleetChanged) {
	listed := make(map[string]bool, len(event.Upstreams)+len(event.Leaving))
	for _, declared := range event.Upstreams {
		listed[declared.ID] = true
		core.updateUpstream(declared, false)
	}
	for _, declared := range event.Borrowed {
		if !listed[declared.ID] {
			listed[declared.ID] = true
			core.updateUpstream(declared, true)
		}
	}
	core.domainUpstreams = event.DomainUpstreams
	for _, id := range event.Leaving {
		listed[id] = true
		if upstream, exists := core.upstreams[id]; exists {
			upstream.leaving = true
			core.syncScheduler(upstream)
		}
	}
	for _, upstream := range slices.Clone(core.upstreamOrder) {
		if !listed[upstream.declared.ID] {
			core.removeUpstream(upstream)
		}
	}
	core.capacity.stale = true
}

// updateUpstream adds a listed upstream, or applies its changed listing.
func (core *Core) updateUpstream(declared placement.Upstream, borrowed bool) {
	upstream, exists := core.upstreams[declared.ID]
	if exists && !upstream.unlisted {
		core.changeListing(upstream, declared, borrowed)
		return
	}
	if !exists {
		upstream = &upstreamState{}
		upstream.timer.owner = upstream
		core.upstreams[declared.ID] = upstream
		core.upstreamOrder = append(core.upstreamOrder, upstream)
	}
	upstream.declared = declared
	upstream.capabilities = core.config.Capabilities(declared.ID)
	upstream.unlisted = false
	upstream.leaving = false
	upstream.draining = false
	upstream.occupiedElsewhere = 0
	upstream.borrowed = borrowed
	core.requestOccupancy(upstream)
	core.syncScheduler(upstream)
}

// changeListing applies a changed listing. An upstream that was borrowed and is now
// owned needs an occupancy query, because only owners send one.
func (core *Core) changeListing(upstream *upstreamState, declared placement.Upstream, borrowed bool) {
	if upstream.declared == declared && upstream.borrowed == borrowed {
		return
	}
	becameOwned := upstream.borrowed && !borrowed
	upstream.declared = declared
	upstream.borrowed = borrowed
	if becameOwned {
		core.requestOccupancy(upstream)
	}
	upstream.slots = 0
	core.syncScheduler(upstream)
}

func (core *Core) removeUpstream(upstream *upstreamState) {
	upstream.unlisted = true
	core.clearEjection(upstream)
	core.syncScheduler(upstream)
	core.removeIfIdle(upstream)
}

// removeIfIdle removes an upstream that is no longer listed and runs no task.
func (core *Core) removeIfIdle(upstream *upstreamState) {
	if !upstream.unlisted || len(upstream.active) > 0 {
		return
	}
	core.disarm(&upstream.timer)
	delete(core.upstreams, upstream.declared.ID)
	core.upstreamOrder = slices.DeleteFunc(core.upstreamOrder, func(listed *upstreamState) bool { return listed == upstream })
}

// addAttempt adds an attempt to the active ones of its upstream.
func (upstream *upstreamState) addAttempt(task *task) {
	task.activeIndex = len(upstream.active)
	upstream.active = append(upstream.active, task)
}

// removeAttempt removes an attempt from the active ones of its upstream.
func (core *Core) removeAttempt(upstream *upstreamState, task *task) {
	last := len(upstream.active) - 1
	upstream.active[task.activeIndex] = upstream.active[last]
	upstream.active[task.activeIndex].activeIndex = task.activeIndex
	upstream.active[last] = nil
	upstream.active = upstream.active[:last]
	core.removeIfIdle(upstream)
}

func (core *Core) drainUpstream(id string) {
	if upstream, exists := core.upstreams[id]; exists {
		upstream.draining = true
		core.syncScheduler(upstream)
	}
}

// syncScheduler passes to the scheduler whether an upstream may be used and with
// how many slots.
func (core *Core) syncScheduler(upstream *upstreamState) {
	slots := upstream.health.limitSlots(upstream.declared.Slots - upstream.occupiedElsewhere)
	open := slots > 0 && !core.evacuated && upstream.occupancyKnown && upstream.usable() && !upstream.health.ejected()
	if open == upstream.open && (!open || slots == upstream.slots) {
		return
	}
	upstream.open = open
	upstream.slots = slots
	core.capacity.stale = true
	if !open {
		upstream.speed = core.config.Estimator.Speed(upstream.declared.ID)
		core.config.Scheduler.CloseUpstream(upstream.declared.ID)
		return
	}
	if upstream.speed > 0 {
		core.config.Estimator.Declare(upstream.declared.ID, upstream.speed)
	}
	offered := upstream.declared
	offered.Slots = slots
	core.config.Scheduler.SetUpstream(offered)
	core.mayPlace = true
}

// usable reports whether the upstream may get new tasks, apart from its health.
func (upstream *upstreamState) usable() bool {
	return !upstream.unlisted && !upstream.leaving && !upstream.draining
}

// requestOccupancy queries the occupancy of an upstream that is new or returns,
// before it is used.
func (core *Core) requestOccupancy(upstream *upstreamState) {
	upstream.occupancyKnown = upstream.borrowed || core.guards.NoOccupancyCheck || !upstream.capabilities.Leases
	if upstream.occupancyKnown {
		return
	}
	upstream.listTasks = true
	if upstream.health.probeSlots == 0 {
		upstream.occupancyDeadline = core.now.Add(core.config.Limits.OccupancyTimeout)
	}
	core.scheduleQuery(upstream, 0)
}

// applyOccupancy records how many slots other VMs occupy. This VM is not notified
// when their tasks end, so it repeats the query while there are any.
func (core *Core) applyOccupancy(queriedUpstream *upstreamState, occupancy []upstream.Occupant) {
	queriedUpstream.occupiedElsewhere = 0
	for _, occupant := range occupancy {
		if !core.isOwnTask(occupant) {
			queriedUpstream.occupiedElsewhere++
		}
	}
	queriedUpstream.recheckAt = time.Time{}
	if queriedUpstream.occupiedElsewhere > 0 {
		queriedUpstream.recheckAt = core.now.Add(recheckBackoff.Bound(queriedUpstream.recheckCount))
		queriedUpstream.recheckCount++
	} else {
		queriedUpstream.recheckCount = 0
	}
	core.setOccupancyKnown(queriedUpstream)
}

func (core *Core) isOwnTask(occupant upstream.Occupant) bool {
	id, err := upstream.ParseTaskID(occupant.TaskID)
	if err != nil {
		return false
	}
	task, exists := core.findAttempt(id)
	return exists && task.active()
}

// assumeFree uses an upstream that did not report its occupancy as if it were free:
// a wrong guess costs no more than a refused task.
func (core *Core) assumeFree(upstream *upstreamState) {
	upstream.occupiedElsewhere = 0
	core.setOccupancyKnown(upstream)
}

func (core *Core) setOccupancyKnown(upstream *upstreamState) {
	upstream.occupancyKnown = true
	upstream.occupancyDeadline = time.Time{}
	core.syncScheduler(upstream)
	core.rearmTimer(upstream)
}

// recordBusyRefusal records that an upstream refused a task although a slot should
// have been free, so another VM uses it.
func (core *Core) recordBusyRefusal(upstream *upstreamState) {
	core.counters.BusyRefusals++
	if upstream.borrowed || core.guards.NoOccupancyCheck || !upstream.capabilities.Leases {
		return
	}
	upstream.occupiedElsewhere = max(upstream.declared.Slots-len(upstream.active), upstream.occupiedElsewhere)
	if upstream.recheckAt.IsZero() && !upstream.listTasks {
		upstream.recheckAt = core.now.Add(recheckBackoff.Bound(upstream.recheckCount) / 2)
		upstream.recheckCount++
	}
	core.syncScheduler(upstream)
	core.rearmTimer(upstream)
}

// scheduleQuery sends the status query to an upstream within the window.
func (core *Core) scheduleQuery(upstream *upstreamState, window time.Duration) {
	sendAt := core.now.Add(window)
	if upstream.sendQueryAt.IsZero() || sendAt.Before(upstream.sendQueryAt) {
		upstream.sendQueryAt = sendAt
	}
	core.rearmTimer(upstream)
}

// expire runs whatever is due for the upstream.
func (upstream *upstreamState) expire(core *Core) {
	if clearIfDue(&upstream.recheckAt, core.now) {
		upstream.listTasks = true
		core.scheduleQuery(upstream, 0)
	}
	if clearIfDue(&upstream.sendQueryAt, core.now) {
		core.sendQuery(upstream)
	}
	if clearIfDue(&upstream.occupancyDeadline, core.now) {
		core.assumeFree(upstream)
	}
	if clearIfDue(&upstream.health.ejectedUntil, core.now) {
		core.startProbing(upstream)
	}
	core.rearmTimer(upstream)
}

// clearIfDue reports whether the time has come, and clears it if so.
func clearIfDue(dueAt *time.Time, now time.Time) bool {
	if dueAt.IsZero() || dueAt.After(now) {
		return false
	}
	*dueAt = time.Time{}
	return true
}

// rearmTimer sets the timer of an upstream to the earliest of its due times.
func (core *Core) rearmTimer(upstream *upstreamState) {
	var earliest time.Time
	for _, dueAt := range [...]time.Time{upstream.sendQueryAt, upstream.recheckAt, upstream.occupancyDeadline, upstream.health.ejectedUntil} {
		if !dueAt.IsZero() && (earliest.IsZero() || dueAt.Before(earliest)) {
			earliest = dueAt
		}
	}
	if earliest.IsZero() {
		core.disarm(&upstream.timer)
		return
	}
	core.arm(&upstream.timer, earliest)
}
