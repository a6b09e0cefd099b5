package link

import "sync/atomic"

// messageQueue holds the messages for one stream.
type messageQueue struct {
	messages chan *Message
	bytes    atomic.Int64
}

func newMessageQueue() *messageQueue {
	return &messageQueue{
		messages: make(chan *Message, maxQueuedMessages),
	}
}

// messageBytes is the memory of a message beside the texts in it.
const messageBytes = 512

// memoryCost returns the approximate memory of a message whose size depends on callers.
func (message *Message) memoryCost() int64 {
	cost := int64(messageBytes)
	if message.Submit != nil {
		cost += message.Submit.MemoryCost()
	}
	if message.Orders != nil {
		for _, spec := range message.Orders.Specs {
			cost += int64(len(spec))
		}
		cost += messageBytes * int64(len(message.Orders.Orders))
	}
	return cost
}

// add queues a message, and reports whether there was room. A maxBytes of 0 means no
// bound. An empty queue takes any message.
func (queue *messageQueue) add(message *Message, maxBytes int64) bool {
	cost := message.memoryCost()
	if queued := queue.bytes.Add(cost); maxBytes > 0 && queued > maxBytes && queued != cost {
		queue.bytes.Add(-cost)
		return false
	}
	select {
	case queue.messages <- message:
		return true
	default:
		queue.bytes.Add(-cost)
		return false
	}
}

// removed records that a message was taken from the queue.
func (queue *messageQueue) removed(message *Message) { queue.bytes.Add(-message.memoryCost()) }

// discard removes the messages that a stream has not sent.
func (queue *messageQueue) discard() {
	for {
		select {
		case message := <-queue.messages:
			queue.removed(message)
		default:
			return
		}
	}
}
