package estimate

import (
	"math"

	"github.com/DataDog/sketches-go/ddsketch"
)

const (
	// distributionAccuracy is the relative accuracy of the quantiles of a
	// distribution, and distributionBins bounds its memory.
	distributionAccuracy = 0.05
	distributionBins     = 96
	// minDistributionCount is the number of observations below which the prior
	// stands for the distribution.
	minDistributionCount = 30
	// maxDistributionCount is the number of observations at which all counts are
	// halved, so that the distribution follows changes.
	maxDistributionCount = 1000
	// minTailShare is the share of long tasks that is assumed of a kind without
	// observations, and the least that ExceedShare returns.
	minTailShare = 0.002
)

// distribution is the distribution of actual over predicted run times of a kind.
type distribution struct {
	sketch *ddsketch.DDSketch
}

// newDistribution returns a distribution without observations.
func newDistribution() distribution {
	sketch, err := ddsketch.LogCollapsingLowestDenseDDSketch(distributionAccuracy, distributionBins)
	if err != nil {
		// The accuracy is a valid constant.
		panic(err)
	}
	return distribution{
		sketch: sketch,
	}
}

// add records ratios that are positive and finite, and ignores others.
func (distribution *distribution) add(ratio, count float64) {
	if !(ratio >= minFactor && ratio <= maxFactor && count > 0 && count <= maxDistributionCount) {
		return
	}
	if err := distribution.sketch.AddWithCount(ratio, count); err != nil {
		return
	}
	if distribution.sketch.GetCount() >= maxDistributionCount {
		distribution.scale(0.5)
	}
}

// scale multiplies all counts by a factor above 0.
func (distribution *distribution) scale(factor float64) {
	// The only error is that of a factor that is not positive.
	_ = distribution.sketch.Reweight(factor)
}

// known reports whether there are enough observations to replace the prior.
func (distribution *distribution) known() bool {
	return distribution.sketch.GetCount() >= minDistributionCount
}

// quantile returns the quantile at share, from 0 to 1, and false if the distribution
// is not known.
func (distribution *distribution) quantile(share float64) (float64, bool) {
	if !distribution.known() {
		return 0, false
	}
	ratio, err := distribution.sketch.GetValueAtQuantile(share)
	return ratio, err == nil
}

// exceedShare returns the share of the observations above a ratio.
func (distribution *distribution) exceedShare(ratio float64) float64 {
	if !distribution.known() {
		return minTailShare
	}
	above := 0.0
	distribution.sketch.ForEach(func(value, count float64) bool {
		if value > ratio {
			above += count
		}
		return false
	})
	return max(above/distribution.sketch.GetCount(), minTailShare)
}

// Quantile returns the factor by which the run time of a task of the kind exceeds its
// prediction at most with the given probability, from 0 to 1. For an unknown kind it
// is that of a logarithmic normal distribution with the prior standard deviation.
func (estimator *Estimator) Quantile(kindName string, probability float64) float64 {
	if kind, exists := estimator.kinds[kindName]; exists {
		if factor, known := kind.runTimes.quantile(probability); known {
			return clamp(factor)
		}
	}
	return clamp(math.Exp(priorLogStdDev * math.Sqrt2 * math.Erfinv(2*probability-1)))
}

// ExceedShare returns the share of the tasks of a kind whose run times exceed their
// predictions by more than the factor. It is at least 0.002, the value for an unknown
// kind.
func (estimator *Estimator) ExceedShare(kindName string, factor float64) float64 {
	kind, exists := estimator.kinds[kindName]
	if !exists {
		return minTailShare
	}
	return kind.runTimes.exceedShare(factor)
}
