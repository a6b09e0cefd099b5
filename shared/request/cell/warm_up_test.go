package cell_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/cell"
	"tanagerfall/shared/version/routing"
)

// newColdHarness returns a harness with the upstream u1, which is cold for 2 s more. Its
// service warms up for 4 s, in which an upstream takes 10 starts a second.
func newColdHarness(t *testing.T) *harness {
	harness := newHarness(t)
	harness.warmUp = routing.WarmUp{
		Duration:        4 * time.Second,
		StartsPerSecond: 10,
	}
	harness.cell = harness.newCell()
	cold := testUpstream("u1")
	cold.ColdUntil = harness.now.Add(2 * time.Second)
	harness.list(cold)
	harness.answerFrom(1, nil)
	return harness
}

// Guards against predictions that take a cold upstream for a warm one, and against a
// learned speed that stays low after the warm-up.
func TestColdUpstreamIsPredictedSlow(t *testing.T) {
	harness := newColdHarness(t)
	sequence := int64(0)
	predict := func(id string) float64 {
		start := harness.submit(testJob(id, 1))[0]
		harness.confirm(start)
		harness.now = harness.now.Add(time.Duration(start.ExpectedMs) * time.Millisecond)
		sequence++
		harness.answerPoll("u1", nil, endedRun(sequence, start.Run, cell.EndDone))
		return start.ExpectedMs
	}
	half := predict("half")
	assert.Assert(t, half > 130 && half < 135, "at 3/4 of its speed: %v ms", half)
	harness.advance(time.Second)
	rising := predict("rising")
	assert.Assert(t, rising > 100 && rising < 120, "%v ms", rising)
	harness.advance(time.Second)
	assert.Equal(t, predict("warm"), 100.0)
}

// Guards against a burst at a cold upstream, within one job and from one job to the
// next, and against a limit that outlasts the warm-up.
func TestStartsAtAColdUpstreamAreSpaced(t *testing.T) {
	harness := newColdHarness(t)
	small := testJob("small", 6)
	small.Steps[0].Need.MilliCores = 1000
	assert.Equal(t, len(harness.submit(small)), 1)
	assert.Equal(t, len(harness.submit(testJob("other", 1))), 0)
	assert.Equal(t, len(decisionsOf[cell.StartRun](harness.advance(90*time.Millisecond))), 0)
	assert.Equal(t, len(decisionsOf[cell.StartRun](harness.advance(10*time.Millisecond))), 1)
	harness.now = harness.now.Add(1900 * time.Millisecond)
	harness.answerPoll("u1", nil)
	small.ID = "warm"
	assert.Equal(t, len(harness.submit(small)), 6, "two of the 8 slots are used")
}

// Guards against a limit of very few starts that counts as none, because the time between
// two of them is longer than a Duration can hold.
func TestVeryFewStartsAtAColdUpstream(t *testing.T) {
	harness := newColdHarness(t)
	harness.warmUp.StartsPerSecond = 1e-10
	small := testJob("small", 6)
	small.Steps[0].Need.MilliCores = 1000
	assert.Equal(t, len(harness.submit(small)), 1)
}

// Guards against an upstream that is cold without saying so, as after an evacuation, and
// that gets further tasks while others are free.
func TestUnknownColdUpstreamIsFoundByItsSpeed(t *testing.T) {
	harness := newHarness(t)
	harness.listUpstreams(nil, "u1", "u2", "u3")
	sequences := make(map[string]int64)
	usesOfU1 := 0
	for number := range 10 {
		starts := harness.submit(testJob(fmt.Sprint(number), 4))
		assert.Equal(t, len(starts), 4, "two of the three upstreams run a job")
		for _, start := range starts {
			harness.confirm(start)
		}
		for _, ending := range []string{"u2 u3", "u1"} {
			harness.now = harness.now.Add(100 * time.Millisecond)
			for _, start := range starts {
				id := start.Order.Upstream
				if !strings.Contains(ending, id) {
					continue
				}
				if id == "u1" {
					usesOfU1++
				}
				sequences[id]++
				harness.answerPoll(id, nil, endedRun(sequences[id], start.Run, cell.EndDone))
			}
		}
		harness.advance(25 * time.Millisecond)
	}
	assert.Equal(t, usesOfU1, 2, "by the first job only")
}
