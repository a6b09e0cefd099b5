package link

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
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
	delay, _ := senders.accept(receivedAt, Message{
		From:         "10.0.0.2:1",
		SenderUptime: time.Duration(clock.rate*float64(sentAt.Sub(clock.startedAt))) - clock.lost,
	})
	return delay
}

func newSenders() *senders {
	return &senders{
		byAddress: make(map[string]sender),
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
