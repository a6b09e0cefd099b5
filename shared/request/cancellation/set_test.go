package cancellation

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a memory that grows with the cancellations, and against one that is
// kept alive for ever by processes that pass it to one another.
func TestSetIsBoundedInTimeAndNumber(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	set := NewSet(time.Minute, 3)
	for number := range 5 {
		assert.Assert(t, set.Add(now, Cancellation{
			JobID: fmt.Sprintf("j%d", number),
		}, number%2 == 0))
	}
	assert.Equal(t, set.Len(), 3)
	assert.Assert(t, !set.Contains("j1"))
	assert.Assert(t, set.Contains("j2"))
	assert.Equal(t, len(set.Since(now, 0, true)), 2)
	assert.Equal(t, len(set.Since(now, 0, false)), 3)
	assert.DeepEqual(t, set.Since(now, 4, true), []Cancellation{{
		JobID: "j4",
	}})
	assert.Equal(t, len(set.Since(now, 5, false)), 0)

	receiver := NewSet(time.Minute, 3)
	for _, cancellation := range set.Since(now.Add(59*time.Second), 0, false) {
		assert.Assert(t, receiver.Add(now.Add(59*time.Second), cancellation, false))
	}
	receiver.Expire(now.Add(time.Minute))
	assert.Equal(t, receiver.Len(), 0)
	set.Expire(now.Add(time.Minute))
	assert.Assert(t, !set.Contains("j4"))
}
