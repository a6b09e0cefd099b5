package dispatcher

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/cell"
)

// Load: about as much work as the upstreams can do, by which an overload begins and ends in
// each tick. Guards against reports of it in the place of the regular heartbeats, which alone
// carry the members and the estimates.
func TestOverloadReportsLeaveRegularHeartbeats(t *testing.T) {
	loop := newSchedulerLoop(t)
	loop.notifyCell(cell.JobSubmitted{
		EntryVM: loop.selfName(),
		Job: cell.Job{
			ID:      "j",
			Service: "orders",
			Steps: []cell.Step{{
				Count:    1,
				Estimate: 100 * time.Millisecond,
			}},
			Stretch:  1.6,
			TimeLeft: 2 * time.Second,
		},
	})
	assert.Equal(t, len(loop.cell.Loads()), 1)
	before := loop.membersSentAt
	for range int(2 * membersInterval / tickInterval) {
		loop.overloaded["orders"] = !loop.cell.Loads()["orders"].Overloaded
		loop.advance(tickInterval)
	}
	assert.Assert(t, loop.membersSentAt.After(before))
}
