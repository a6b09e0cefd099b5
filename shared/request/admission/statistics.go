package admission

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// recentSizes is the number of jobs of a kind from which its largest tenth is found,
	// and resortAfter after how many new ones it is found anew.
	recentSizes = 128
	resortAfter = 16
	// meanGain is the weight of one job in the mean size of its kind.
	meanGain = 1.0 / 256
	// largeShare is the share of the largest tenth of a kind that counts as average in
	// size, so that this tenth is served at least half as often as its kind.
	largeShare = 0.6
	// shareTime is the time over which the served shares are smoothed, and arrivalTime
	// that of the arriving work.
	shareTime   = 2 * time.Second
	arrivalTime = 500 * time.Millisecond
	// shareWeight is how strongly the cost follows the served share.
	shareWeight = 1.0
)

// sizes holds the sizes of the jobs of one kind.
type sizes struct {
	mean   float64
	count  int
	recent [recentSizes]float64
	sorted []float64
	large  float64
}

func (sizes *sizes) add(work float64) {
	sizes.recent[sizes.count%recentSizes] = work
	sizes.count++
	sizes.mean += (work - sizes.mean) * max(meanGain, 1/float64(sizes.count))
	if sizes.count%resortAfter == 0 {
		sizes.sorted = append(sizes.sorted[:0], sizes.recent[:min(sizes.count, recentSizes)]...)
		slices.Sort(sizes.sorted)
		sizes.large = sizes.sorted[len(sizes.sorted)*9/10]
	}
}

// relative returns the size relative to the mean of the kind. By a draw from the ID, a
// part of the largest jobs counts as average.
func (sizes *sizes) relative(id string, work float64) float64 {
	if sizes.mean <= 0 {
		return 1
	}
	if sizes.large > 0 && work >= sizes.large && draw(id) < largeShare {
		return 1
	}
	return work / sizes.mean
}

// draw returns a number in [0, 1) that depends on the ID only.
func draw(id string) float64 {
	return float64(xxhash.Sum64String(id)>>11) / (1 << 53)
}

// share is the smoothed share of jobs that were completed on time.
type share struct {
	onTime    float64
	all       float64
	updatedAt time.Time
}

// shares holds the served shares of kinds or failure domains.
type shares map[string]*share

func (shares shares) touch(now time.Time, name string) {
	if shares[name] == nil {
		shares[name] = &share{
			updatedAt: now,
		}
	}
}

func (shares shares) add(now time.Time, name string, onTime bool) {
	shares.touch(now, name)
	share := shares[name]
	decay := math.Exp(-max(now.Sub(share.updatedAt).Seconds(), 0) / shareTime.Seconds())
	share.updatedAt = now
	share.onTime *= decay
	share.all = share.all*decay + 1
	if onTime {
		share.onTime++
	}
}

// value returns the share. With few jobs it is close to 1.
func (share *share) value() float64 { return (share.onTime + 5) / (share.all + 5) }

// factor returns the factor of the cost for a kind or failure domain: below 1 if it is
// served worse than the mean.
func (shares shares) factor(name string) float64 {
	own := shares[name]
	if own == nil || len(shares) < 2 {
		return 1
	}
	mean := 0.0
	for _, share := range shares {
		mean += share.value()
	}
	mean /= float64(len(shares))
	return math.Pow(min(max((own.value()+0.1)/(mean+0.1), 0.4), 2.5), shareWeight)
}

// costSteps is the number of costs for which arriving work is counted. The steps are
// logarithmic, costStepsPerDoubling of them to a factor of 2, and step costSteps/2
// holds cost 1.
const (
	costSteps            = 64
	costStepsPerDoubling = 6
)

// arrivals holds the smoothed rate of arriving work by cost.
type arrivals struct {
	work      [costSteps]float64
	below     [costSteps + 1]float64
	updatedAt time.Time
}

func costStep(cost float64) int {
	if cost <= 0 {
		return 0
	}
	step := costSteps/2 + int(math.Floor(math.Log2(cost)*costStepsPerDoubling))
	return min(max(step, 0), costSteps-1)
}

func (arrivals *arrivals) decay(now time.Time) {
	elapsed := now.Sub(arrivals.updatedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	arrivals.updatedAt = now
	decay := math.Exp(-elapsed / arrivalTime.Seconds())
	for i := range arrivals.work {
		arrivals.work[i] *= decay
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

// accumulate prepares cheaper for a capacity in cores at speed 1.
func (arrivals *arrivals) accumulate(now time.Time, cores float64) {
	arrivals.decay(now)
	sum := 0.0
	for i, work := range arrivals.work {
		arrivals.below[i] = sum
		sum += work / arrivalTime.Seconds() / max(cores, 1e-9)
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
