package estimate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// learned returns an Estimator that has observed two kinds, one with long tasks, on
// upstreams of which one is slow, and the incarnations of the upstreams.
func learned(upstreams int) (*Estimator, map[string]int64) {
	random := rand.New(rand.NewPCG(7, 1))
	estimator := New()
	incarnations := make(map[string]int64)
	for i := range upstreams {
		incarnations[fmt.Sprintf("upstream-%d", i)] = int64(1_700_000_000_000 + i)
	}
	for round := range 200 * upstreams {
		index := round % upstreams
		speed := 1.0
		if index == 0 {
			speed = 0.5
		}
		tail := 1.0
		if random.Float64() < 0.03 {
			tail = 7
		}
		noise := math.Exp(0.2 * (2*random.Float64() - 1))
		id := fmt.Sprintf("upstream-%d", index)
		estimator.Observe("long-tail", id, 50, 75/speed*noise*tail)
		estimator.Observe("steady", id, 200, 160/speed*noise)
	}
	return estimator, incarnations
}

// Guards against a new scheduler that predicts worse than the one before: what was
// learned survives the encoding.
func TestDigestRestoresPredictions(t *testing.T) {
	estimator, incarnations := learned(20)
	encoded, err := cbor.Marshal(estimator.Digest(incarnations))
	assert.NilError(t, err)
	var digest Digest
	assert.NilError(t, cbor.Unmarshal(encoded, &digest))
	successor := New()
	successor.Declare("upstream-0", 2)
	assert.Assert(t, successor.Adopt(digest, 0, incarnations))
	for _, kind := range []string{"long-tail", "steady"} {
		assertNear(t, "ratio of "+kind, successor.Ratio(kind), estimator.Ratio(kind), 0.01)
		assertNear(t, "0.9 quantile of "+kind, successor.Quantile(kind, 0.9), estimator.Quantile(kind, 0.9), 0.05)
		assertNear(t, "long tasks of "+kind, successor.ExceedShare(kind, 3), estimator.ExceedShare(kind, 3), 0.05)
	}
	assert.Assert(t, estimator.ExceedShare("long-tail", 3) > 0.015)
	assert.Assert(t, estimator.ExceedShare("steady", 3) < 0.015)
	for id := range incarnations {
		assertNear(t, "speed of "+id, successor.Speed(id), estimator.Speed(id), 0.01)
	}
}

// Guards against the speed of an upstream that was restarted or replaced under its ID
// being taken for that of its successor, and against values out of range.
func TestDigestOfOtherProcessesIsSkipped(t *testing.T) {
	estimator, incarnations := learned(3)
	digest := estimator.Digest(incarnations)
	incarnations["upstream-0"]++
	delete(incarnations, "upstream-1")
	successor := New()
	assert.Assert(t, successor.Adopt(digest, 0, incarnations))
	assert.Equal(t, successor.Speed("upstream-0"), 1.0)
	assert.Equal(t, successor.Speed("upstream-1"), 1.0)
	assertNear(t, "speed", successor.Speed("upstream-2"), estimator.Speed("upstream-2"), 0.01)

	nan := float32(math.NaN())
	assert.Assert(t, successor.Adopt(Digest{
		Format: digestFormat,
		Kinds: []KindDigest{
			{Name: "a", Ratio: nan},
			{Name: "b", Ratio: 1, LogStdDev: nan},
			{Name: "c", Ratio: 1, Observations: nan, RunTimes: []float32{nan, 1, 1, nan, 1, -1, 1}},
		},
		Upstreams: []UpstreamDigest{{ID: "upstream-2", Incarnation: incarnations["upstream-2"], Speed: nan}},
	}, 0, incarnations))
	assert.Equal(t, successor.Ratio("a"), 1.0)
	assert.Equal(t, successor.LogStdDev("b"), priorLogStdDev)
	assert.Equal(t, successor.ExceedShare("c", 1), minTailShare)
	assertNear(t, "speed", successor.Speed("upstream-2"), estimator.Speed("upstream-2"), 0.01)

	assert.Assert(t, !successor.Adopt(Digest{Format: digestFormat + 1}, 0, incarnations))
}

// Guards against an old digest that outweighs what the successor observes itself.
func TestOldDigestWeighsLess(t *testing.T) {
	estimator, incarnations := learned(2)
	digest := estimator.Digest(incarnations)
	afterOneTask := func(age time.Duration) float64 {
		successor := New()
		assert.Assert(t, successor.Adopt(digest, age, incarnations))
		successor.Observe("steady", "upstream-1", 200, 640)
		return successor.Ratio("steady")
	}
	fresh, old := afterOneTask(0), afterOneTask(10*digestHalfLife)
	assertNear(t, "ratio after one long task", fresh, estimator.Ratio("steady"), 0.05)
	assert.Assert(t, old > 1.5*fresh, "%.2f after an old digest, %.2f after a fresh one", old, fresh)
}

// Guards against a digest that takes a large part of the 18 KB/s that control may use:
// one is sent every 5 s to at most 5 processes and one for each failure domain.
func TestDigestIsSmall(t *testing.T) {
	estimator, incarnations := learned(350)
	encoded, err := cbor.Marshal(estimator.Digest(incarnations))
	assert.NilError(t, err)
	assert.Assert(t, len(encoded) < 16<<10, "%d bytes", len(encoded))
	t.Logf("350 upstreams, 2 kinds: %d bytes", len(encoded))
}
