package dispatcher

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/cell"
)

// Guards against cold upstreams that count as warm, and against a list that was read a while
// ago by a peer and makes them count as cold for longer.
func TestListedUpstreamsAreColdFromTheReading(t *testing.T) {
	loop := newEntryVMLoop(t)
	loop.adoptUpstreams([]cell.Upstream{
		{
			ID:      "cold",
			ColdFor: 3 * time.Second,
		},
		{
			ID: "warm",
		},
	}, 500*time.Millisecond)
	assert.Equal(t, loop.upstreams[0].ColdUntil, loop.now.Add(2500*time.Millisecond))
	assert.Assert(t, loop.upstreams[1].ColdUntil.IsZero())
}
