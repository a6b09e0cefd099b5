package dispatcher

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/connection/link"
	"tanagerfall/shared/version/region"
)

// resetCounter counts the streams that are reset.
type resetCounter int

func (*resetCounter) Open(context.Context, string) {}
func (*resetCounter) Close(string)                 {}
func (*resetCounter) Send(string, link.Message)    {}
func (counter *resetCounter) Reset(string)         { *counter++ }

// Guards against jobs that never reach the scheduler, although its heartbeats arrive: the
// stream to it is silent for good and does not break.
func TestSilentStreamIsReplaced(t *testing.T) {
	loop := newEntryVMLoop(t)
	resets := new(resetCounter)
	loop.dispatcher.links = resets
	receive := func(unheard bool) {
		loop.handleHeartbeat(region.Heartbeat{
			Member: region.Member{
				Address: schedulerAddress,
			},
			ActiveFor: unheardInterval,
			Interval:  region.MinHeartbeatInterval,
			Unheard:   unheard,
		}, 0)
	}
	receive(true)
	assert.Equal(t, int(*resets), 0, "the peer may not have heard a new process yet")
	loop.now = loop.now.Add(unheardInterval)
	receive(false)
	assert.Equal(t, int(*resets), 0)
	receive(true)
	receive(true)
	assert.Equal(t, int(*resets), 1)
}

// Guards against two processes that never hear each other again: the streams between them
// are silent in both directions and do not break.
func TestStreamToASilentPeerIsReplaced(t *testing.T) {
	loop := newEntryVMLoop(t)
	resets := new(resetCounter)
	loop.dispatcher.links = resets
	loop.view = region.New(loop.now, loop.view.Self())
	hear := func() {
		loop.handleHeartbeat(region.Heartbeat{
			Member: region.Member{
				Address: schedulerAddress,
			},
			Interval: region.MinHeartbeatInterval,
		}, 0)
	}
	for range 15 {
		hear()
		loop.advance(region.MinHeartbeatInterval)
	}
	assert.Equal(t, int(*resets), 0)
	loop.leader = ""
	loop.advance(3 * silentInterval)
	assert.Assert(t, *resets >= 2 && *resets <= 3, "%d resets", *resets)
}
