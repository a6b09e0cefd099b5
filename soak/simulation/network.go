package simulation

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"tanagerfall/shared/connection/link"
	"tanagerfall/shared/connection/peer"
)

const (
	// dialTimeout, minRedialDelay and maxRedialDelay are those of link.Links.
	dialTimeout    = 300 * time.Millisecond
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 150 * time.Millisecond
	// userTimeout is the time without an acknowledgement after which a stream breaks.
	userTimeout = 2 * time.Second
	// pathCheckInterval is the time between two checks of the paths of a stream.
	pathCheckInterval = 50 * time.Millisecond
)

var errBroken = eris.New("the stream broke")

// stream is the outgoing side of the connection to a peer, one TCP connection after the
// other. The messages of one connection arrive in order; those that a cut holds up arrive
// when it has ended, unless the connection broke before.
type stream struct {
	owner *process
	peer  *process
	// closed is set after a call of Close.
	closed bool
	up     bool
	// epoch counts the connections and attempts.
	epoch  int
	number uint64
	// queued holds the messages that wait for a connection.
	queued       []link.Message
	resetPending bool
	redialDelay  time.Duration
	connection   *tcpConnection
}

// tcpConnection carries the messages of one stream number.
type tcpConnection struct {
	stream *stream
	// peerLife identifies the process that accepted the connection.
	peerLife int
	broken   bool
	// lastArrival is when the last message arrives.
	lastArrival time.Duration
	// held holds the messages that a cut holds up.
	held [][]byte
	// blockedSince is when data could first not be acknowledged; 0 if all were.
	blockedSince time.Duration
	// resumeAt is when held messages are sent again after a cut.
	resumeAt time.Duration
}

// Open opens a stream to a peer, as link.Links does.
func (process *process) Open(_ context.Context, address string) {
	if process.streams[address] != nil {
		return
	}
	for _, other := range process.world.processes {
		if other.address == address {
			opened := &stream{
				owner:       process,
				peer:        other,
				redialDelay: minRedialDelay,
			}
			process.streams[address] = opened
			opened.dial()
		}
	}
}

// Close ends the stream to a peer.
func (process *process) Close(address string) {
	if closed := process.streams[address]; closed != nil {
		closed.closed = true
		closed.abandonConnection(true)
		delete(process.streams, address)
	}
}

// Reset replaces the stream to a peer and discards the queued messages.
func (process *process) Reset(address string) {
	target := process.streams[address]
	switch {
	case target == nil:
	case target.up:
		target.fail(true, false)
	default:
		target.resetPending = true
	}
}

// Send sends a message on the stream to a peer, or queues it while there is none.
func (process *process) Send(address string, message link.Message) {
	target := process.streams[address]
	if target == nil {
		return
	}
	message.SenderUptime = process.world.now - process.startedAt
	if !target.up {
		target.queued = append(target.queued, message)
		return
	}
	target.transmit(message)
}

// dial tries to open a connection.
func (stream *stream) dial() {
	world := stream.owner.world
	stream.epoch++
	epoch := stream.epoch
	attempt := func(delay time.Duration, action func()) {
		stream.owner.later(delay, func() {
			if stream.epoch == epoch && !stream.closed {
				action()
			}
		})
	}
	switch {
	case world.blocked(stream.owner.node, stream.peer.node) || world.blocked(stream.peer.node, stream.owner.node) ||
		(!stream.peer.alive && stream.peer.silent):
		attempt(dialTimeout, func() { stream.fail(false, false) })
	case !stream.peer.alive:
		attempt(2*world.latency(), func() { stream.fail(false, true) })
	default:
		attempt(2*world.latency(), func() {
			if !stream.peer.alive {
				stream.fail(false, true)
				return
			}
			stream.connected()
		})
	}
}

// connected sends the queued messages on a new connection.
func (stream *stream) connected() {
	stream.up = true
	stream.redialDelay = minRedialDelay
	stream.owner.lastStream++
	stream.number = stream.owner.lastStream
	stream.connection = &tcpConnection{
		stream:   stream,
		peerLife: stream.peer.life,
	}
	stream.connection.checkPaths()
	queued := stream.queued
	stream.queued = nil
	for _, message := range queued {
		stream.transmit(message)
	}
	stream.notify(link.Up{
		Address: stream.peer.address,
	})
	if stream.resetPending {
		stream.resetPending = false
		stream.fail(true, false)
	}
}

// notify passes an event of the stream to its owner.
func (stream *stream) notify(event link.Event) {
	owner := stream.owner
	owner.later(0, func() {
		owner.receiveFrom(stream, func() { owner.enqueue(func() { owner.dispatcher.Notify(event) }) })
	})
}

// fail ends the connection or the attempt, and tries again later. Messages that a reset
// leaves in the kernel may still arrive.
func (stream *stream) fail(byReset, refused bool) {
	stream.abandonConnection(byReset)
	stream.queued = nil
	stream.resetPending = false
	stream.epoch++
	epoch := stream.epoch
	stream.notify(link.Down{
		Address: stream.peer.address,
		Err:     errBroken,
		Refused: refused,
	})
	stream.owner.later(stream.redialDelay, func() {
		if stream.epoch == epoch && !stream.closed {
			stream.dial()
		}
	})
	stream.redialDelay = min(2*stream.redialDelay, maxRedialDelay)
}

// abandonConnection ends the present connection. With deliver, what was sent on it may
// still arrive.
func (stream *stream) abandonConnection(deliver bool) {
	if stream.connection != nil && (!deliver || stream.owner.world.chance(0.5)) {
		stream.connection.broken = true
	}
	stream.connection = nil
	stream.up = false
}

// peerEnded breaks the connection to a process that has ended.
func (stream *stream) peerEnded() {
	if stream.up && !stream.owner.world.blocked(stream.peer.node, stream.owner.node) {
		stream.fail(false, false)
	}
}

// transmit sends a message on the present connection.
func (stream *stream) transmit(message link.Message) {
	message.Stream = stream.number
	data, err := peer.Encoding{}.Marshal(&message)
	if err != nil {
		panic("simulation: encoding a message: " + err.Error())
	}
	world := stream.owner.world
	connection := stream.connection
	transit := world.latency()
	if world.linkDelay != nil {
		transit += world.linkDelay(stream.owner.node, stream.peer.node)
	}
	connection.lastArrival = max(connection.lastArrival, world.now+transit)
	world.after(connection.lastArrival-world.now, func() { connection.arrive(data) })
}

// arrive passes a message to the peer, or holds it while the path is blocked.
func (connection *tcpConnection) arrive(data []byte) {
	stream := connection.stream
	world := stream.owner.world
	if connection.broken {
		return
	}
	if world.blocked(stream.peer.node, stream.owner.node) && connection.blockedSince == 0 {
		connection.blockedSince = world.now
	}
	if len(connection.held) > 0 || world.blocked(stream.owner.node, stream.peer.node) {
		if connection.blockedSince == 0 {
			connection.blockedSince = world.now
		}
		connection.held = append(connection.held, data)
		return
	}
	connection.deliver(data)
}

// deliver passes a message to the process that accepted the connection.
func (connection *tcpConnection) deliver(data []byte) {
	stream := connection.stream
	receiver := stream.peer
	if receiver.life != connection.peerLife || !receiver.alive {
		connection.fail()
		return
	}
	receiver.receiveFrom(connection, func() {
		var message link.Message
		if err := (peer.Encoding{}).Unmarshal(data, &message); err != nil {
			panic("simulation: decoding a message: " + err.Error())
		}
		received, accepted := receiver.inbox.Accept(receiver.world.time(), message)
		if !accepted {
			connection.fail()
			return
		}
		receiver.enqueue(func() { receiver.dispatcher.Notify(received) })
	})
}

// fail breaks the connection, unless it was abandoned.
func (connection *tcpConnection) fail() {
	connection.broken = true
	if connection.stream.connection == connection {
		connection.stream.fail(false, false)
	}
}

// checkPaths breaks the connection when data were not acknowledged for userTimeout, and
// sends held messages again after the end of a cut.
func (connection *tcpConnection) checkPaths() {
	stream := connection.stream
	world := stream.owner.world
	world.after(pathCheckInterval, func() {
		if connection.broken || !stream.owner.alive {
			return
		}
		isBlocked := world.blocked(stream.owner.node, stream.peer.node)
		switch {
		case connection.blockedSince > 0 && world.now-connection.blockedSince >= userTimeout:
			connection.fail()
			return
		case isBlocked:
			connection.resumeAt = 0
		case len(connection.held) > 0 && connection.resumeAt == 0:
			connection.resumeAt = world.now + world.between(0, min(world.now-connection.blockedSince, 800*time.Millisecond))
		case len(connection.held) > 0 && world.now >= connection.resumeAt:
			held := connection.held
			connection.held = nil
			for _, data := range held {
				connection.deliver(data)
			}
			connection.resumeAt = 0
		}
		if !isBlocked && len(connection.held) == 0 && !world.blocked(stream.peer.node, stream.owner.node) {
			connection.blockedSince = 0
		}
		connection.checkPaths()
	})
}
