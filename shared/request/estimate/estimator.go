package estimate

const (
	// speedWeight is the weight of a new observation of an upstream's speed.
	speedWeight = 0.1
	// ratioWeight is the weight of a new observation of a kind's ratio.
	ratioWeight = 0.02
	minFactor   = 0.02
	maxFactor   = 50
)

// Estimator holds the averages. It is not safe for concurrent use.
type Estimator struct {
	speeds map[string]float64
	ratios map[string]float64
}

// New returns an Estimator without observations.
func New() *Estimator {
	return &Estimator{
		speeds: make(map[string]float64),
		ratios: make(map[string]float64),
	}
}

// Declare sets the prior speed of an upstream that has no observation yet.
func (estimator *Estimator) Declare(upstream string, speed float64) {
	if _, known := estimator.speeds[upstream]; known {
		return
	}
	estimator.speeds[upstream] = clamp(speed)
}

// Forget drops what is known of an upstream.
func (estimator *Estimator) Forget(upstream string) {
	delete(estimator.speeds, upstream)
}

// Speed returns the estimated speed of an upstream; 1 is the reference speed.
func (estimator *Estimator) Speed(upstream string) float64 {
	if speed, known := estimator.speeds[upstream]; known {
		return speed
	}
	return 1
}

// WorkMs returns the estimated run time of a task of the kind on an upstream
// of speed 1.
func (estimator *Estimator) WorkMs(kind string, declaredMs float64) float64 {
	if ratio, known := estimator.ratios[kind]; known {
		return declaredMs * ratio
	}
	return declaredMs
}

// Observe records that a task of the kind, declared at declaredMs, took
// actualMs on the upstream.
func (estimator *Estimator) Observe(kind, upstream string, declaredMs, actualMs float64) {
	if declaredMs <= 0 || actualMs <= 0 {
		return
	}
	speed := estimator.Speed(upstream)
	work := estimator.WorkMs(kind, declaredMs)
	estimator.speeds[upstream] = clamp(speed + speedWeight*(work/actualMs-speed))
	ratio, known := estimator.ratios[kind]
	if !known {
		ratio = 1
	}
	estimator.ratios[kind] = clamp(ratio + ratioWeight*(actualMs*speed/declaredMs-ratio))
}

func clamp(factor float64) float64 {
	return min(max(factor, minFactor), maxFactor)
}
