package dispatch

import (
	"slices"
	"time"

	"tanagerfall/shared/connection/upstream"
	"tanagerfall/shared/request/limit"
	"tanagerfall/shared/request/placement"
)

// recheck spaces the questions to an upstream that is partly occupied by the
// tasks of another VM, which owned it before.
var recheck = limit.Backoff{
	Base: 250 * time.Millisecond,
	Max:  3 * time.Second,
}

// upstreamState is what the Core knows of one upstream.
type upstreamState struct {
	declared     placement.Upstream
	capabilities upstream.Capabilities
	// borrowed is true while only a peer's loan allows tasks there.
	borrowed bool
	// active holds the attempts of this VM that may be running there.
	active []*task
	// foreign counts the slots that other VMs occupy.
	foreign int
	// occupancyKnown is false until the first occupancy came or was given up.
	occupancyKnown bool
	leaving        bool
	draining       bool
	// gone: the upstream is no longer listed, but runs tasks of this VM.
	gone bool

	// open and slots are what the scheduler was told last.
	open  bool
	slots int
	// speed is the estimate at the latest closing; the estimator forgets an
	// upstream that is closed and idle.
	speed float64

	// asks and list are the questions collected until askAt.
	asks     []*task
	list     bool
	askAt    time.Time
	rechecks int
	// recheckAt is when the occupancy is asked for again.
	recheckAt time.Time
	// holdUntil is when the upstream is used without a known occupancy.
	holdUntil time.Time

	health health
	timer  timer
}

// changeFleet applies the list of upstreams. Leaving and draining last until
// the upstream is no longer listed, so that a stale list reopens nothing.
func (core *Core) changeFleet(event FleetChanged) {
	listed := make(map[string]bool, len(event.Upstreams)+len(event.Leaving))
	for _, declared := range event.Upstreams {
		listed[declared.ID] = true
		core.listUpstream(declared, false)
	}
	for _, declared := range event.Borrowed {
		if !listed[declared.ID] {
			listed[declared.ID] = true
			core.listUpstream(declared, true)
		}
	}
	core.domain = event.Domain
	for _, id := range event.Leaving {
		listed[id] = true
		if at, known := core.upstreams[id]; known {
			at.leaving = true
			core.sync(at)
		}
	}
	for _, at := range slices.Clone(core.order) {
		if !listed[at.declared.ID] {
			core.removeUpstream(at)
		}
	}
	core.capacity.stale = true
}

func (core *Core) listUpstream(declared placement.Upstream, borrowed bool) {
	at, known := core.upstreams[declared.ID]
	if known && !at.gone {
		core.changeUpstream(at, declared, borrowed)
		return
	}
	if !known {
		at = &upstreamState{}
		at.timer.owner = at
		core.upstreams[declared.ID] = at
		core.order = append(core.order, at)
	}
	at.declared = declared
	at.capabilities = core.config.Capabilities(declared.ID)
	at.gone = false
	at.leaving = false
	at.draining = false
	at.foreign = 0
	at.borrowed = borrowed
	core.checkOccupancy(at)
	core.sync(at)
}

// changeUpstream applies a changed listing. A loan that became ownership needs
// the occupancy, which only an owner asks for.
func (core *Core) changeUpstream(at *upstreamState, declared placement.Upstream, borrowed bool) {
	if at.declared == declared && at.borrowed == borrowed {
		return
	}
	owned := at.borrowed && !borrowed
	at.declared = declared
	at.borrowed = borrowed
	if owned {
		core.checkOccupancy(at)
	}
	at.slots = 0
	core.sync(at)
}

func (core *Core) removeUpstream(at *upstreamState) {
	at.gone = true
	core.restore(at)
	core.sync(at)
	core.forget(at)
}

// forget drops an upstream that is no longer listed and runs nothing.
func (core *Core) forget(at *upstreamState) {
	if !at.gone || len(at.active) > 0 {
		return
	}
	core.disarm(&at.timer)
	delete(core.upstreams, at.declared.ID)
	core.order = slices.DeleteFunc(core.order, func(held *upstreamState) bool { return held == at })
}

// occupy adds an attempt to its upstream.
func (at *upstreamState) occupy(added *task) {
	added.place = len(at.active)
	at.active = append(at.active, added)
}

// vacate removes an attempt from its upstream.
func (core *Core) vacate(at *upstreamState, removed *task) {
	last := len(at.active) - 1
	at.active[removed.place] = at.active[last]
	at.active[removed.place].place = removed.place
	at.active[last] = nil
	at.active = at.active[:last]
	core.forget(at)
}

func (core *Core) drainUpstream(id string) {
	if at, known := core.upstreams[id]; known {
		at.draining = true
		core.sync(at)
	}
}

// sync tells the scheduler whether and with how many slots an upstream may be
// used.
func (core *Core) sync(at *upstreamState) {
	slots := at.health.allowed(at.declared.Slots - at.foreign)
	open := slots > 0 && at.occupancyKnown && at.usable() && !at.health.ejected()
	if open == at.open && (!open || slots == at.slots) {
		return
	}
	at.open = open
	at.slots = slots
	core.capacity.stale = true
	if !open {
		at.speed = core.config.Estimator.Speed(at.declared.ID)
		core.config.Scheduler.CloseUpstream(at.declared.ID)
		return
	}
	if at.speed > 0 {
		core.config.Estimator.Declare(at.declared.ID, at.speed)
	}
	offered := at.declared
	offered.Slots = slots
	core.config.Scheduler.SetUpstream(offered)
	core.placeable = true
}

// usable reports whether the upstream may get new tasks, apart from its health.
func (at *upstreamState) usable() bool {
	return !at.gone && !at.leaving && !at.draining
}

// checkOccupancy asks an upstream that is new or returns what runs there,
// before it is used.
func (core *Core) checkOccupancy(at *upstreamState) {
	at.occupancyKnown = at.borrowed || core.guards.NoOccupancyCheck || !at.capabilities.Leases
	if at.occupancyKnown {
		return
	}
	at.list = true
	if at.health.probeSlots == 0 {
		at.holdUntil = core.now.Add(core.config.Limits.HoldFor)
	}
	core.askUpstream(at, 0)
}

// applyOccupancy records how many slots other VMs occupy. Their tasks end
// without notice, so the question is repeated while there are any.
func (core *Core) applyOccupancy(at *upstreamState, occupancy []upstream.Occupant) {
	at.foreign = 0
	for _, occupant := range occupancy {
		if !core.owns(occupant) {
			at.foreign++
		}
	}
	at.recheckAt = time.Time{}
	if at.foreign > 0 {
		at.recheckAt = core.now.Add(recheck.Bound(at.rechecks))
		at.rechecks++
	} else {
		at.rechecks = 0
	}
	core.knowOccupancy(at)
}

func (core *Core) owns(occupant upstream.Occupant) bool {
	name, err := upstream.ParseTask(occupant.TaskID)
	if err != nil {
		return false
	}
	found, known := core.find(name)
	return known && found.active()
}

// missOccupancy uses an upstream that did not tell its occupancy as if it were
// free: the only cost of an error is a refusal.
func (core *Core) missOccupancy(at *upstreamState) {
	at.foreign = 0
	core.knowOccupancy(at)
}

func (core *Core) knowOccupancy(at *upstreamState) {
	at.occupancyKnown = true
	at.holdUntil = time.Time{}
	core.sync(at)
	core.rearm(at)
}

// recordBusy notes that an upstream refused a task although a slot should have
// been free: another VM uses it.
func (core *Core) recordBusy(at *upstreamState) {
	core.counters.BusyRefusals++
	if at.borrowed || core.guards.NoOccupancyCheck || !at.capabilities.Leases {
		return
	}
	at.foreign = max(at.declared.Slots-len(at.active), at.foreign)
	if at.recheckAt.IsZero() && !at.list {
		at.recheckAt = core.now.Add(recheck.Bound(at.rechecks) / 2)
		at.rechecks++
	}
	core.sync(at)
	core.rearm(at)
}

// askUpstream sends what is collected for an upstream within the window.
func (core *Core) askUpstream(at *upstreamState, window time.Duration) {
	due := core.now.Add(window)
	if at.askAt.IsZero() || due.Before(at.askAt) {
		at.askAt = due
	}
	core.rearm(at)
}

// expire acts on whatever is due for the upstream.
func (at *upstreamState) expire(core *Core) {
	if due(&at.recheckAt, core.now) {
		at.list = true
		core.askUpstream(at, 0)
	}
	if due(&at.askAt, core.now) {
		core.sendAsks(at)
	}
	if due(&at.holdUntil, core.now) {
		core.missOccupancy(at)
	}
	if due(&at.health.until, core.now) {
		core.probe(at)
	}
	core.rearm(at)
}

// due reports whether the time has come, and clears it then.
func due(at *time.Time, now time.Time) bool {
	if at.IsZero() || at.After(now) {
		return false
	}
	*at = time.Time{}
	return true
}

// rearm sets the timer of an upstream to the earliest of its times.
func (core *Core) rearm(at *upstreamState) {
	var earliest time.Time
	for _, next := range [...]time.Time{at.askAt, at.recheckAt, at.holdUntil, at.health.until} {
		if !next.IsZero() && (earliest.IsZero() || next.Before(earliest)) {
			earliest = next
		}
	}
	if earliest.IsZero() {
		core.disarm(&at.timer)
		return
	}
	core.arm(&at.timer, earliest)
}
