package admission

import (
	"math"
	"time"
)

const (
	// arrivalTime is the time over which the rate of arriving work is smoothed.
	arrivalTime = 250 * time.Millisecond
	// costSteps is the number of ranges of cost for which arriving work is counted.
	// There are costStepsPerDoubling of them to a factor of 2, and costSteps/2 is the
	// one from cost 1 on.
	costSteps            = 64
	costStepsPerDoubling = 6
)

// arrivals holds the smoothed rate of arriving work by cost.
type arrivals struct {
	work      [costSteps]float64
	updatedAt time.Time
	// below holds the arriving work below each range, relative to the capacity.
	below [costSteps + 1]float64
}

func costStep(cost float64) int {
	step := costSteps/2 + int(math.Floor(math.Log2(cost)*costStepsPerDoubling))
	return min(max(step, 0), costSteps-1)
}

func (arrivals *arrivals) decay(now time.Time) {
	factor := decay(arrivals.updatedAt, now, arrivalTime)
	if factor == 1 {
		return
	}
	arrivals.updatedAt = now
	for i := range arrivals.work {
		arrivals.work[i] *= factor
	}
}

func (arrivals *arrivals) add(now time.Time, cost, work float64) {
	arrivals.decay(now)
	arrivals.work[costStep(cost)] += work
}

// rate returns the arriving work, in core seconds at speed 1 per second.
func (arrivals *arrivals) rate(now time.Time) float64 {
	arrivals.decay(now)
	sum := 0.0
	for _, work := range arrivals.work {
		sum += work
	}
	return sum / arrivalTime.Seconds()
}

// accumulate prepares cheaper and threshold for a capacity in cores at speed 1.
func (arrivals *arrivals) accumulate(now time.Time, cores float64) {
	arrivals.decay(now)
	sum := 0.0
	for i, work := range arrivals.work {
		arrivals.below[i] = sum
		sum += work / arrivalTime.Seconds() / cores
	}
	arrivals.below[costSteps] = sum
}

// cheaper returns the arriving work of lower cost, relative to the capacity.
func (arrivals *arrivals) cheaper(cost float64) float64 {
	if math.IsInf(cost, 1) {
		return arrivals.below[costSteps]
	}
	return arrivals.below[costStep(cost)]
}

// threshold returns the cost from which the arriving work of lower cost alone exceeds the
// capacity, or 0 if all arriving work does not.
func (arrivals *arrivals) threshold() float64 {
	for step, below := range arrivals.below {
		if arrivalCertainty*below >= 1 {
			return math.Exp2(float64(step-costSteps/2) / costStepsPerDoubling)
		}
	}
	return 0
}
