package dispatch

import (
	"math"
	"time"
)

const (
	// shareWeight is the weight of a new observation in an upstream's share of
	// failures.
	shareWeight = 0.1
	// minSamples is the number of results after which a share of failures is
	// taken as evidence.
	minSamples = 10
	// badShare is the share of failures from which an upstream is ejected.
	badShare = 0.5
	// falseAlarm is the accepted probability that the failures of jobs alone,
	// spread evenly over the fleet, eject an upstream.
	falseAlarm = 1e-4
	// minFleetShare and maxFleetShare bound the fleet's share of failures
	// where it is used as a probability.
	minFleetShare = 0.02
	maxFleetShare = 0.9
	// forgiveAfter is the number of consecutive successes after which earlier
	// ejections no longer lengthen the next one.
	forgiveAfter = 100
	// firstProbe is the number of slots of an upstream that returns.
	firstProbe = 1
)

// fleetHealth is the health of all upstreams together.
type fleetHealth struct {
	// shares sums up the shares of failures of the upstreams.
	shares float64
	// ejected counts the ejections under the cap, unreachable those for refused
	// connections.
	ejected     int
	unreachable int
}

// health is the health of one upstream.
type health struct {
	// until is the end of an ejection; zero means not ejected.
	until time.Time
	// probeSlots bounds the slots during slow start; 0 means no bound.
	probeSlots int
	// consecutive counts failures without a success in between, successes the
	// reverse.
	consecutive int
	successes   int
	samples     int
	share       float64
	// refused counts refused connections in a row. unreachable is set while
	// the upstream is ejected for them.
	refused     int
	unreachable bool
	// ejections counts those that lengthen the next one.
	ejections int
}

func (health *health) ejected() bool {
	return !health.until.IsZero()
}

func (health *health) allowed(slots int) int {
	if health.probeSlots > 0 {
		return min(slots, health.probeSlots)
	}
	return slots
}

func (core *Core) observe(state *health, failure float64) {
	change := shareWeight * (failure - state.share)
	state.samples++
	state.share += change
	core.health.shares += change
}

// forgetShare drops what was observed of an upstream.
func (core *Core) forgetShare(state *health) {
	core.health.shares -= state.share
	state.samples = 0
	state.share = 0
	state.consecutive = 0
}

// shareOfOthers returns the mean share of failures of the other upstreams, so
// that one bad upstream does not excuse itself, however much it draws.
func (core *Core) shareOfOthers(state *health) float64 {
	others := core.listed() - 1
	if others <= 0 {
		return maxFleetShare
	}
	share := (core.health.shares - state.share) / float64(others)
	return min(max(share, minFleetShare), maxFleetShare)
}

// recordSuccess notes that an upstream ran a task to its end. The slots of an
// upstream in slow start double after as many successes as it has slots.
func (core *Core) recordSuccess(at *upstreamState) {
	state := &at.health
	core.observe(state, 0)
	state.consecutive = 0
	state.refused = 0
	state.successes++
	if state.successes >= forgiveAfter {
		state.ejections = 0
	}
	if state.probeSlots == 0 || state.successes < state.probeSlots {
		return
	}
	state.successes = 0
	state.probeSlots *= 2
	if state.probeSlots >= at.declared.Slots {
		state.probeSlots = 0
	}
	core.sync(at)
}

// recordRefused notes that an upstream refused a connection. Neither the cap on
// ejections nor the rest of the fleet counts here: they protect upstreams that
// could still run tasks. When half of the upstreams of a failure domain were
// stopped, the others stayed behind dead ones until jobs missed their deadline.
func (core *Core) recordRefused(at *upstreamState) {
	state := &at.health
	core.observe(state, 1)
	state.refused++
	state.successes = 0
	if state.refused < core.config.Limits.EjectAfter || core.guards.NoEjection || state.ejected() || !at.usable() {
		return
	}
	state.unreachable = true
	core.health.unreachable++
	core.startEjection(at)
}

// recordFailure notes that an upstream failed a task or left an ask without an
// answer.
func (core *Core) recordFailure(at *upstreamState) {
	state := &at.health
	core.observe(state, 1)
	state.consecutive++
	state.successes = 0
	if core.failing(state) {
		core.eject(at)
	}
}

// failing compares an upstream with the fleet, so that jobs that fail
// everywhere eject nobody.
func (core *Core) failing(state *health) bool {
	fleetShare := core.shareOfOthers(state)
	if state.probeSlots == firstProbe && fleetShare < badShare {
		return true
	}
	needed := math.Ceil(math.Log(falseAlarm) / math.Log(fleetShare))
	if state.consecutive >= max(core.config.Limits.EjectAfter, int(needed)) {
		return true
	}
	return state.samples >= minSamples && state.share > badShare && state.share > 3*fleetShare
}

// eject takes an upstream out of use for a while, unless the share of ejected
// upstreams is at its cap.
func (core *Core) eject(at *upstreamState) {
	if core.guards.NoEjection || at.health.ejected() || !at.usable() {
		return
	}
	if core.health.ejected+1 > core.mayEject() {
		return
	}
	core.health.ejected++
	core.startEjection(at)
}

func (core *Core) startEjection(at *upstreamState) {
	limits := &core.config.Limits
	length := min(limits.EjectFor<<min(at.health.ejections, 10), limits.EjectForMax)
	jitter := time.Duration(core.config.Random.Int64N(int64(length)/5 + 1))
	at.health.until = core.now.Add(length + jitter)
	at.health.ejections++
	core.forgetShare(&at.health)
	core.counters.Ejections++
	core.sync(at)
	core.rearm(at)
}

func (core *Core) endEjection(state *health) {
	if state.unreachable {
		state.unreachable = false
		core.health.unreachable--
		return
	}
	core.health.ejected--
}

// mayEject returns how many upstreams may be ejected at a time. Of two or
// more, one may always be: a third of two would be none, and a dead upstream
// would then draw starts until the retry budget is used up.
func (core *Core) mayEject() int {
	listed := core.listed()
	return max(int(core.config.Limits.MaxEjectedShare*float64(listed)), min(listed-1, 1))
}

// listed returns the number of upstreams that are listed and not leaving.
func (core *Core) listed() int {
	count := 0
	for _, at := range core.order {
		if at.usable() {
			count++
		}
	}
	return count
}

// probe lets an ejected upstream back with few slots. It is asked for its
// occupancy first: a question without an answer ejects it again and costs no
// job, as a task would.
func (core *Core) probe(at *upstreamState) {
	if at.health.unreachable {
		// One more refusal is enough to eject it again.
		at.health.refused = core.config.Limits.EjectAfter - 1
	}
	core.endEjection(&at.health)
	at.health.probeSlots = firstProbe
	core.forgetShare(&at.health)
	at.health.successes = 0
	core.checkOccupancy(at)
	core.sync(at)
}

// restore ends an ejection without a probe.
func (core *Core) restore(at *upstreamState) {
	if at.health.ejected() {
		core.endEjection(&at.health)
	}
	core.forgetShare(&at.health)
	at.health = health{}
}
