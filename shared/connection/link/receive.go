package link

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"tanagerfall/shared/connection/peer"
)

// Serve accepts the streams of peers on listener until ctx ends, then returns
// nil. The error of a failed listener is returned. Serve calls notify with a
// Received for each message, concurrently for different streams. A stream whose
// sender has opened a later one ends with ErrReplaced.
func Serve(ctx context.Context, listener net.Listener, notify func(event Event)) error {
	server := drpcserver.NewWithOptions(receiver{
		notify: notify,
		inbox:  NewInbox(),
	}, drpcserver.Options{
		Manager: drpcmanager.Options{
			Reader: drpcwire.ReaderOptions{
				MaximumBufferSize: peer.MaxMessageBytes,
			},
		},
	})
	return eris.Wrap(server.Serve(ctx, listener), "serving links")
}

// receiver is the drpc handler for the streams of peers.
type receiver struct {
	notify func(event Event)
	inbox  *Inbox
}

// HandleRPC receives the messages of one stream until the stream ends or is
// replaced by a later one of the same sender.
func (receiver receiver) HandleRPC(stream drpc.Stream, _ string) error {
	for {
		var message Message
		if err := stream.MsgRecv(&message, peer.Encoding{}); err != nil {
			return err
		}
		if !receiver.inbox.deliver(time.Now(), message, receiver.notify) {
			return ErrReplaced
		}
	}
}

// Inbox computes the delays of the messages that a process receives, and recognises
// those of replaced streams. It is safe for concurrent use.
type Inbox struct {
	senders senders
}

// NewInbox returns an Inbox that has received no messages.
func NewInbox() *Inbox {
	return &Inbox{
		senders: senders{
			byAddress: make(map[string]*addressSenders),
		},
	}
}

// Accept returns the event for a message that arrives, or false if its sender has sent
// one on a later stream, or if another process has replaced its sender.
func (inbox *Inbox) Accept(now time.Time, message Message) (Received, bool) {
	var event Received
	accepted := inbox.deliver(now, message, func(received Event) { event = received.(Received) })
	return event, accepted
}

// deliver passes the event for a message that arrives to notify, unless Accept returns
// false for it. The events of an address are passed on in the order of their streams.
func (inbox *Inbox) deliver(now time.Time, message Message, notify func(event Event)) bool {
	atAddress := inbox.senders.at(message.From)
	atAddress.mutex.Lock()
	defer atAddress.mutex.Unlock()
	delay, accepted := atAddress.accept(now, message)
	if accepted {
		notify(Received{
			Message:    message,
			Delay:      delay,
			ReceivedAt: now,
		})
	}
	return accepted
}

// senders detects outdated messages. Messages that a partition holds up arrive
// when it ends, on a stream that has been replaced or on one that continues.
// Acting on them caused two faults: a process scheduled beside another one,
// because an old heartbeat reported that the other did not schedule; and a job
// was started for an entry VM that had since submitted it to another scheduler.
type senders struct {
	mutex     sync.Mutex
	byAddress map[string]*addressSenders
}

// at returns the senders at an address.
func (senders *senders) at(address string) *addressSenders {
	senders.mutex.Lock()
	defer senders.mutex.Unlock()
	atAddress, known := senders.byAddress[address]
	if !known {
		atAddress = &addressSenders{}
		senders.byAddress[address] = atAddress
	}
	return atAddress
}

// addressSenders holds the processes that were heard at an address.
type addressSenders struct {
	mutex sync.Mutex
	// processes holds the present process first, which is present since then.
	processes    []*sender
	presentSince time.Time
}

// maxProcesses is the number of processes that are remembered for an address. The
// messages of more than one earlier process can wait in the sockets of a VM that stood
// still.
const maxProcesses = 4

// replacedMargin is less than the time that a process needs to start. The messages of a process
// and of the one before may arrive in any order within it.
const replacedMargin = 50 * time.Millisecond

// sender is the state kept of one incarnation of a peer.
type sender struct {
	incarnation uint64
	// latestStream is the highest stream number received.
	latestStream uint64
	// earliestStart is the earliest estimate, on the receiver's clock, of the
	// time when the sender started: the one from the fastest message since windowStart.
	// previousStart is that of the window before.
	earliestStart time.Time
	previousStart time.Time
	windowStart   time.Time
}

// startWindow is the length of a window. The clocks of two VMs differ by up to 100 ppm,
// and that of a VM that was suspended does not count the suspension. With the estimate
// of the fastest message ever, all messages of such a VM would be outdated in the end.
const startWindow = 30 * time.Second

// observe updates the estimates by that of a message, and returns the delay of the
// message. A window ends with the first message after it, so that the estimate from
// before a partition is valid for the messages that the partition held up.
func (sender *sender) observe(now, start time.Time) time.Duration {
	if now.Sub(sender.windowStart) > startWindow {
		sender.previousStart = sender.earliestStart
		sender.earliestStart = start
		sender.windowStart = now
	}
	if start.Before(sender.earliestStart) {
		sender.earliestStart = start
	}
	earliest := sender.earliestStart
	if sender.previousStart.Before(earliest) {
		earliest = sender.previousStart
	}
	return start.Sub(earliest)
}

// accept returns the delay of a message, as defined by Received. It returns
// false if a message of a later stream of the sender has been received before, or
// if the message was sent before another process at the address was first heard.
func (atAddress *addressSenders) accept(now time.Time, message Message) (time.Duration, bool) {
	start := now.Add(-message.SenderUptime)
	index := slices.IndexFunc(atAddress.processes, func(other *sender) bool { return other.incarnation == message.Incarnation })
	if index < 0 {
		atAddress.setPresent(now, &sender{
			incarnation:   message.Incarnation,
			earliestStart: start,
			previousStart: start,
			windowStart:   now,
		})
		index = 0
	}
	process := atAddress.processes[index]
	if message.Stream < process.latestStream {
		return 0, false
	}
	delay := process.observe(now, start)
	if index > 0 {
		if now.Add(replacedMargin - delay).Before(atAddress.presentSince) {
			return 0, false
		}
		// The process still sends, so the other one was heard late.
		atAddress.processes = slices.Delete(atAddress.processes, index, index+1)
		atAddress.setPresent(now, process)
	}
	process.latestStream = message.Stream
	return delay, true
}

// setPresent makes a process the present one at the address.
func (atAddress *addressSenders) setPresent(now time.Time, process *sender) {
	atAddress.processes = slices.Insert(atAddress.processes, 0, process)
	atAddress.processes = atAddress.processes[:min(len(atAddress.processes), maxProcesses)]
	atAddress.presentSince = now
}
