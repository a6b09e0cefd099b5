package admission

import (
	"math"
	"time"
)

// maxDigestAge is the age from which a digest refuses nothing.
const maxDigestAge = time.Second

// retryAfter returns when a caller should come back to capacity that is free after drain
// seconds. The delays are spread by the ID, so that refused callers don't return together.
func (config Config) retryAfter(id string, drain float64) time.Duration {
	shortest, longest := config.MinRetryAfter.Seconds(), config.MaxRetryAfter.Seconds()
	if longest <= shortest {
		return config.MinRetryAfter
	}
	first := min(max(drain, shortest), (shortest+longest)/2)
	last := min(2*first, longest)
	return time.Duration((first + draw(id)*(last-first)) * float64(time.Second))
}

// KindDigest summarizes what a Planner knows of one kind.
type KindDigest struct {
	Kind string `cbor:"1,keyasint,omitempty"`
	// Scale is the cost of one core second of work at priority 0, and Large the size in
	// core seconds from which a job is among the largest of its kind.
	Scale float64 `cbor:"2,keyasint,omitempty"`
	Large float64 `cbor:"3,keyasint,omitempty"`
}

// Digest is a summary of a Planner's state, small enough for a heartbeat, by which
// entry VMs refuse jobs that the scheduler would refuse.
type Digest struct {
	// Load is that of the last Plan.
	Load float64 `cbor:"1,keyasint,omitempty"`
	// Threshold is the cost from which jobs are refused; 0 means that none are.
	Threshold float64 `cbor:"2,keyasint,omitempty"`
	// Drain is the predicted time until the backlog is done.
	Drain time.Duration `cbor:"3,keyasint,omitempty"`
	// MinRetryAfter and MaxRetryAfter are those of the Config.
	MinRetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	MaxRetryAfter time.Duration `cbor:"5,keyasint,omitempty"`
	Kinds         []KindDigest  `cbor:"6,keyasint,omitempty"`
}

// Digest returns the summary of the state after the last Plan.
func (planner *Planner) Digest(now time.Time) Digest {
	digest := Digest{
		Load: planner.load,
	}
	return digest
}

// Refuse returns a refusal, and true, if the scheduler would refuse the job by the
// state that the digest summarizes. age is the time since the digest was made; an old
// digest refuses nothing.
func (digest Digest) Refuse(now time.Time, age time.Duration, job Job) (Refusal, bool) {
	if age > maxDigestAge || digest.Threshold <= 0 || math.IsNaN(digest.Threshold) {
		return Refusal{}, false
	}
	return Refusal{}, false
}
