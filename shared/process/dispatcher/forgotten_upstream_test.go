package dispatcher

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/cell"
)

// Guards against polls that verify a job although its run may be on an upstream that this
// process has forgotten: the set with that upstream counts as known for longer.
func TestSetWithAForgottenUpstreamIsNotCovered(t *testing.T) {
	loop := newEntryVMLoop(t)
	read := func(ids ...string) {
		var upstreams []cell.Upstream
		for _, id := range ids {
			upstreams = append(upstreams, cell.Upstream{
				ID:      id,
				Service: "orders",
			})
		}
		loop.adoptUpstreams(upstreams, 0)
	}
	read("u1", "u2")
	withBoth := []uint64{loop.knownUpstreams.listed}
	read("u1")
	removedAt := loop.now
	// The list is read every 1.5 s, as by a standby.
	for loop.now.Sub(removedAt) < 20*time.Second {
		loop.now = loop.now.Add(1500 * time.Millisecond)
		read("u1")
		for offset := time.Duration(0); offset < 1500*time.Millisecond; offset += 100 * time.Millisecond {
			if loop.knownUpstreams.covers(loop.now.Add(offset), withBoth) {
				assert.Equal(t, len(loop.upstreams), 2, "u2 was forgotten, %v after it left the list", loop.now.Add(offset).Sub(removedAt))
			}
		}
	}
}
