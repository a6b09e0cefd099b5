package estimate

import "math"

const (
	// kindPrior is the weight, in observations, of the prior that the callers
	// of a kind declare its run times right. It is light because declared run
	// times are off by up to 4x either way.
	kindPrior = 0.25
	// speedPrior is the weight, in observations, of an upstream's declared
	// speed. It is heavy so that the first tasks of a wrongly declared kind
	// move the kind's ratio and not the upstream's speed.
	speedPrior = 20
	// minKindGain and minSpeedGain keep the averages following changes.
	minKindGain  = 0.02
	minSpeedGain = 0.03
	// maxResidual bounds what a single outlier moves, in natural logarithms:
	// a task that takes 7 times its prediction counts as one of 4.5 times.
	maxResidual = 1.5
	// minFactor and maxFactor bound ratios and speeds.
	minFactor = 0.02
	maxFactor = 50
	// priorSpread is the standard deviation of the logarithm of actual over
	// predicted run time that a kind without observations is given.
	priorSpread = 0.2
)

// Estimator holds the averages. It is not safe for concurrent use.
type Estimator struct {
	upstreams map[string]*upstream
	kinds     map[string]*kind
	// deviations is the sum of the deviations of all upstreams.
	deviations float64
}

type upstream struct {
	// declared is the logarithm of the declared speed.
	declared float64
	// deviation is the logarithm of observed over declared speed, before the
	// mean deviation of all upstreams is taken off.
	deviation float64
	observed  float64
}

type kind struct {
	// ratio is the logarithm of actual over declared work, before the mean
	// deviation of all upstreams is taken off.
	ratio float64
	// variance is that of the residuals.
	variance float64
	observed float64
}

// New returns an Estimator without observations.
func New() *Estimator {
	return &Estimator{
		upstreams: make(map[string]*upstream),
		kinds:     make(map[string]*kind),
	}
}

// Declare sets the declared speed of an upstream. What was observed of a known
// upstream stays.
func (estimator *Estimator) Declare(id string, speed float64) {
	declared := math.Log(clamp(speed))
	held, known := estimator.upstreams[id]
	if !known {
		// The mean deviation of the others is what an upstream without
		// observations deviates by, so that its speed reads as declared.
		held = &upstream{
			deviation: estimator.meanDeviation(),
		}
		estimator.upstreams[id] = held
		estimator.deviations += held.deviation
	}
	held.declared = declared
}

// Remove drops what is known of an upstream.
func (estimator *Estimator) Remove(id string) {
	held, known := estimator.upstreams[id]
	if !known {
		return
	}
	mean := estimator.meanDeviation()
	delete(estimator.upstreams, id)
	estimator.deviations -= held.deviation
	if len(estimator.upstreams) > 0 {
		return
	}
	// Without upstreams the mean deviation is 0: the kinds take it over.
	estimator.deviations = 0
	for _, of := range estimator.kinds {
		of.ratio -= mean
	}
}

// Speed returns the estimated speed of an upstream; 1 is the reference speed.
func (estimator *Estimator) Speed(id string) float64 {
	held, known := estimator.upstreams[id]
	if !known {
		return 1
	}
	return clamp(math.Exp(held.declared + held.deviation - estimator.meanDeviation()))
}

// WorkMs returns the estimated run time of a task of the kind on an upstream
// of speed 1.
func (estimator *Estimator) WorkMs(name string, declaredMs float64) float64 {
	return declaredMs * estimator.Ratio(name)
}

// Ratio returns the estimated ratio of actual to declared work of a kind.
func (estimator *Estimator) Ratio(name string) float64 {
	held, known := estimator.kinds[name]
	if !known {
		return 1
	}
	return clamp(math.Exp(held.ratio - estimator.meanDeviation()))
}

// LogStdDev returns the standard deviation of the natural logarithm of actual
// over predicted run time of a kind.
func (estimator *Estimator) LogStdDev(name string) float64 {
	held, known := estimator.kinds[name]
	if !known {
		return priorSpread
	}
	return math.Sqrt(held.variance)
}

// Observe records that a task of the kind, declared at declaredMs, took
// actualMs on the upstream. Values that are not positive are ignored.
func (estimator *Estimator) Observe(name, id string, declaredMs, actualMs float64) {
	if !(declaredMs > 0 && actualMs > 0) {
		return
	}
	if _, known := estimator.upstreams[id]; !known {
		estimator.Declare(id, 1)
	}
	on := estimator.upstreams[id]
	of, known := estimator.kinds[name]
	if !known {
		of = &kind{
			ratio:    estimator.meanDeviation(),
			variance: priorSpread * priorSpread,
		}
		estimator.kinds[name] = of
	}
	predicted := of.ratio - on.declared - on.deviation
	residual := math.Log(actualMs/declaredMs) - predicted
	residual = min(max(residual, -maxResidual), maxResidual)
	of.observed++
	on.observed++
	kindGain := max(1/(of.observed+kindPrior), minKindGain)
	speedGain := max(1/(on.observed+speedPrior), minSpeedGain)
	of.ratio += kindGain * residual
	// What the kind's ratio took over is not counted for the speed as well.
	remaining := (1 - kindGain) * residual
	on.deviation -= speedGain * remaining
	estimator.deviations -= speedGain * remaining
	of.variance += max(minKindGain, 1/(of.observed+1/minKindGain)) * (remaining*remaining - of.variance)
}

// meanDeviation is the part of the deviations that is common to all upstreams.
// A common factor of all speeds can't be told from a common factor of all
// ratios; counting it as a ratio keeps the two from drifting apart.
func (estimator *Estimator) meanDeviation() float64 {
	if len(estimator.upstreams) == 0 {
		return 0
	}
	return estimator.deviations / float64(len(estimator.upstreams))
}

func clamp(factor float64) float64 {
	return min(max(factor, minFactor), maxFactor)
}
