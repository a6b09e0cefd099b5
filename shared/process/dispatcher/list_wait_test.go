package dispatcher

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/connection/link"
	"tanagerfall/shared/connection/relay"
	"tanagerfall/shared/request/cell"
)

// answerPolls makes the upstreams answer immediate polls, and returns a function that handles
// the answers and returns how many starts were ordered so far.
func (loop *loop) answerPolls() (starts func() int) {
	ordered := 0
	loop.dispatcher.execute = func(order relay.Order, done func(cell.Event)) {
		switch {
		case order.Start != nil:
			ordered++
		case order.Poll != nil && order.Poll.Immediate:
			replied := cell.PollReplied{
				Immediate:   true,
				Incarnation: 1,
			}
			replied.Reply.Order = order.Poll.Order
			replied.Reply.Clock = 1000
			replied.Reply.SentAt = loop.now
			replied.Reply.ReceivedAt = loop.now
			done(replied)
		}
	}
	return func() int {
		for len(loop.dispatcher.events) > 0 {
			loop.handle(loop.now, <-loop.dispatcher.events)
		}
		return ordered
	}
}

// Guards against starts on upstreams that have drained for long: a process that reads the list
// once a minute begins to schedule, and the list that it has does not show the drains since.
func TestNewSchedulerWaitsForARecentList(t *testing.T) {
	const oldAge = 50 * time.Second
	for _, test := range []struct {
		name    string
		listAge time.Duration
		// events happen after the process has begun to schedule.
		events func(loop *loop)
		starts int
	}{
		{"recent list", maxFirstListAge, func(*loop) {}, 1},
		{"list is read", oldAge, func(loop *loop) { loop.readList(0, false) }, 1},
		{"drain is read", oldAge, func(loop *loop) { loop.readList(0, true) }, 0},
		{"read before the drain", oldAge, func(loop *loop) { loop.readList(maxFirstListAge+time.Millisecond, false) }, 0},
		{"drain is read by a peer", oldAge, func(loop *loop) { loop.receiveList(0, true) }, 0},
		{"list of a peer is held up", oldAge, func(loop *loop) { loop.receiveList(maxFirstListAge+time.Millisecond, false) }, 0},
		{"a read fails", oldAge, func(loop *loop) { loop.failReads(1) }, 0},
		{"platform out of reach", oldAge, func(loop *loop) { loop.failReads(unreadListAttempts) }, 1},
		{"platform out of reach before", oldAge, func(loop *loop) {
			loop.stepDown("test")
			loop.failReads(unreadListAttempts)
			loop.startScheduling()
		}, 1},
		{"no answer yet", oldAge, func(loop *loop) { loop.advance(maxListWait - 2*tickInterval) }, 0},
		{"no answer", oldAge, func(loop *loop) { loop.advance(maxListWait) }, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			loop := newSchedulerLoop(t)
			starts := loop.answerPolls()
			loop.stepDown("test")
			loop.listReadAt = loop.now.Add(-test.listAge)
			loop.startScheduling()
			loop.acceptCallerJob(jobAccepted{
				job: testFaultJob("j"),
			})
			assert.Equal(t, starts() > 0, test.listAge <= maxFirstListAge)
			test.events(loop)
			assert.Equal(t, starts(), test.starts)
		})
	}
}

// failReads handles reads of the list without an answer.
func (loop *loop) failReads(count int) {
	for range count {
		loop.handle(loop.now, upstreamsUnread{})
	}
}

// readList handles the present list as one whose read began some time ago.
func (loop *loop) readList(age time.Duration, isLeaving bool) {
	loop.handle(loop.now, upstreamsRead{
		upstreams: loop.listWith(isLeaving),
		readAt:    loop.now.Add(-age),
	})
}

// receiveList handles the present list as one that a peer has just read and sent with a delay.
func (loop *loop) receiveList(delay time.Duration, isLeaving bool) {
	loop.receiveDelayed(delay, link.Message{
		Upstreams: &link.UpstreamList{
			Upstreams: loop.listWith(isLeaving),
		},
	})
}

func (loop *loop) listWith(isLeaving bool) []cell.Upstream {
	upstream := loop.upstreams[0]
	upstream.Leaving = isLeaving
	return []cell.Upstream{upstream}
}
