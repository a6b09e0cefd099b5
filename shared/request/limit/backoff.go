package limit

import (
	"math/rand/v2"
	"time"
)

// maxDoublings bounds the exponent so that the delay doesn't overflow.
const maxDoublings = 20

// Backoff computes exponential backoff with full jitter: each delay is uniformly
// distributed between zero and a bound that doubles with each retry, so that tasks
// that failed at the same time aren't retried at the same time.
type Backoff struct {
	// Base is the bound of the delay before the first retry.
	Base time.Duration
	// Max is the upper limit of the bound.
	Max time.Duration
}

// Bound returns the longest delay before the given retry. Retries are counted from 0.
func (backoff Backoff) Bound(retry int) time.Duration {
	bound := backoff.Base << min(max(retry, 0), maxDoublings)
	return min(bound, backoff.Max)
}

// Delay returns a random delay before the given retry, in [0, Bound(retry)].
func (backoff Backoff) Delay(retry int, random *rand.Rand) time.Duration {
	return time.Duration(random.Int64N(int64(backoff.Bound(retry)) + 1))
}
