package dispatch

import (
	"math"
	"time"
)

const (
	// failureShareWeight is the weight of a new observation in an upstream's share of
	// failures.
	failureShareWeight = 0.1
	// minFailureSamples is the number of results after which a share of failures is
	// taken as evidence.
	minFailureSamples = 10
	// ejectionFailureShare is the share of failures from which an upstream is ejected.
	ejectionFailureShare = 0.5
	// falseEjectionProbability is the accepted probability that the failures of jobs alone,
	// spread evenly over the fleet, eject an upstream.
	falseEjectionProbability = 1e-4
	// minFleetFailureShare and maxFleetShare bound the fleet's share of failures
	// where it is used as a probability.
	minFleetFailureShare = 0.02
	maxFleetFailureShare = 0.9
	// ejectionResetSuccesses is the number of consecutive successes after which earlier
	// ejections no longer lengthen the next one.
	ejectionResetSuccesses = 100
	// firstProbeSlots is the number of slots of an upstream that returns.
	firstProbeSlots = 1
)

// fleetHealth is the health of all upstreams together.
type fleetHealth struct {
	// failureShareSum sums up the shares of failures of the upstreams.
	failureShareSum float64
	// ejected counts the ejections under the cap, unreachable those for refused
	// connections.
	ejected     int
	unreachable int
}

// health is the health of one upstream.
type health struct {
	// ejectedUntil is the end of an ejection; zero means not ejected.
	ejectedUntil time.Time
	// probeSlots bounds the slots during slow start; 0 means no bound.
	probeSlots int
	// consecutiveFailures counts failures without a success in between, successes the
	// reverse.
	consecutiveFailures int
	successes           int
	samples             int
	failureShare        float64
	// consecutiveRefusals counts refused connections in a row. unreachable is set while
	// the upstream is ejected for them.
	consecutiveRefusals int
	unreachable         bool
	// ejections counts those that lengthen the next one.
	ejections int
}

func (health *health) ejected() bool {
	return !health.ejectedUntil.IsZero()
}

func (health *health) limitSlots(slots int) int {
	if health.probeSlots > 0 {
		return min(slots, health.probeSlots)
	}
	return slots
}

func (core *Core) recordOutcome(state *health, failure float64) {
	change := failureShareWeight * (failure - state.failureShare)
	state.samples++
	state.failureShare += change
	core.health.failureShareSum += change
}

// resetFailureShare drops what was observed of an upstream.
func (core *Core) resetFailureShare(state *health) {
	core.health.failureShareSum -= state.failureShare
	state.samples = 0
	state.failureShare = 0
	state.consecutiveFailures = 0
}

// failureShareOfOthers returns the mean share of failures of the other upstreams, so
// that one bad upstream does not excuse itself, however much it draws.
func (core *Core) failureShareOfOthers(state *health) float64 {
	others := core.countUsable() - 1
	if others <= 0 {
		return maxFleetFailureShare
	}
	failureShare := (core.health.failureShareSum - state.failureShare) / float64(others)
	return min(max(failureShare, minFleetFailureShare), maxFleetFailureShare)
}

// recordSuccess notes that an upstream ran a task to its end. The slots of an
// upstream in slow start double after as many successes as it has slots.
func (core *Core) recordSuccess(upstream *upstreamState) {
	state := &upstream.health
	core.recordOutcome(state, 0)
	state.consecutiveFailures = 0
	state.consecutiveRefusals = 0
	state.successes++
	if state.successes >= ejectionResetSuccesses {
		state.ejections = 0
	}
	if state.probeSlots == 0 || state.successes < state.probeSlots {
		return
	}
	state.successes = 0
	state.probeSlots *= 2
	if state.probeSlots >= upstream.declared.Slots {
		state.probeSlots = 0
	}
	core.syncScheduler(upstream)
}

// recordRefusedConnection notes that an upstream refused a connection. Neither the cap on
// ejections nor the rest of the fleet counts here: they protect upstreams that
// could still run tasks. When half of the upstreams of a failure domain were
// stopped, the others stayed behind dead ones until jobs missed their deadline.
func (core *Core) recordRefusedConnection(upstream *upstreamState) {
	state := &upstream.health
	core.recordOutcome(state, 1)
	state.consecutiveRefusals++
	state.successes = 0
	if state.consecutiveRefusals < core.config.Limits.EjectAfter || core.guards.NoEjection || state.ejected() || !upstream.usable() {
		return
	}
	state.unreachable = true
	core.health.unreachable++
	core.startEjection(upstream)
}

// recordFailure notes that an upstream failed a task or left an ask without an
// answer.
func (core *Core) recordFailure(upstream *upstreamState) {
	state := &upstream.health
	core.recordOutcome(state, 1)
	state.consecutiveFailures++
	state.successes = 0
	if core.shouldEject(state) {
		core.eject(upstream)
	}
}

// shouldEject compares an upstream with the fleet, so that jobs that fail
// everywhere eject nobody.
func (core *Core) shouldEject(state *health) bool {
	fleetShare := core.failureShareOfOthers(state)
	if state.probeSlots == firstProbeSlots && fleetShare < ejectionFailureShare {
		return true
	}
	neededFailures := math.Ceil(math.Log(falseEjectionProbability) / math.Log(fleetShare))
	if state.consecutiveFailures >= max(core.config.Limits.EjectAfter, int(neededFailures)) {
		return true
	}
	return state.samples >= minFailureSamples && state.failureShare > ejectionFailureShare && state.failureShare > 3*fleetShare
}

// eject takes an upstream out of use for a while, unless the share of ejected
// upstreams is at its cap.
func (core *Core) eject(upstream *upstreamState) {
	if core.guards.NoEjection || upstream.health.ejected() || !upstream.usable() {
		return
	}
	if core.health.ejected+1 > core.maxEjections() {
		return
	}
	core.health.ejected++
	core.startEjection(upstream)
}

func (core *Core) startEjection(upstream *upstreamState) {
	limits := &core.config.Limits
	duration := min(limits.EjectFor<<min(upstream.health.ejections, 10), limits.MaxEjectFor)
	jitter := time.Duration(core.config.Random.Int64N(int64(duration)/5 + 1))
	upstream.health.ejectedUntil = core.now.Add(duration + jitter)
	upstream.health.ejections++
	core.resetFailureShare(&upstream.health)
	core.counters.Ejections++
	core.syncScheduler(upstream)
	core.rearmTimer(upstream)
}

func (core *Core) endEjection(state *health) {
	if state.unreachable {
		state.unreachable = false
		core.health.unreachable--
		return
	}
	core.health.ejected--
}

// maxEjections returns how many upstreams may be ejected at a time. Of two or
// more, one may always be: a third of two would be none, and a dead upstream
// would then draw starts until the retry budget is used up.
func (core *Core) maxEjections() int {
	usable := core.countUsable()
	return max(int(core.config.Limits.MaxEjectedShare*float64(usable)), min(usable-1, 1))
}

// countUsable returns the number of upstreams that are listed and not leaving.
func (core *Core) countUsable() int {
	count := 0
	for _, upstream := range core.upstreamOrder {
		if upstream.usable() {
			count++
		}
	}
	return count
}

// startProbing lets an ejected upstream back with few slots. It is asked for its
// occupancy first: a question without an answer ejects it again and costs no
// job, as a task would.
func (core *Core) startProbing(upstream *upstreamState) {
	if upstream.health.unreachable {
		// One more refusal is enough to eject it again.
		upstream.health.consecutiveRefusals = core.config.Limits.EjectAfter - 1
	}
	core.endEjection(&upstream.health)
	upstream.health.probeSlots = firstProbeSlots
	core.resetFailureShare(&upstream.health)
	upstream.health.successes = 0
	core.requestOccupancy(upstream)
	core.syncScheduler(upstream)
}

// clearEjection ends an ejection without a probe.
func (core *Core) clearEjection(upstream *upstreamState) {
	if upstream.health.ejected() {
		core.endEjection(&upstream.health)
	}
	core.resetFailureShare(&upstream.health)
	upstream.health = health{}
}
