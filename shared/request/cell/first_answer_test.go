package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/cell"
)

// Guards against a second run of a task that goes on, and against one that never starts
// again: another scheduler has fenced this one's first order to an upstream that started a
// second or long ago, and this one has claimed the upstream again. When it answers no more
// polls, its runs must be kept until their lease has expired, and no longer.
func TestLostPollsDoNotEndRunsAfterFencedFirstOrder(t *testing.T) {
	for _, age := range []int64{1000, 500_000} {
		testFencedFirstOrder(t, age)
	}
}

// testFencedFirstOrder plays the case with an upstream that started age ms ago.
func testFencedFirstOrder(t *testing.T, age int64) {
	harness := newHarness(t)
	// startClock is the difference between the harness's clock and the upstream's.
	startClock := harness.clock() - age
	var polls []cell.Poll
	handle := func(event cell.Event) []cell.Decision {
		decisions := harness.handle(event)
		polls = append(polls, decisionsOf[cell.Poll](decisions)...)
		return decisions
	}
	// answer replies to the polls in flight, and returns the decisions on that.
	answer := func(outcome cell.Outcome) []cell.Decision {
		var decisions []cell.Decision
		answered := polls
		polls = nil
		for _, poll := range answered {
			reply := harness.pollReply(poll, nil, nil)
			reply.Reply.Outcome = outcome
			reply.Reply.Clock -= startClock
			decisions = append(decisions, handle(reply)...)
		}
		return decisions
	}
	handle(cell.UpstreamsListed{
		Upstreams: []cell.Upstream{testUpstream("u1")},
	})
	answer(cell.OutcomeFenced)
	for range 20 {
		harness.now = harness.now.Add(25 * time.Millisecond)
		handle(cell.Tick{})
	}
	assert.Equal(t, len(polls), 1, "the upstream is claimed again")
	answer(cell.OutcomeDone)
	harness.now = harness.now.Add(cell.DefaultLimits().StopGrace)
	answer(cell.OutcomeDone)
	starts := harness.submit(testJob("j", 1))
	assert.Equal(t, len(starts), 1)
	startReply := harness.reply(starts[0].Order, cell.OutcomeDone)
	startReply.Clock -= startClock
	handle(cell.StartReplied{
		Reply: startReply,
		Run:   starts[0].Run,
	})
	lost := 0
	tick := func() int {
		decisions := answer(cell.OutcomeUnknown)
		harness.now = harness.now.Add(25 * time.Millisecond)
		decisions = append(decisions, handle(cell.Tick{})...)
		lost += len(decisionsOf[cell.RunLost](decisions))
		return lost
	}
	limits := cell.DefaultLimits()
	for elapsed := time.Duration(0); elapsed < limits.Lease; elapsed += 25 * time.Millisecond {
		assert.Equal(t, tick(), 0, "the run counts as over %v after its start", elapsed)
	}
	for elapsed := time.Duration(0); elapsed < limits.Lease; elapsed += 25 * time.Millisecond {
		tick()
	}
	assert.Equal(t, lost, 1, "the run is kept although its lease has expired")
}
