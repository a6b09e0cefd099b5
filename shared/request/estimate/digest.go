package estimate

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// digestFormat is the version of the format of a Digest.
	digestFormat = 1
	// MaxDigestKinds and MaxDigestUpstreams bound the entries of a Digest.
	MaxDigestKinds     = 256
	MaxDigestUpstreams = 4096
	// digestHalfLife is the age at which what a digest says has half its weight.
	digestHalfLife = 30 * time.Second
	// maxDigestWeight bounds the number of observations for which a digest counts, so
	// that the receiver's own observations correct it.
	maxDigestWeight = 200
)

// Digest is what an Estimator has learned, small enough to be sent to the processes
// that may have to predict next.
type Digest struct {
	// Format is 1. A Digest of another format is ignored.
	Format    int              `cbor:"1,keyasint"`
	Kinds     []KindDigest     `cbor:"2,keyasint,omitempty"`
	Upstreams []UpstreamDigest `cbor:"3,keyasint,omitempty"`
}

// KindDigest is what an Estimator has learned of a kind.
type KindDigest struct {
	Name         string  `cbor:"1,keyasint"`
	Ratio        float32 `cbor:"2,keyasint"`
	LogStdDev    float32 `cbor:"3,keyasint,omitempty"`
	Observations float32 `cbor:"4,keyasint,omitempty"`
	// RunTimes holds pairs of a ratio of actual to predicted run time and its count.
	RunTimes []float32 `cbor:"5,keyasint,omitempty"`
}

// UpstreamDigest is what an Estimator has learned of an upstream.
type UpstreamDigest struct {
	ID string `cbor:"1,keyasint"`
	// Incarnation is that of the upstream's process; 0 if it is not known.
	Incarnation  int64   `cbor:"2,keyasint,omitempty"`
	Speed        float32 `cbor:"3,keyasint"`
	Observations float32 `cbor:"4,keyasint,omitempty"`
}

// Digest returns what the Estimator has learned of all kinds and of the upstreams in
// incarnations, which holds the incarnations of their processes by ID. Upstreams
// without observations are omitted.
func (estimator *Estimator) Digest(incarnations map[string]int64) Digest {
	digest := Digest{
		Format: digestFormat,
	}
	for _, name := range slices.Sorted(maps.Keys(estimator.kinds)) {
		kind := estimator.kinds[name]
		kindDigest := KindDigest{
			Name:         name,
			Ratio:        float32(estimator.Ratio(name)),
			LogStdDev:    float32(math.Sqrt(kind.variance)),
			Observations: float32(min(kind.observations, maxDigestWeight)),
		}
		kind.runTimes.sketch.ForEach(func(value, count float64) bool {
			kindDigest.RunTimes = append(kindDigest.RunTimes, float32(value), float32(count))
			return len(kindDigest.RunTimes) >= 2*distributionBins
		})
		digest.Kinds = append(digest.Kinds, kindDigest)
	}
	// The kinds with the most observations matter most.
	slices.SortStableFunc(digest.Kinds, func(a, b KindDigest) int { return cmp.Compare(b.Observations, a.Observations) })
	digest.Kinds = digest.Kinds[:min(len(digest.Kinds), MaxDigestKinds)]
	for _, id := range slices.Sorted(maps.Keys(incarnations)) {
		upstream, exists := estimator.upstreams[id]
		if !exists || upstream.observations == 0 || len(digest.Upstreams) >= MaxDigestUpstreams {
			continue
		}
		digest.Upstreams = append(digest.Upstreams, UpstreamDigest{
			ID:           id,
			Incarnation:  incarnations[id],
			Speed:        float32(estimator.Speed(id)),
			Observations: float32(min(upstream.observations, maxDigestWeight)),
		})
	}
	return digest
}

// Adopt replaces what the Estimator knows by a digest that was made age ago. The older
// the digest, the less it weighs against later observations. incarnations holds the
// incarnations of the upstreams' processes by ID: an upstream that the receiver does not
// know, or that has another incarnation than in the digest, is skipped. Values out of
// range are skipped. Adopt reports whether the digest was used.
func (estimator *Estimator) Adopt(digest Digest, age time.Duration, incarnations map[string]int64) bool {
	if digest.Format != digestFormat || age < 0 {
		return false
	}
	weight := digestWeight(age)
	// With the mean deviation at 0, ratios and speeds are what the digest says.
	mean := estimator.meanDeviation()
	for _, upstream := range estimator.upstreams {
		upstream.logDeclaredSpeed += upstream.logDeviation - mean
		upstream.logDeviation = 0
	}
	for _, kind := range estimator.kinds {
		kind.logRatio -= mean
	}
	estimator.deviationSum = 0
	for _, kindDigest := range digest.Kinds[:min(len(digest.Kinds), MaxDigestKinds)] {
		estimator.adoptKind(kindDigest, weight)
	}
	for _, upstreamDigest := range digest.Upstreams[:min(len(digest.Upstreams), MaxDigestUpstreams)] {
		incarnation, known := incarnations[upstreamDigest.ID]
		sameProcess := known && (upstreamDigest.Incarnation == 0 || incarnation == 0 || upstreamDigest.Incarnation == incarnation)
		if !sameProcess || !validFactor(upstreamDigest.Speed) {
			continue
		}
		estimator.upstreams[upstreamDigest.ID] = &upstreamEstimate{
			logDeclaredSpeed: math.Log(float64(upstreamDigest.Speed)),
			observations:     weight * validCount(upstreamDigest.Observations),
		}
	}
	return true
}

// Age lowers the weight of all that the Estimator knows against later observations, by
// the time for which nothing was observed.
func (estimator *Estimator) Age(elapsed time.Duration) {
	weight := digestWeight(max(elapsed, 0))
	for _, upstream := range estimator.upstreams {
		upstream.observations *= weight
	}
	for _, kind := range estimator.kinds {
		kind.observations *= weight
		kind.runTimes.scale(weight)
	}
}

// digestWeight returns the weight of what was learned age ago.
func digestWeight(age time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(digestHalfLife))
}

func (estimator *Estimator) adoptKind(digest KindDigest, weight float64) {
	if !validFactor(digest.Ratio) || !(digest.LogStdDev >= 0 && digest.LogStdDev < maxLogResidual) {
		return
	}
	kind := &kindEstimate{
		logRatio:     math.Log(float64(digest.Ratio)),
		variance:     float64(digest.LogStdDev) * float64(digest.LogStdDev),
		observations: weight * validCount(digest.Observations),
		runTimes:     newDistribution(),
	}
	for i := 0; i+1 < len(digest.RunTimes) && i < 2*distributionBins; i += 2 {
		kind.runTimes.add(float64(digest.RunTimes[i]), weight*float64(digest.RunTimes[i+1]))
	}
	estimator.kinds[digest.Name] = kind
}

// validFactor reports whether a ratio or a speed is in the range of estimates.
func validFactor(factor float32) bool { return factor >= minFactor && factor <= maxFactor }

// validCount returns a number of observations limited to that for which a digest counts.
func validCount(count float32) float64 {
	if !(count > 0) {
		return 0
	}
	return min(float64(count), maxDigestWeight)
}
