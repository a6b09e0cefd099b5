package link

import (
	"io"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"storj.io/drpc"
)

// uptimeClock is the clock of a sender that started with the test. It may run slow, or
// lack the time of a suspension.
type uptimeClock struct {
	startedAt time.Time
	rate      float64
	lost      time.Duration
}

// accept returns the delay of a message that was sent at one time and arrives at another.
func (clock *uptimeClock) accept(senders *senders, sentAt, receivedAt time.Time) time.Duration {
	delay, _ := senders.at("10.0.0.2:1").accept(receivedAt, Message{
		From:         "10.0.0.2:1",
		SenderUptime: time.Duration(clock.rate*float64(sentAt.Sub(clock.startedAt))) - clock.lost,
	})
	return delay
}

func newSenders() *senders {
	return &senders{
		byAddress: make(map[string]*addressSenders),
	}
}

const messageInterval = 200 * time.Millisecond

// Guards against messages that count as delayed because the clock of their sender is
// slower than that of the receiver: with 100 ppm by 0.6 s after 100 minutes. From then
// on the receiver ignored the sender until that restarted.
func TestDelayFollowsAnotherClockRate(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	senders := newSenders()
	clock := &uptimeClock{
		startedAt: now,
		rate:      1 - 100e-6,
	}
	for end := now.Add(3 * time.Hour); now.Before(end); now = now.Add(messageInterval) {
		delay := clock.accept(senders, now, now)
		assert.Assert(t, delay < 10*time.Millisecond, "delay is %v", delay)
	}
}

// Guards against a VM whose messages are ignored for good after it was suspended,
// because its clock does not count the suspension.
func TestDelayRecoversAfterASuspension(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	senders := newSenders()
	clock := &uptimeClock{
		startedAt: now,
		rate:      1,
	}
	clock.accept(senders, now, now)
	clock.lost = 5 * time.Second
	now = now.Add(clock.lost)
	assert.Equal(t, clock.accept(senders, now, now), clock.lost)
	for end := now.Add(2*startWindow + time.Second); now.Before(end); now = now.Add(messageInterval) {
		clock.accept(senders, now, now)
	}
	assert.Equal(t, clock.accept(senders, now, now), time.Duration(0))
}

// Guards against messages that a long partition held up and that count as fresh, because
// the estimate from before the partition was discarded.
func TestMessagesOfALongPartitionAreDelayed(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	senders := newSenders()
	clock := &uptimeClock{
		startedAt: now,
		rate:      1,
	}
	for range 100 {
		clock.accept(senders, now, now)
		now = now.Add(messageInterval)
	}
	end := now.Add(4 * startWindow)
	for sentAt := now; sentAt.Before(end); sentAt = sentAt.Add(messageInterval) {
		assert.Equal(t, clock.accept(senders, sentAt, end), end.Sub(sentAt))
	}
	assert.Equal(t, clock.accept(senders, end, end), time.Duration(0))
}

// Guards against acting on what an earlier process at an address has sent, read from a
// socket after a message of the process that replaced it: with another incarnation the
// message counted as the first of a new process, and so as not delayed.
func TestMessagesOfAReplacedProcessAreDropped(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	inbox := NewInbox()
	message := func(incarnation, stream uint64, uptime time.Duration) Message {
		return Message{
			From:         "10.0.0.2:1",
			Incarnation:  incarnation,
			Stream:       stream,
			SenderUptime: uptime,
		}
	}
	_, accepted := inbox.Accept(now, message(1, 5, time.Minute))
	assert.Assert(t, accepted)
	now = now.Add(2 * time.Second)
	_, accepted = inbox.Accept(now, message(2, 1, time.Second))
	assert.Assert(t, accepted)
	_, accepted = inbox.Accept(now, message(1, 5, time.Minute))
	assert.Assert(t, !accepted, "a message of the replaced process")
	_, accepted = inbox.Accept(now, message(2, 1, time.Second))
	assert.Assert(t, accepted, "a message of the present process")
	now = now.Add(time.Second)
	_, accepted = inbox.Accept(now, message(1, 5, time.Minute+3*time.Second))
	assert.Assert(t, accepted, "a process that still sends was not replaced")
}

// messageStream is a stream that carries one message.
type messageStream struct {
	drpc.Stream
	message *Message
}

// MsgRecv returns the message of the stream and then its end.
func (stream *messageStream) MsgRecv(received drpc.Message, _ drpc.Encoding) error {
	if stream.message == nil {
		return io.EOF
	}
	*received.(*Message) = *stream.message
	stream.message = nil
	return nil
}

// Guards against a message of a replaced stream that is handled after those of the later
// stream, because its goroutine had to wait between the check and the delivery: a job that
// was submitted on the first stream was started after its refusal on the second.
func TestMessagesOfASenderAreDeliveredInOrder(t *testing.T) {
	var delivered []uint64
	var mutex sync.Mutex
	waiting := make(chan struct{})
	release := make(chan struct{})
	receiver := receiver{
		inbox: NewInbox(),
		notify: func(event Event) {
			stream := event.(Received).Message.Stream
			if stream == 1 {
				close(waiting)
				<-release
			}
			mutex.Lock()
			defer mutex.Unlock()
			delivered = append(delivered, stream)
		},
	}
	var streams sync.WaitGroup
	receive := func(number uint64) {
		streams.Go(func() {
			_ = receiver.HandleRPC(&messageStream{
				message: &Message{
					From:   "10.0.0.2:1",
					Stream: number,
				},
			}, rpcName)
		})
	}
	receive(1)
	<-waiting
	receive(2)
	time.Sleep(50 * time.Millisecond)
	close(release)
	streams.Wait()
	assert.DeepEqual(t, delivered, []uint64{1, 2})
}

// Guards against an answer that is dropped although its sender has not been replaced: a
// message of an earlier process at the address, which was never heard before, arrives late.
func TestMessageOfAnUnknownEarlierProcessReplacesNobody(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	inbox := NewInbox()
	present := func(uptime time.Duration) Message {
		return Message{
			From:         "10.0.0.2:1",
			Incarnation:  2,
			Stream:       1,
			SenderUptime: uptime,
		}
	}
	_, accepted := inbox.Accept(now, present(0))
	assert.Assert(t, accepted)
	_, accepted = inbox.Accept(now.Add(time.Second), present(time.Second))
	assert.Assert(t, accepted)
	inbox.Accept(now.Add(1500*time.Millisecond), Message{
		From:         "10.0.0.2:1",
		Incarnation:  1,
		Stream:       9,
		SenderUptime: time.Hour,
	})
	// This one was sent a moment before and arrives a moment after.
	_, accepted = inbox.Accept(now.Add(1501*time.Millisecond), present(1499*time.Millisecond))
	assert.Assert(t, accepted, "a message of the present process is dropped")
}
