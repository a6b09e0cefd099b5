package estimate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

func near(t *testing.T, name string, got, want, tolerance float64) {
	t.Helper()
	assert.Assert(t, math.Abs(math.Log(got/want)) < math.Log(1+tolerance), "%s is %.3f, want %.3f", name, got, want)
}

// TestFactorsAreSeparated guards against a wrongly declared kind that is
// counted as slow upstreams, against a wrongly declared upstream that is
// counted for the kind, and against the two factors drifting apart.
func TestFactorsAreSeparated(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	estimator := New()
	for i := range 10 {
		estimator.Declare(fmt.Sprint(i), 1)
	}
	const rounds = 20_000
	slow, other, long, short := 0.0, 0.0, 0.0, 0.0
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
		slow += estimator.Speed("0")
		other += estimator.Speed("1")
		long += estimator.WorkMs("long", 100) / estimator.Speed("1")
		short += estimator.WorkMs("short", 100) / estimator.Speed("1")
	}
	// The averages follow changes, so each single value carries some noise;
	// the means over the second half must be right.
	near(t, "speed of a slow upstream", slow/other, 0.5, 0.05)
	// A common factor of all speeds counts as a ratio: the slow upstream moves
	// the mean of the logarithms by ln(2)/10, which the others make up for.
	near(t, "speed of another upstream", other/(rounds/2), math.Pow(2, 0.1), 0.05)
	near(t, "run time of a long task", long/(rounds/2), 400, 0.05)
	near(t, "run time of a short task", short/(rounds/2), 25, 0.05)
}

// TestKindIsLearntBeforeSpeed guards against the first tasks of a kind that is
// declared 4 times too short making their upstreams look slow.
func TestKindIsLearntBeforeSpeed(t *testing.T) {
	estimator := New()
	estimator.Declare("a", 1)
	estimator.Declare("b", 1)
	estimator.Observe("k", "a", 100, 400)
	estimator.Observe("k", "a", 100, 400)
	near(t, "ratio", estimator.Ratio("k"), 4, 0.2)
	near(t, "speed", estimator.Speed("a"), 1, 0.02)
}

// TestOutlierMovesLittle guards against one straggling task that spoils the
// estimates of its kind.
func TestOutlierMovesLittle(t *testing.T) {
	estimator := New()
	estimator.Declare("a", 1)
	for range 200 {
		estimator.Observe("k", "a", 100, 100)
	}
	estimator.Observe("k", "a", 100, 100_000)
	near(t, "run time", estimator.WorkMs("k", 100)/estimator.Speed("a"), 100, 0.1)
}

// TestForgetKeepsPredictions guards against predictions for other upstreams
// that jump when an upstream leaves, and against values that are not positive.
func TestForgetKeepsPredictions(t *testing.T) {
	estimator := New()
	estimator.Declare("a", 1)
	estimator.Declare("b", 2)
	for range 100 {
		estimator.Observe("k", "a", 100, 300)
		estimator.Observe("k", "b", 100, 100)
	}
	before := estimator.WorkMs("k", 100) / estimator.Speed("a")
	estimator.Remove("b")
	near(t, "run time", estimator.WorkMs("k", 100)/estimator.Speed("a"), before, 0.001)
	estimator.Observe("k", "a", 0, 100)
	estimator.Observe("k", "a", 100, math.NaN())
	near(t, "run time", estimator.WorkMs("k", 100)/estimator.Speed("a"), before, 0.001)
}
