package link

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcconn"

	"tanagerfall/shared/connection/peer"
)

const (
	// streamName is the only remote procedure.
	streamName = "link"
	// dialTimeout bounds a connection attempt. VMs of a region are a few ms
	// apart; one that does not answer within it is tried again.
	dialTimeout = 300 * time.Millisecond
	// minPause and maxPause bound the time between two connection attempts. At
	// 500 ms processes heard each other again up to 0.9 s after a partition.
	minPause = 50 * time.Millisecond
	maxPause = 150 * time.Millisecond
	// queueLength bounds the messages that wait for a stream. A peer that is
	// so far behind is given up, and what matters is repeated.
	queueLength = 4096
	// writeTimeout ends a stream whose peer takes nothing for that long.
	writeTimeout = time.Second
)

// ErrReplaced ends a stream whose sender has opened a later one.
var ErrReplaced = eris.New("the peer has opened a later stream")

// ErrReset is the reason of a stream whose peer takes messages too slowly.
var ErrReset = eris.New("messages wait for the peer")

// Event is something that happened to the links.
type Event interface{ isEvent() }

// The events.
type (
	// Received carries a message of a peer.
	Received struct {
		Message Message
		// Delay is how much longer the message was under way than the fastest
		// one of its sender, including its time in the sender's queue.
		Delay time.Duration
	}
	// Up tells that messages to a peer go out on a new stream.
	Up struct {
		Address string
	}
	// Down tells that the stream to a peer broke or could not be opened.
	Down struct {
		Address string
		Err     error
		// Refused is set where no process listens at the address.
		Refused bool
	}
)

func (Received) isEvent() {}
func (Up) isEvent()       {}
func (Down) isEvent()     {}

// Options are what Links are made of.
type Options struct {
	// Dial opens a TCP connection.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Notify is called with each event, from many goroutines.
	Notify func(event Event)
}

// Links holds the streams to peers. It is safe for concurrent use.
type Links struct {
	options Options
	mutex   sync.Mutex
	remotes map[string]*remote
	// streams numbers the streams to all peers, so that a peer can tell an
	// earlier one from a later one.
	streams atomic.Uint64
	created time.Time
}

type remote struct {
	address string
	queue   chan Message
	cancel  context.CancelFunc
	// reset ends the present stream.
	reset chan struct{}
}

// New returns Links without peers.
func New(options Options) *Links {
	return &Links{
		options: options,
		remotes: make(map[string]*remote),
		created: time.Now(),
	}
}

// Open keeps a stream to a peer open until ctx ends or Close. It does nothing
// for a peer that has one.
func (links *Links) Open(ctx context.Context, address string) {
	links.mutex.Lock()
	defer links.mutex.Unlock()
	if _, known := links.remotes[address]; known {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	opened := &remote{
		address: address,
		queue:   make(chan Message, queueLength),
		cancel:  cancel,
		reset:   make(chan struct{}, 1),
	}
	links.remotes[address] = opened
	go links.run(ctx, opened)
}

// Close ends the stream to a peer and opens no other.
func (links *Links) Close(address string) {
	links.mutex.Lock()
	defer links.mutex.Unlock()
	if closed, known := links.remotes[address]; known {
		closed.cancel()
		delete(links.remotes, address)
	}
}

// Reset replaces the stream to a peer by a new one: one that went silent
// does not recover.
func (links *Links) Reset(address string) {
	links.mutex.Lock()
	defer links.mutex.Unlock()
	if held, known := links.remotes[address]; known {
		held.restart()
	}
}

func (remote *remote) restart() {
	select {
	case remote.reset <- struct{}{}:
	default:
	}
}

// Send queues a message for a peer. It never blocks: a message that finds the
// queue full is lost together with the stream.
func (links *Links) Send(address string, message Message) {
	links.mutex.Lock()
	to, known := links.remotes[address]
	links.mutex.Unlock()
	if !known {
		return
	}
	message.SenderUptime = time.Since(links.created)
	select {
	case to.queue <- message:
	default:
		to.restart()
	}
}

func (links *Links) run(ctx context.Context, to *remote) {
	pause := minPause
	for ctx.Err() == nil {
		opened, err := links.serve(ctx, to)
		if ctx.Err() != nil {
			return
		}
		links.options.Notify(Down{
			Address: to.address,
			Err:     err,
			Refused: !opened && refused(err),
		})
		to.drain()
		if opened {
			pause = minPause
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		pause = min(2*pause, maxPause)
	}
}

// drain drops the messages for a stream that broke.
func (remote *remote) drain() {
	for {
		select {
		case <-remote.queue:
		case <-remote.reset:
		default:
			return
		}
	}
}

// serve opens one stream and sends on it until it breaks.
func (links *Links) serve(ctx context.Context, to *remote) (bool, error) {
	dialled, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := links.options.Dial(dialled, to.address)
	if err != nil {
		return false, err
	}
	timed := &timedConn{
		Conn: raw,
	}
	conn := drpcconn.New(timed)
	defer conn.Close()
	stream, err := conn.NewStream(ctx, streamName, peer.Encoding{})
	if err != nil {
		return false, err
	}
	links.options.Notify(Up{
		Address: to.address,
	})
	number := links.streams.Add(1)
	for {
		select {
		case <-ctx.Done():
			return true, ctx.Err()
		case <-conn.Closed():
			return true, eris.New("closed by the peer")
		case <-to.reset:
			return true, ErrReset
		case message := <-to.queue:
			message.Stream = number
			if err := stream.MsgSend(&message, peer.Encoding{}); err != nil {
				return true, err
			}
		}
	}
}

// timedConn fails writes that a peer does not take in time.
type timedConn struct {
	net.Conn
}

// Write writes within writeTimeout.
func (conn *timedConn) Write(data []byte) (int, error) {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return conn.Conn.Write(data)
}
