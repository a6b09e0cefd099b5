package admission

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxDigestAge is the age from which a digest refuses nothing.
	maxDigestAge = time.Second
	// digestMargin is how much a job has to exceed the threshold, and ageMargin how much
	// more for each second of age: a digest knows the state as it was, and a refusal by
	// it has to agree with the scheduler.
	digestMargin = 1.25
	ageMargin    = 0.5
	// minFullShare is the share of time in which jobs have to wait before a digest
	// refuses any.
	minFullShare = 0.9
	// maxDigestKinds bounds the kinds of a digest to those refused last.
	maxDigestKinds = 24
)

// KindDigest summarizes what a Planner knows of one kind.
type KindDigest struct {
	Kind string `cbor:"1,keyasint,omitempty"`
	// Mean and Large are the mean size in core seconds at speed 1 and that from which a
	// job is among the largest tenth.
	Mean  float64 `cbor:"2,keyasint,omitempty"`
	Large float64 `cbor:"3,keyasint,omitempty"`
	// Served is the share of jobs completed on time, and Factor the factor of the cost
	// that follows from it.
	Served float64 `cbor:"4,keyasint,omitempty"`
	Factor float64 `cbor:"5,keyasint,omitempty"`
}

// Digest is a summary of a Planner's state, small enough for a heartbeat, by which
// entry VMs refuse jobs that the scheduler would refuse.
type Digest struct {
	// Load is that of the last Plan.
	Load float64 `cbor:"1,keyasint,omitempty"`
	// Threshold is the cost from which new jobs are refused; 0 means that none are.
	Threshold float64 `cbor:"2,keyasint,omitempty"`
	// Drain is the predicted time until the backlog is done, at most MaxRetryAfter.
	Drain         time.Duration `cbor:"3,keyasint,omitempty"`
	MinRetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	MaxRetryAfter time.Duration `cbor:"5,keyasint,omitempty"`
	// DomainFactor is the lowest factor of the cost for a failure domain.
	DomainFactor float64 `cbor:"6,keyasint,omitempty"`
	// Full says that capacity was hardly ever free, so that new jobs wait.
	Full bool `cbor:"7,keyasint,omitempty"`
	// Kinds holds the kinds of which jobs were refused lately, by name.
	Kinds []KindDigest `cbor:"8,keyasint,omitempty"`
	// Excess is how long more work has arrived than the capacity.
	Excess time.Duration `cbor:"9,keyasint,omitempty"`
}

// Digest returns the summary of the state after the last Plan, or an empty one if no jobs
// have waited since.
func (planner *Planner) Digest(now time.Time) Digest {
	// While jobs wait, rounds follow each other more closely.
	if now.Sub(planner.plannedAt) > weightTime {
		return Digest{}
	}
	digest := Digest{
		Load: planner.load,
	}
	if planner.fullShare < minFullShare {
		return digest
	}
	digest.Threshold = planner.threshold
	digest.Drain = time.Duration(min(planner.drain, planner.config.MaxRetryAfter.Seconds()) * float64(time.Second))
	digest.Excess = time.Duration(planner.excess * float64(time.Second))
	digest.MinRetryAfter = planner.config.MinRetryAfter
	digest.MaxRetryAfter = planner.config.MaxRetryAfter
	digest.Full = true
	digest.DomainFactor = 1
	for _, domain := range planner.domains {
		digest.DomainFactor = min(digest.DomainFactor, domain.factor)
	}
	names := make([]string, 0, len(planner.kinds))
	for name, kind := range planner.kinds {
		if now.Sub(kind.refusedAt) < maxDigestAge {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(planner.kinds[b].refusedAt.Compare(planner.kinds[a].refusedAt), cmp.Compare(a, b))
	})
	names = names[:min(len(names), maxDigestKinds)]
	slices.Sort(names)
	for _, name := range names {
		kind := planner.kinds[name]
		digest.Kinds = append(digest.Kinds, KindDigest{
			Kind:   name,
			Mean:   kind.mean,
			Large:  kind.large,
			Served: kind.served.value(),
			Factor: kind.served.factor,
		})
	}
	return digest
}

// Refuse returns a refusal, and true, if the scheduler would refuse the job by the
// state that the digest summarizes. age is the time since the digest was made; an old
// digest refuses nothing.
func (digest Digest) Refuse(now time.Time, age time.Duration, job Job) (Refusal, bool) {
	if !digest.Full || age > maxDigestAge || job.Started {
		return Refusal{}, false
	}
	i, found := slices.BinarySearchFunc(digest.Kinds, job.Kind, func(kind KindDigest, name string) int {
		return cmp.Compare(kind.Kind, name)
	})
	if !found {
		return Refusal{}, false
	}
	if onTimePersistence*digest.Excess < job.WorthlessAt.Sub(now) {
		// The scheduler would let the job wait for the end of the excess.
		return Refusal{}, false
	}
	config := Config{
		MinRetryAfter: digest.MinRetryAfter,
		MaxRetryAfter: digest.MaxRetryAfter,
	}
	kind := digest.Kinds[i]
	cost := (1 + priorityStep*float64(job.Priority)) * digest.DomainFactor * kind.Factor *
		relativeSize(job.ID, job.work(), kind.Mean, kind.Large, kind.Served)
	if digest.Threshold == 0 || cost < (digestMargin+ageMargin*age.Seconds())*digest.Threshold {
		return Refusal{}, false
	}
	return Refusal{
		ID:         job.ID,
		Reason:     ReasonOverload,
		RetryAfter: config.retryAfter(job.ID, digest.Drain.Seconds()),
	}, true
}

// retryAfter returns when a caller should come back if the backlog is done after drain
// seconds. It answers callers that come back: the delays are spread by the ID, so that
// they don't come together.
func (config Config) retryAfter(id string, drain float64) time.Duration {
	shortest, longest := config.MinRetryAfter.Seconds(), config.MaxRetryAfter.Seconds()
	if longest <= shortest {
		return config.MinRetryAfter
	}
	first := min(max(drain, shortest), (shortest+longest)/2)
	last := min(2*first, longest)
	return time.Duration((first + draw(id)*(last-first)) * float64(time.Second))
}
