package link

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"tanagerfall/shared/connection/peer"
)

// Serve receives the messages of peers on listener until ctx ends.
func Serve(ctx context.Context, listener net.Listener, notify func(event Event)) error {
	server := drpcserver.NewWithOptions(receiver{
		notify: notify,
		origins: &origins{
			senders: make(map[string]origin),
		},
	}, drpcserver.Options{
		Manager: drpcmanager.Options{
			Reader: drpcwire.ReaderOptions{
				MaximumBufferSize: peer.MaxMessageBytes,
			},
		},
	})
	return eris.Wrap(server.Serve(ctx, listener), "serving links")
}

// receiver handles the streams of peers.
type receiver struct {
	notify  func(event Event)
	origins *origins
}

// HandleRPC receives the messages of one stream until it ends.
func (receiver receiver) HandleRPC(stream drpc.Stream, _ string) error {
	for {
		var message Message
		if err := stream.MsgRecv(&message, peer.Encoding{}); err != nil {
			return err
		}
		delay, accepted := receiver.origins.accept(time.Now(), message)
		if !accepted {
			return ErrReplaced
		}
		receiver.notify(Received{
			Message: message,
			Delay:   delay,
		})
	}
}

// origins holds what is known of the senders, by address. What a cut holds up
// arrives after it, on a stream that has been replaced or on one that goes on.
// Found as a process that scheduled beside another one, because an old
// heartbeat told that the other one did not, and as a job that was started for
// an entry VM that had given it to another scheduler.
type origins struct {
	mutex   sync.Mutex
	senders map[string]origin
}

// origin is one incarnation of a sender.
type origin struct {
	incarnation uint64
	// stream is the last one.
	stream uint64
	// base is the least difference between the time of arrival and the sender's
	// time.
	base time.Time
}

// accept returns by how much a message was delayed. It returns false where a
// later stream of the sender is known.
func (origins *origins) accept(now time.Time, message Message) (time.Duration, bool) {
	origins.mutex.Lock()
	defer origins.mutex.Unlock()
	held, known := origins.senders[message.From]
	sent := now.Add(-message.SenderUptime)
	if !known || held.incarnation != message.Incarnation {
		held = origin{
			incarnation: message.Incarnation,
			base:        sent,
		}
	}
	if message.Stream < held.stream {
		return 0, false
	}
	held.stream = message.Stream
	if sent.Before(held.base) {
		held.base = sent
	}
	origins.senders[message.From] = held
	return sent.Sub(held.base), true
}
