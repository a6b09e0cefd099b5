package dispatch

import (
	"math"
	"time"
)

const (
	// failureShareWeight is the weight of a new observation in the failure share
	// of an upstream.
	failureShareWeight = 0.1
	// minFailureSamples is the number of results from which on a failure share
	// counts as evidence.
	minFailureSamples = 10
	// ejectionFailureShare is the failure share above which an upstream is
	// ejected.
	ejectionFailureShare = 0.5
	// falseEjectionProbability is the accepted probability that an upstream is
	// ejected for failures that the jobs cause and that are spread evenly over
	// the fleet.
	falseEjectionProbability = 1e-4
	// minFleetFailureShare and maxFleetFailureShare bound the fleet's failure
	// share where it is used as a probability.
	minFleetFailureShare = 0.02
	maxFleetFailureShare = 0.9
	// ejectionResetSuccesses is the number of consecutive successes after which
	// earlier ejections no longer lengthen the next one.
	ejectionResetSuccesses = 100
	// firstProbeSlots is the number of slots that an upstream gets when its
	// ejection ends.
	firstProbeSlots = 1
)

// fleetHealth is the health of all upstreams together.
type fleetHealth struct {
	// failureShareSum is the sum of the failure shares of all upstreams.
	failureShareSum float64
	// ejected counts the ejections that are limited by the cap, unreachable
	// those for refused connections.
	ejected     int
	unreachable int
}

// health is the health of one upstream.
type health struct {
	// ejectedUntil is the end of the ejection; zero means not ejected.
	ejectedUntil time.Time
	// probeSlots bounds the slots during slow start; 0 means no bound.
	probeSlots int
	// consecutiveFailures counts the failures since the last success, successes
	// the reverse.
	consecutiveFailures int
	successes           int
	samples             int
	failureShare        float64
	// consecutiveRefusals counts refused connections in a row. unreachable is
	// set while the upstream is ejected for them.
	consecutiveRefusals int
	unreachable         bool
	// ejections counts the ejections that lengthen the next one.
	ejections int
}

func (health *health) ejected() bool {
	return !health.ejectedUntil.IsZero()
}

// limitSlots returns the slots that slow start allows.
func (health *health) limitSlots(slots int) int {
	if health.probeSlots > 0 {
		return min(slots, health.probeSlots)
	}
	return slots
}

// recordOutcome adds a result to an upstream's failure share; failure is 1 or 0.
func (core *Core) recordOutcome(state *health, failure float64) {
	change := failureShareWeight * (failure - state.failureShare)
	state.samples++
	state.failureShare += change
	core.health.failureShareSum += change
}

// resetFailureShare discards the observed failures of an upstream.
func (core *Core) resetFailureShare(state *health) {
	core.health.failureShareSum -= state.failureShare
	state.samples = 0
	state.failureShare = 0
	state.consecutiveFailures = 0
}

// failureShareOfOthers returns the mean failure share of the other upstreams.
// The upstream itself is left out, so that a bad one does not raise its own
// limit, however many tasks it gets.
func (core *Core) failureShareOfOthers(state *health) float64 {
	others := core.countUsable() - 1
	if others <= 0 {
		return maxFleetFailureShare
	}
	failureShare := (core.health.failureShareSum - state.failureShare) / float64(others)
	return min(max(failureShare, minFleetFailureShare), maxFleetFailureShare)
}

// recordSuccess records that an upstream ran a task to its end. The slots of an
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

// recordRefusedConnection records that an upstream refused a connection. The
// cap on ejections and the comparison with the fleet don't apply here: they
// protect upstreams that could still run tasks. When half of the upstreams of a
// failure domain were stopped, the cap kept dead ones in rotation until jobs
// missed their deadline.
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

// recordFailure records that an upstream failed a task or did not answer a
// status query.
func (core *Core) recordFailure(upstream *upstreamState) {
	state := &upstream.health
	core.recordOutcome(state, 1)
	state.consecutiveFailures++
	state.successes = 0
	if core.shouldEject(state) {
		core.eject(upstream)
	}
}

// shouldEject compares an upstream with the fleet, so that jobs that fail on
// every upstream eject none.
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

// eject ejects an upstream for a while, unless the share of ejected upstreams
// is at its cap.
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
// more, at least one may be: a third of two rounds down to none, and a dead
// upstream would then get starts until the retry budget is used up.
func (core *Core) maxEjections() int {
	usable := core.countUsable()
	return max(int(core.config.Limits.MaxEjectedShare*float64(usable)), min(usable-1, 1))
}

// countUsable returns the number of upstreams that are listed and neither
// leaving nor draining.
func (core *Core) countUsable() int {
	count := 0
	for _, upstream := range core.upstreamOrder {
		if upstream.usable() {
			count++
		}
	}
	return count
}

// startProbing ends an ejection with few slots. The upstream gets a status query
// for its occupancy first: a query without an answer ejects it again and, unlike
// a task, fails no job.
func (core *Core) startProbing(upstream *upstreamState) {
	if upstream.health.unreachable {
		// One more refused connection ejects the upstream again.
		upstream.health.consecutiveRefusals = core.config.Limits.EjectAfter - 1
	}
	core.endEjection(&upstream.health)
	upstream.health.probeSlots = firstProbeSlots
	core.resetFailureShare(&upstream.health)
	upstream.health.successes = 0
	core.requestOccupancy(upstream)
	core.syncScheduler(upstream)
}

// clearEjection resets the health of an upstream without slow start.
func (core *Core) clearEjection(upstream *upstreamState) {
	if upstream.health.ejected() {
		core.endEjection(&upstream.health)
	}
	core.resetFailureShare(&upstream.health)
	upstream.health = health{}
}
