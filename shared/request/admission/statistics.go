package admission

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// recentSizes is the number of jobs of a kind from which its largest tenth is found,
	// and sortAfter after how many new ones it is found again.
	recentSizes = 128
	sortAfter   = 16
	// minMeanGain is the weight of one more job in the mean size of its kind.
	minMeanGain = 1.0 / 256
	// largeShare is how often jobs of the largest tenth of a kind are chosen relative to
	// the served share of the kind, and largeCost their cost then. Not all that are
	// chosen are served, and the tenth should be served half as often as its kind.
	largeShare = 0.8
	largeCost  = 0.7
	// shareTime is the time over which the served shares are smoothed.
	shareTime = 2 * time.Second
	// sharePrior is the number of jobs on time that a share starts with.
	sharePrior = 2
	// minFactor and maxFactor bound the factor by which a badly served kind or failure
	// domain is preferred, and a well served one is not.
	minFactor = 0.4
	maxFactor = 2.5
	// keyShare is the share of its kind's served jobs up to which a key costs nothing
	// extra, and keyGain the extra cost of a share of 1 more.
	keyShare = 0.5
	keyGain  = 4
	// keyInterval spaces the updates of all keys of a kind. Keys with a lower count than
	// minKeyCount are forgotten, and no more than maxKeys are counted.
	keyInterval = 500 * time.Millisecond
	minKeyCount = 0.1
	maxKeys     = 1024
)

// share is the smoothed share of jobs that were completed on time.
type share struct {
	onTime    float64
	all       float64
	updatedAt time.Time
	// factor is the factor of the cost.
	factor float64
}

func newShare(now time.Time) share {
	return share{
		updatedAt: now,
		factor:    1,
	}
}

// decay returns by which factor sums shrink between two times.
func decay(from, to time.Time, over time.Duration) float64 {
	return math.Exp(-max(to.Sub(from).Seconds(), 0) / over.Seconds())
}

func (share *share) decay(now time.Time) {
	factor := decay(share.updatedAt, now, shareTime)
	share.updatedAt = now
	share.onTime *= factor
	share.all *= factor
}

func (share *share) add(now time.Time, onTime bool) {
	share.decay(now)
	share.all++
	if onTime {
		share.onTime++
	}
}

func (share *share) value() float64 { return (share.onTime + sharePrior) / (share.all + sharePrior) }

// updateFactors sets the factors of all shares by their ratios to the mean, so that the
// kind or failure domain that is served worst gets a larger part of the capacity.
func updateFactors(all []*share) {
	mean := 0.0
	for _, share := range all {
		mean += share.value() / float64(len(all))
	}
	for _, share := range all {
		// The constant keeps ratios of shares near 0 apart from noise.
		ratio := (share.value() + 0.1) / (mean + 0.1)
		share.factor = min(max(ratio, minFactor), maxFactor)
	}
}

// domain returns the share of a failure domain as of now.
func (planner *Planner) domain(now time.Time, name string) *share {
	domain := planner.domains[name]
	if domain == nil {
		added := newShare(now)
		domain = &added
		planner.domains[name] = domain
		planner.domainShares = append(planner.domainShares, domain)
	}
	domain.decay(now)
	return domain
}

// kind holds the statistics of the jobs of one kind.
type kind struct {
	served share
	// sizes holds the work of the last jobs, in core seconds, and large the size from
	// which a job is among the largest tenth.
	sizes  [recentSizes]float64
	sorted []float64
	count  int
	mean   float64
	large  float64
	// keys holds the smoothed number of served jobs by the hash of their key, since callers
	// choose its length, and keySum their sum with those without a key.
	keys      map[uint64]float64
	keySum    float64
	keysAt    time.Time
	refusedAt time.Time
}

// kind returns the statistics of a kind as of now.
func (planner *Planner) kind(now time.Time, name string) *kind {
	found := planner.kinds[name]
	if found == nil {
		found = &kind{
			served: newShare(now),
			keys:   make(map[uint64]float64),
			keysAt: now,
		}
		planner.kinds[name] = found
		planner.kindShares = append(planner.kindShares, &found.served)
	}
	found.served.decay(now)
	return found
}

func (kind *kind) addSize(work float64) {
	kind.sizes[kind.count%recentSizes] = work
	kind.count++
	kind.mean += (work - kind.mean) * max(minMeanGain, 1/float64(kind.count))
	if kind.count%sortAfter == 0 {
		kind.sorted = append(kind.sorted[:0], kind.sizes[:min(kind.count, recentSizes)]...)
		slices.Sort(kind.sorted)
		kind.large = kind.sorted[len(kind.sorted)*9/10]
	}
}

// relativeSize returns the work relative to the mean of the kind. The largest tenth would
// never be served under overload. A part of it, in proportion to how often the kind is
// served, is chosen by a draw from the ID and counts as smaller than the mean.
func (kind *kind) relativeSize(id string, work float64) float64 {
	return relativeSize(id, work, kind.mean, kind.large, kind.served.value())
}

func relativeSize(id string, work, mean, large, served float64) float64 {
	if mean <= 0 {
		return 1
	}
	if large > 0 && work > large && draw(id) < largeShare*served {
		return largeCost
	}
	return work / mean
}

// draw returns a number in [0, 1) that depends on the ID only.
func draw(id string) float64 {
	return float64(xxhash.Sum64String(id)>>11) / (1 << 53)
}

// addKey counts a served job.
func (kind *kind) addKey(now time.Time, key string) {
	if now.Sub(kind.keysAt) >= keyInterval {
		factor := decay(kind.keysAt, now, shareTime)
		kind.keysAt = now
		kind.keySum *= factor
		for hash, count := range kind.keys {
			if kind.keys[hash] = count * factor; count < minKeyCount {
				delete(kind.keys, hash)
			}
		}
	}
	kind.keySum++
	if key != "" && len(kind.keys) < maxKeys {
		kind.keys[xxhash.Sum64String(key)]++
	}
}

// keyFactor returns the factor of the cost for a key. It answers one key that most of a
// kind's jobs are about.
func (kind *kind) keyFactor(key string) float64 {
	if key == "" || kind.keySum < sharePrior {
		return 1
	}
	return 1 + keyGain*max(kind.keys[xxhash.Sum64String(key)]/kind.keySum-keyShare, 0)
}
