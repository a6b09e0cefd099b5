package proxy

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Mode selects the directions in which a Proxy forwards the bytes of a connection.
// Bytes of a blocked direction are held until the mode changes.
type Mode int

// Values of Mode.
const (
	// Pass forwards in both directions.
	Pass Mode = iota
	// Silent forwards in neither direction. Connections stay open.
	Silent
	// OneWay forwards to the target only.
	OneWay
)

const (
	// chunkBytes is the size of the chunks in which bytes are forwarded.
	chunkBytes = 16 << 10
	// maxHeldChunks is the number of chunks that are read from a connection while its
	// direction is blocked.
	maxHeldChunks = 64
	// minStall and stallRange bound the time for which a chunk is stalled: TCP sends a
	// lost segment again after 0.2 s, and after twice that time if it is lost again.
	minStall   = 200 * time.Millisecond
	stallRange = 800 * time.Millisecond
)

// Proxy forwards connections from a listening address to a target address. It is
// safe for concurrent use.
type Proxy struct {
	target string
	// identify returns the name of the client at the other end of an accepted
	// connection; nil if the clients are not distinguished.
	identify func(conn net.Conn) string
	mutex    sync.Mutex
	mode     Mode
	// clientModes holds, by name, the modes of single clients that are not Pass. They
	// apply while mode is Pass.
	clientModes map[string]Mode
	delay       time.Duration
	// latency is the time from the arrival of a chunk to its forwarding.
	latency time.Duration
	// stallShare is the share of chunks that are stalled.
	stallShare float64
	conns      map[net.Conn]bool
	// frozen is shared by the connections since the last Freeze, which sets it.
	frozen *atomic.Bool
	// changed is closed at the next change of a mode.
	changed chan struct{}
}

// Listen starts a Proxy that forwards connections from address to target until ctx
// ends. It also returns the address with the port on which it listens.
func Listen(ctx context.Context, address, target string) (*Proxy, string, error) {
	return ListenIdentified(ctx, address, target, nil)
}

// ListenIdentified is like Listen, and calls identify with accepted connections for the
// name by which ConfigureClient knows their clients. It does so once for a connection,
// when the mode of a client first matters.
func ListenIdentified(ctx context.Context, address, target string, identify func(conn net.Conn) string) (*Proxy, string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, "", eris.Wrap(err, "starting the listener of a proxy")
	}
	proxy := &Proxy{
		target:      target,
		identify:    identify,
		clientModes: make(map[string]Mode),
		conns:       make(map[net.Conn]bool),
		frozen:      new(atomic.Bool),
		changed:     make(chan struct{}),
	}
	context.AfterFunc(ctx, func() {
		_ = listener.Close()
		proxy.Reset()
	})
	go proxy.accept(listener)
	return proxy, listener.Addr().String(), nil
}

// Configure sets the mode and the delay before each forwarded chunk, for open and
// new connections of all clients.
func (proxy *Proxy) Configure(mode Mode, delay time.Duration) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.mode = mode
	proxy.delay = delay
	proxy.signalChange()
}

// signalChange wakes all that wait for a change of a mode. The caller holds the mutex.
func (proxy *Proxy) signalChange() {
	close(proxy.changed)
	proxy.changed = make(chan struct{})
}

// ConfigureClient sets the mode for open and new connections of one client.
func (proxy *Proxy) ConfigureClient(client string, mode Mode) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.clientModes[client] = mode
	if mode == Pass {
		delete(proxy.clientModes, client)
	}
	proxy.signalChange()
}

// SetLatency sets the time from the arrival of a chunk to its forwarding. Unlike a delay it does
// not add up over chunks that arrive together.
func (proxy *Proxy) SetLatency(latency time.Duration) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.latency = latency
}

// SetStalls sets the share of forwarded chunks that are stalled for 0.2 to 1 s, as on a
// link that loses packets.
func (proxy *Proxy) SetStalls(share float64) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.stallShare = share
}

// Freeze makes all open connections forward nothing until one of their ends closes them.
// New connections are not affected.
func (proxy *Proxy) Freeze() {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.frozen.Store(true)
	proxy.frozen = new(atomic.Bool)
	proxy.signalChange()
}

// Reset closes all connections with a TCP reset.
func (proxy *Proxy) Reset() {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	for conn := range proxy.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (proxy *Proxy) accept(listener net.Listener) {
	for {
		from, err := listener.Accept()
		if err != nil {
			return
		}
		go proxy.serve(from)
	}
}

func (proxy *Proxy) serve(from net.Conn) {
	to, err := net.Dial("tcp", proxy.target)
	if err != nil {
		// Nothing listens on the target address: the connecting side sees its
		// connection closed.
		_ = from.Close()
		return
	}
	frozen := proxy.track(true, from, to)
	defer proxy.track(false, from, to)
	done := make(chan struct{}, 2)
	client := sync.OnceValue(func() string { return proxy.identify(from) })
	link := link{
		client: client,
		frozen: frozen,
	}
	go proxy.forward(to, from, link, false, done)
	go proxy.forward(from, to, link, true, done)
	<-done
	_ = from.Close()
	_ = to.Close()
	<-done
}

// link is the state of one forwarded connection.
type link struct {
	// client returns the name of the client.
	client func() string
	// frozen is set when nothing is forwarded any more.
	frozen *atomic.Bool
}

// track adds open connections to the set that Reset closes, or removes closed ones. It
// returns the flag that the next Freeze sets.
func (proxy *Proxy) track(open bool, conns ...net.Conn) *atomic.Bool {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	for _, conn := range conns {
		if open {
			proxy.conns[conn] = true
		} else {
			delete(proxy.conns, conn)
		}
	}
	return proxy.frozen
}

// state returns the mode and the delay for the connections of a client, and a channel
// that is closed when they may have changed.
func (proxy *Proxy) state(client func() string) (mode Mode, delay time.Duration, changed <-chan struct{}) {
	proxy.mutex.Lock()
	mode, delay, changed = proxy.mode, proxy.delay, proxy.changed
	if proxy.stallShare > 0 && rand.Float64() < proxy.stallShare {
		delay += minStall + rand.N(stallRange)
	}
	clientsDiffer := mode == Pass && len(proxy.clientModes) > 0
	proxy.mutex.Unlock()
	if !clientsDiffer {
		return mode, delay, changed
	}
	name := client()
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	return proxy.clientModes[name], delay, changed
}

// forward copies bytes in one direction until either connection ends. toSource
// means the direction from the target to the source of the connection. Bytes that are
// held when their sender closes the connection are lost.
func (proxy *Proxy) forward(to, from net.Conn, link link, toSource bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	stop := make(chan struct{})
	defer close(stop)
	chunks, ended := readChunks(from, stop)
	for {
		var chunk chunk
		select {
		case chunk = <-chunks:
		case <-ended:
			select {
			case chunk = <-chunks:
			default:
				return
			}
		}
		proxy.awaitLatency(chunk)
		if !proxy.awaitPass(link, toSource, ended) {
			return
		}
		if _, err := to.Write(chunk.bytes); err != nil {
			return
		}
	}
}

// chunk is a piece of what arrives on a connection.
type chunk struct {
	bytes  []byte
	readAt time.Time
}

// awaitLatency waits until the latency of a chunk has passed.
func (proxy *Proxy) awaitLatency(chunk chunk) {
	proxy.mutex.Lock()
	latency := proxy.latency
	proxy.mutex.Unlock()
	if latency > 0 {
		time.Sleep(latency - time.Since(chunk.readAt))
	}
}

// readChunks reads from a connection until it ends or stop is closed. It closes ended
// when the connection has ended and all that was read is in chunks.
func readChunks(conn net.Conn, stop <-chan struct{}) (chunks <-chan chunk, ended <-chan struct{}) {
	read := make(chan chunk, maxHeldChunks)
	readEnded := make(chan struct{})
	go func() {
		defer close(readEnded)
		for {
			buffer := make([]byte, chunkBytes)
			n, err := conn.Read(buffer)
			if err != nil {
				return
			}
			select {
			case read <- chunk{
				bytes:  buffer[:n],
				readAt: time.Now(),
			}:
			case <-stop:
				return
			}
		}
	}()
	return read, readEnded
}

// awaitPass waits until the direction is not blocked, and for the delay or stall. It returns
// false if the connection has ended while the direction was blocked.
func (proxy *Proxy) awaitPass(link link, toSource bool, ended <-chan struct{}) bool {
	for {
		mode, delay, changed := proxy.state(link.client)
		if !link.frozen.Load() && (mode == Pass || (mode == OneWay && !toSource)) {
			time.Sleep(delay)
			return true
		}
		select {
		case <-changed:
		case <-ended:
			return false
		}
	}
}
