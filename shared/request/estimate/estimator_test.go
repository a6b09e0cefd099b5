package estimate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// assertNear checks that the ratio of got to want is within the tolerance.
func assertNear(t *testing.T, name string, got, want, tolerance float64) {
	t.Helper()
	assert.Assert(t, math.Abs(math.Log(got/want)) < math.Log(1+tolerance), "%s is %.3f, want %.3f", name, got, want)
}

// TestFactorsAreSeparated guards against a wrongly declared kind making upstreams look
// slow, against a wrongly declared upstream changing the ratios of kinds, and against
// the two factors drifting apart.
func TestFactorsAreSeparated(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	estimator := New()
	for i := range 10 {
		estimator.Declare(fmt.Sprint(i), 1)
	}
	const rounds = 20_000
	slowSpeedSum, otherSpeedSum, longMsSum, shortMsSum := 0.0, 0.0, 0.0, 0.0
	for round := range rounds {
		upstream := random.IntN(10)
		speed := 1.0
		if upstream == 0 {
			speed = 0.5
		}
		noise := math.Exp(0.3 * (2*random.Float64() - 1))
		estimator.Observe("long", fmt.Sprint(upstream), 100, 400/speed*noise)
		estimator.Observe("short", fmt.Sprint(upstream), 100, 25/speed*noise)
		if round < rounds/2 {
			continue
		}
		slowSpeedSum += estimator.Speed("0")
		otherSpeedSum += estimator.Speed("1")
		longMsSum += estimator.WorkMs("long", 100) / estimator.Speed("1")
		shortMsSum += estimator.WorkMs("short", 100) / estimator.Speed("1")
	}
	// The averages keep following changes, so single values are noisy; the means
	// over the second half must be correct.
	assertNear(t, "speed of a slow upstream", slowSpeedSum/otherSpeedSum, 0.5, 0.05)
	// A common factor of all speeds is attributed to the ratios. The slow upstream
	// lowers the mean logarithm of the speeds by ln(2)/10, so the other speeds are
	// estimated higher by that amount.
	assertNear(t, "speed of another upstream", otherSpeedSum/(rounds/2), math.Pow(2, 0.1), 0.05)
	assertNear(t, "run time of a long task", longMsSum/(rounds/2), 400, 0.05)
	assertNear(t, "run time of a short task", shortMsSum/(rounds/2), 25, 0.05)
}

// TestKindIsLearntBeforeSpeed guards against the first tasks of a kind whose declared
// run times are 4 times too short making their upstream look slow.
func TestKindIsLearntBeforeSpeed(t *testing.T) {
	estimator := New()
	estimator.Declare("a", 1)
	estimator.Declare("b", 1)
	estimator.Observe("k", "a", 100, 400)
	estimator.Observe("k", "a", 100, 400)
	assertNear(t, "ratio", estimator.Ratio("k"), 4, 0.2)
	assertNear(t, "speed", estimator.Speed("a"), 1, 0.02)
}

// TestOutlierMovesLittle guards against one very slow task that distorts the estimates
// of its kind.
func TestOutlierMovesLittle(t *testing.T) {
	estimator := New()
	estimator.Declare("a", 1)
	for range 200 {
		estimator.Observe("k", "a", 100, 100)
	}
	estimator.Observe("k", "a", 100, 100_000)
	assertNear(t, "run time", estimator.WorkMs("k", 100)/estimator.Speed("a"), 100, 0.1)
}

// TestRemoveKeepsPredictions guards against predictions for the other upstreams that
// change when an upstream is removed, and against values that aren't positive having
// an effect.
func TestRemoveKeepsPredictions(t *testing.T) {
	estimator := New()
	estimator.Declare("a", 1)
	estimator.Declare("b", 2)
	for range 100 {
		estimator.Observe("k", "a", 100, 300)
		estimator.Observe("k", "b", 100, 100)
	}
	before := estimator.WorkMs("k", 100) / estimator.Speed("a")
	estimator.Remove("b")
	assertNear(t, "run time", estimator.WorkMs("k", 100)/estimator.Speed("a"), before, 0.001)
	estimator.Observe("k", "a", 0, 100)
	estimator.Observe("k", "a", 100, math.NaN())
	assertNear(t, "run time", estimator.WorkMs("k", 100)/estimator.Speed("a"), before, 0.001)
}
