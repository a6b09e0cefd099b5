package link

import (
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
