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
	// rpcName is the name of the only remote procedure.
	rpcName = "link"
	// dialTimeout bounds a connection attempt; a failed attempt is repeated. The
	// VMs of a region are a few ms apart.
	dialTimeout = 300 * time.Millisecond
	// minReconnectDelay and maxReconnectDelay bound the backoff between two
	// connection attempts. At a maximum of 500 ms, processes were reconnected up
	// to 0.9 s after a partition.
	minReconnectDelay = 50 * time.Millisecond
	maxReconnectDelay = 150 * time.Millisecond
	// maxQueuedMessages bounds the messages queued for a peer. If the queue
	// overflows, the stream is replaced and the queue discarded; the sender
	// repeats what is still relevant.
	maxQueuedMessages = 4096
	// writeTimeout ends a stream whose peer accepts no data for that long.
	writeTimeout = time.Second
)

// ErrReplaced ends a received stream whose sender has opened a later one.
var ErrReplaced = eris.New("the peer has opened a later stream")

// ErrReset ends a stream to a peer after a call of Reset or an overflow of the
// queue.
var ErrReset = eris.New("stream reset: message queue full or peer silent")

// Event reports a received message or a change of a stream: Received, Up or Down.
type Event interface{ isEvent() }

// The events.
type (
	// Received carries a message of a peer.
	Received struct {
		Message Message
		// Delay is how much longer the message was in transit than the fastest one
		// of its sender lately. It includes the time in the sender's queue.
		Delay      time.Duration
		ReceivedAt time.Time
	}
	// Up reports a new stream to a peer, on which messages are sent from now on.
	Up struct {
		Address string
	}
	// Down reports that the stream to a peer broke or could not be opened. Links
	// tries to open another one.
	Down struct {
		Address string
		Err     error
		// Refused is set if the connection was refused, so that no process listens
		// at the address.
		Refused bool
	}
)

func (Received) isEvent() {}
func (Up) isEvent()       {}
func (Down) isEvent()     {}

// Options holds the parameters of Links.
type Options struct {
	// Dial opens a TCP connection.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Notify is called with each event, concurrently from many goroutines.
	Notify func(event Event)
	// MaxQueuedBytes bounds the memory of the messages queued for a peer, as
	// maxQueuedMessages bounds their number; 0 means no bound.
	MaxQueuedBytes int64
}

// Links maintains one stream to each peer. It is safe for concurrent use.
type Links struct {
	options Options
	mutex   sync.Mutex
	// peerLinks holds the open links by address.
	peerLinks map[string]*peerLink
	// lastStream counts the streams to all peers. The numbers let a receiver
	// recognise messages of a replaced stream.
	lastStream atomic.Uint64
	createdAt  time.Time
}

// peerLink is the outgoing side of the connection to one peer.
type peerLink struct {
	address string
	// queue holds the messages for the current stream, or for the next one after Reset.
	// It is replaced under the mutex of Links.
	queue *messageQueue
	// cancel ends the link.
	cancel context.CancelFunc
	// reset ends the current stream.
	reset chan struct{}
}

// New returns Links without peers.
func New(options Options) *Links {
	return &Links{
		options:   options,
		peerLinks: make(map[string]*peerLink),
		createdAt: time.Now(),
	}
}

// Open maintains a stream to a peer until ctx ends or Close is called, and
// reconnects after failures. It does nothing if the peer is open already.
func (links *Links) Open(ctx context.Context, address string) {
	links.mutex.Lock()
	defer links.mutex.Unlock()
	if _, ok := links.peerLinks[address]; ok {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	opened := &peerLink{
		address: address,
		queue:   newMessageQueue(),
		cancel:  cancel,
		reset:   make(chan struct{}, 1),
	}
	links.peerLinks[address] = opened
	go links.maintain(ctx, opened)
}

// Close ends the stream to a peer and stops reconnecting.
func (links *Links) Close(address string) {
	links.mutex.Lock()
	defer links.mutex.Unlock()
	if closed, ok := links.peerLinks[address]; ok {
		closed.cancel()
		delete(links.peerLinks, address)
	}
}

// Reset ends the stream to a peer and discards the messages queued for it. Later messages
// go to the next stream. It is meant for a stream whose peer went silent: such a stream
// does not recover.
func (links *Links) Reset(address string) {
	links.mutex.Lock()
	defer links.mutex.Unlock()
	if target, ok := links.peerLinks[address]; ok {
		target.queue = newMessageQueue()
		target.requestReset()
	}
}

// nextQueue returns the queue for the next stream of a link, and discards a pending reset,
// which was meant for an earlier stream.
func (links *Links) nextQueue(target *peerLink) *messageQueue {
	links.mutex.Lock()
	defer links.mutex.Unlock()
	select {
	case <-target.reset:
	default:
	}
	return target.queue
}

// requestReset makes runStream end the current stream.
func (peerLink *peerLink) requestReset() {
	select {
	case peerLink.reset <- struct{}{}:
	default:
	}
}

// Send queues a message for a peer and never blocks. The message is dropped if
// the peer is not open. If the queue is full, the message, the queue and the
// stream are discarded, and a new stream is opened.
func (links *Links) Send(address string, message Message) {
	links.mutex.Lock()
	target, ok := links.peerLinks[address]
	if !ok {
		links.mutex.Unlock()
		return
	}
	queue := target.queue
	links.mutex.Unlock()
	message.SenderUptime = time.Since(links.createdAt)
	if !queue.add(&message, links.options.MaxQueuedBytes) {
		target.requestReset()
	}
}

// maintain opens streams to a peer, one after the other, until ctx ends.
func (links *Links) maintain(ctx context.Context, target *peerLink) {
	delay := minReconnectDelay
	for ctx.Err() == nil {
		queue := links.nextQueue(target)
		opened, err := links.runStream(ctx, target, queue)
		if ctx.Err() != nil {
			return
		}
		links.options.Notify(Down{
			Address: target.address,
			Err:     err,
			Refused: !opened && isRefused(err),
		})
		queue.discard()
		if opened {
			delay = minReconnectDelay
		}
		timer := time.NewTimer(delay)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		delay = min(2*delay, maxReconnectDelay)
	}
}

// runStream opens one stream and sends the queued messages on it until it
// breaks. It reports whether the stream was opened, and why it ended.
func (links *Links) runStream(ctx context.Context, target *peerLink, queue *messageQueue) (bool, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	tcpConn, err := links.options.Dial(dialCtx, target.address)
	if err != nil {
		return false, err
	}
	deadlineConn := &writeDeadlineConn{
		Conn: tcpConn,
	}
	conn := drpcconn.New(deadlineConn)
	defer conn.Close()
	stream, err := conn.NewStream(ctx, rpcName, peer.Encoding{})
	if err != nil {
		return false, err
	}
	links.options.Notify(Up{
		Address: target.address,
	})
	number := links.lastStream.Add(1)
	for {
		select {
		case <-ctx.Done():
			return true, ctx.Err()
		case <-conn.Closed():
			return true, eris.New("the peer closed the connection")
		case <-target.reset:
			return true, ErrReset
		case message := <-queue.messages:
			queue.removed(message)
			message.Stream = number
			if err := stream.MsgSend(message, peer.Encoding{}); err != nil {
				return true, err
			}
		}
	}
}

// writeDeadlineConn is a connection whose writes fail if the peer does not
// accept the data within writeTimeout.
type writeDeadlineConn struct {
	net.Conn
}

// Write writes data to the connection within writeTimeout.
func (conn *writeDeadlineConn) Write(data []byte) (int, error) {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return conn.Conn.Write(data)
}
