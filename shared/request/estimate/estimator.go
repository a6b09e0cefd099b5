package estimate

import "math"

const (
	// kindPriorWeight is the weight, in observations, of the prior that the
	// callers of a kind declare its run times correctly. It is low because
	// declared run times are up to 4 times too long or too short.
	kindPriorWeight = 0.25
	// speedPriorWeight is the weight, in observations, of an upstream's declared
	// speed. It is high so that the first tasks of a wrongly declared kind change
	// the kind's ratio rather than the upstream's speed.
	speedPriorWeight = 20
	// minKindGain and minSpeedGain are the smallest weights of a new observation,
	// so that the averages keep following changes.
	minKindGain  = 0.02
	minSpeedGain = 0.03
	// maxLogResidual bounds the natural logarithm of actual over predicted run
	// time, to limit the effect of a single outlier: a task that takes 7 times its
	// prediction counts as one that takes 4.5 times.
	maxLogResidual = 1.5
	// minFactor and maxFactor bound the estimated ratios and speeds.
	minFactor = 0.02
	maxFactor = 50
	// priorLogStdDev is the standard deviation of the natural logarithm of actual
	// over predicted run time that is assumed for a kind without observations.
	priorLogStdDev = 0.2
)

// Estimator estimates the speeds of upstreams and the ratios of kinds from observed
// run times. It is not safe for concurrent use.
type Estimator struct {
	upstreams map[string]*upstreamEstimate
	kinds     map[string]*kindEstimate
	// deviationSum is the sum of the upstreams' logDeviation.
	deviationSum float64
}

// upstreamEstimate holds the estimated speed of one upstream.
type upstreamEstimate struct {
	// logDeclaredSpeed is the logarithm of the declared speed.
	logDeclaredSpeed float64
	// logDeviation is the logarithm of observed over declared speed, before the
	// mean deviation of all upstreams is subtracted.
	logDeviation float64
	observations float64
}

// kindEstimate holds the estimated ratio of one kind.
type kindEstimate struct {
	// logRatio is the logarithm of actual over declared work, before the mean
	// deviation of all upstreams is subtracted.
	logRatio float64
	// variance is the variance of the logarithm of actual over predicted run
	// time.
	variance     float64
	observations float64
	// runTimes holds the ratios of actual to predicted run times.
	runTimes distribution
}

// New returns an Estimator without observations.
func New() *Estimator {
	return &Estimator{
		upstreams: make(map[string]*upstreamEstimate),
		kinds:     make(map[string]*kindEstimate),
	}
}

// Declare sets the declared speed of an upstream. The observations of a known
// upstream are kept.
func (estimator *Estimator) Declare(id string, speed float64) {
	logSpeed := math.Log(clamp(speed))
	upstream, exists := estimator.upstreams[id]
	if !exists {
		// An upstream without observations starts with the mean deviation of
		// the others, so that its estimated speed is its declared one.
		upstream = &upstreamEstimate{
			logDeviation: estimator.meanDeviation(),
		}
		estimator.upstreams[id] = upstream
		estimator.deviationSum += upstream.logDeviation
	}
	upstream.logDeclaredSpeed = logSpeed
}

// Remove removes an upstream and its observations.
func (estimator *Estimator) Remove(id string) {
	upstream, exists := estimator.upstreams[id]
	if !exists {
		return
	}
	mean := estimator.meanDeviation()
	delete(estimator.upstreams, id)
	estimator.deviationSum -= upstream.logDeviation
	if len(estimator.upstreams) > 0 {
		return
	}
	// Without upstreams the mean deviation is 0. Subtracting the former mean from
	// the kinds leaves their ratios unchanged.
	estimator.deviationSum = 0
	for _, kind := range estimator.kinds {
		kind.logRatio -= mean
	}
}

// Speed returns the estimated speed of an upstream, relative to the reference speed
// 1. It returns 1 for an unknown upstream.
func (estimator *Estimator) Speed(id string) float64 {
	upstream, exists := estimator.upstreams[id]
	if !exists {
		return 1
	}
	return clamp(math.Exp(upstream.logDeclaredSpeed + upstream.logDeviation - estimator.meanDeviation()))
}

// WorkMs returns the estimated run time, in milliseconds, of a task of the kind on an
// upstream of speed 1.
func (estimator *Estimator) WorkMs(kindName string, declaredMs float64) float64 {
	return declaredMs * estimator.Ratio(kindName)
}

// Ratio returns the estimated ratio of actual to declared work of a kind. It returns 1
// for an unknown kind.
func (estimator *Estimator) Ratio(kindName string) float64 {
	kind, exists := estimator.kinds[kindName]
	if !exists {
		return 1
	}
	return clamp(math.Exp(kind.logRatio - estimator.meanDeviation()))
}

// LogStdDev returns the standard deviation of the natural logarithm of actual over
// predicted run time of a kind. For an unknown kind it returns a prior of 0.2.
func (estimator *Estimator) LogStdDev(kindName string) float64 {
	kind, exists := estimator.kinds[kindName]
	if !exists {
		return priorLogStdDev
	}
	return math.Sqrt(kind.variance)
}

// Observe records that a task of the kind with a declared run time of declaredMs took
// actualMs, both in milliseconds, on the upstream. Observations with values that
// aren't positive are ignored. An unknown upstream is added with a declared speed of 1.
func (estimator *Estimator) Observe(kindName, upstreamID string, declaredMs, actualMs float64) {
	if !(declaredMs > 0 && actualMs > 0) {
		return
	}
	if _, exists := estimator.upstreams[upstreamID]; !exists {
		estimator.Declare(upstreamID, 1)
	}
	upstream := estimator.upstreams[upstreamID]
	kind, exists := estimator.kinds[kindName]
	if !exists {
		kind = &kindEstimate{
			logRatio: estimator.meanDeviation(),
			variance: priorLogStdDev * priorLogStdDev,
			runTimes: newDistribution(),
		}
		estimator.kinds[kindName] = kind
	}
	predictedLogRatio := kind.logRatio - upstream.logDeclaredSpeed - upstream.logDeviation
	residual := math.Log(actualMs/declaredMs) - predictedLogRatio
	kind.runTimes.add(math.Exp(residual), 1)
	residual = min(max(residual, -maxLogResidual), maxLogResidual)
	kind.observations++
	upstream.observations++
	kindGain := max(1/(kind.observations+kindPriorWeight), minKindGain)
	speedGain := max(1/(upstream.observations+speedPriorWeight), minSpeedGain)
	kind.logRatio += kindGain * residual
	// The part of the residual that went into the kind's ratio isn't counted for
	// the upstream's speed as well.
	remaining := (1 - kindGain) * residual
	upstream.logDeviation -= speedGain * remaining
	estimator.deviationSum -= speedGain * remaining
	kind.variance += max(minKindGain, 1/(kind.observations+1/minKindGain)) * (remaining*remaining - kind.variance)
}

// meanDeviation returns the mean of the upstreams' logDeviation. A common factor of
// all speeds can't be distinguished from a common factor of all ratios; attributing
// it to the ratios prevents the two from drifting apart.
func (estimator *Estimator) meanDeviation() float64 {
	if len(estimator.upstreams) == 0 {
		return 0
	}
	return estimator.deviationSum / float64(len(estimator.upstreams))
}

// clamp limits a ratio or a speed to the range from minFactor to maxFactor.
func clamp(factor float64) float64 {
	return min(max(factor, minFactor), maxFactor)
}
