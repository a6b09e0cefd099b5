package limit

import (
	"math/rand/v2"
	"time"
)

// maxDoublings bounds the exponent, so that the delay does not overflow.
const maxDoublings = 20

// Backoff gives exponentially growing delays with full jitter: the delay is
// uniform between zero and the bound, so that tasks which failed together do
// not come back together.
type Backoff struct {
	// Base bounds the delay before the first retry.
	Base time.Duration
	// Max bounds all delays.
	Max time.Duration
}

// Bound returns the longest delay before the given retry; the first retry is
// number 0.
func (backoff Backoff) Bound(retry int) time.Duration {
	bound := backoff.Base << min(max(retry, 0), maxDoublings)
	return min(bound, backoff.Max)
}

// Delay returns a random delay before the given retry, in [0, Bound(retry)].
func (backoff Backoff) Delay(retry int, random *rand.Rand) time.Duration {
	return time.Duration(random.Int64N(int64(backoff.Bound(retry)) + 1))
}
