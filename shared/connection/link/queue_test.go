package link

import (
	"context"
	"net"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/cell"
)

// Guards against a queue to a slow peer that takes as much memory as 4,096 of the largest
// jobs. What is removed makes room again.
func TestQueueIsBoundedInBytes(t *testing.T) {
	queue := newMessageQueue()
	message := &Message{
		Submit: &cell.Job{
			Spec: strings.Repeat("x", 4000),
		},
	}
	maxBytes := 10 * message.memoryCost()
	for range 10 {
		assert.Assert(t, queue.add(message, maxBytes))
	}
	assert.Assert(t, !queue.add(message, maxBytes))
	queue.removed(<-queue.messages)
	assert.Assert(t, queue.add(message, maxBytes))
	queue.discard()
	assert.Equal(t, queue.bytes.Load(), int64(0))
	assert.Assert(t, queue.add(message, 1), "an empty queue takes any message")
}

// Guards against a bound that the links do not apply: a peer that can't be reached gets
// what is queued for it when it is back.
func TestLinksBoundTheirQueues(t *testing.T) {
	const address = "10.0.0.1:1"
	const maxBytes = 100_000
	links := New(Options{
		Dial: func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		},
		Notify:         func(Event) {},
		MaxQueuedBytes: maxBytes,
	})
	links.Open(t.Context(), address)
	for range 100 {
		links.Send(address, Message{
			Submit: &cell.Job{
				Spec: strings.Repeat("x", 4000),
			},
		})
	}
	links.mutex.Lock()
	defer links.mutex.Unlock()
	queued := links.peerLinks[address].queue.bytes.Load()
	assert.Assert(t, queued > maxBytes/2 && queued <= maxBytes, "%d bytes", queued)
}
