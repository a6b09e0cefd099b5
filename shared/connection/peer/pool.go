package peer

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcerr"
)

// The errors of a call. Each error of Method.Call wraps exactly one of them.
var (
	// ErrNotDelivered means that no byte of the request was written to a
	// connection, so that the request had no effect.
	ErrNotDelivered = eris.New("request not delivered to the peer")
	// ErrDeliveryUnknown means that the request may have reached the peer and
	// that no response arrived.
	ErrDeliveryUnknown = eris.New("no response from the peer, which may have received the request")
	// ErrRemote means that the peer's handler returned an error.
	ErrRemote = eris.New("the peer returned an error")
)

// Lane is a class of calls with connections of its own. Lanes separate the
// calls that last until a job ends from short ones, so that heartbeats never
// wait for a free connection.
type Lane int

// The lanes.
const (
	// LaneWork is for calls that last until a job ends.
	LaneWork Lane = iota
	// LaneControl is for short calls.
	LaneControl
	laneCount
)

const (
	defaultDialTimeout        = time.Second
	defaultWorkConnections    = 128
	defaultControlConnections = 4
	// minBackoff and maxBackoff bound the backoff after a failed connection
	// attempt. Until it ends, calls fail without another attempt.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// idleTimeout is the idle time after which a connection may be closed.
	idleTimeout = time.Minute
)

// PoolOptions are the options of NewPool. Zero values mean the defaults.
type PoolOptions struct {
	// DialTimeout bounds a connection attempt, including the TLS handshake. The
	// default is 1 s.
	DialTimeout time.Duration
	// WorkConnections bounds the connections to one peer in LaneWork, and thus
	// the concurrent calls. The default is 128.
	WorkConnections int
	// ControlConnections is the same bound for LaneControl. The default is 4.
	ControlConnections int
	// TLS is the client's TLS configuration. Without it, connections are plain
	// TCP.
	TLS *tls.Config
	// Dial replaces the default TCP dialer.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Pool holds reusable connections to peers. It is safe for concurrent use.
type Pool struct {
	options PoolOptions
	mutex   sync.Mutex
	peers   map[string]*peerState
	closed  bool
}

// NewPool returns a pool without connections.
func NewPool(options PoolOptions) *Pool {
	if options.DialTimeout <= 0 {
		options.DialTimeout = defaultDialTimeout
	}
	if options.WorkConnections <= 0 {
		options.WorkConnections = defaultWorkConnections
	}
	if options.ControlConnections <= 0 {
		options.ControlConnections = defaultControlConnections
	}
	if options.Dial == nil {
		dialer := &net.Dialer{
			KeepAliveConfig: keepAlive,
		}
		options.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	return &Pool{
		options: options,
		peers:   make(map[string]*peerState),
	}
}

// peerState holds the connections to one peer address and its dial backoff. The
// pool's mutex guards idle, failedDials and nextDialAt.
type peerState struct {
	address string
	// callSemaphores bound the concurrent calls, and thus the connections, of each
	// lane.
	callSemaphores [laneCount]chan struct{}
	// idle holds the idle connections of each lane, the longest idle first.
	idle [laneCount][]*connection
	// dialLock holds an element during a connection attempt, so that there is
	// one attempt at a time.
	dialLock chan struct{}
	// failedDials counts the connection attempts that failed in a row.
	failedDials int
	// nextDialAt is when the backoff ends.
	nextDialAt time.Time
}

type connection struct {
	*drpcconn.Conn
	counter   *countingConn
	idleSince time.Time
}

// countingConn counts the bytes written to the socket.
type countingConn struct {
	net.Conn
	written atomic.Int64
	// countFailedWrites makes a failed write count in full. It is set for TLS,
	// where a failed write may have sent records.
	countFailedWrites bool
}

func (conn *countingConn) Write(data []byte) (int, error) {
	written, err := conn.Conn.Write(data)
	if conn.countFailedWrites {
		conn.written.Add(int64(len(data)))
	} else {
		conn.written.Add(int64(written))
	}
	return written, err
}

// Close closes all idle connections. Connections in use are closed when their
// calls end. Later calls fail with ErrNotDelivered.
func (pool *Pool) Close() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.closed = true
	for _, peer := range pool.peers {
		peer.closeIdle()
	}
}

// Remove closes the idle connections to a peer that was removed and deletes its
// state.
func (pool *Pool) Remove(address string) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if peer, exists := pool.peers[address]; exists {
		peer.closeIdle()
		delete(pool.peers, address)
	}
}

func (peer *peerState) closeIdle() {
	for lane := range peer.idle {
		for _, conn := range peer.idle[lane] {
			_ = conn.Close()
		}
		peer.idle[lane] = nil
	}
}

// Method is an RPC method with its request and response types.
type Method[Request, Response any] struct {
	name string
	lane Lane
}

// NewMethod returns a method whose calls use connections of lane. The name
// identifies the method on the wire.
func NewMethod[Request, Response any](name string, lane Lane) Method[Request, Response] {
	return Method[Request, Response]{
		name: name,
		lane: lane,
	}
}

// Call sends request to the peer at address and returns its response. It waits
// for a connection if all of the lane are in use. When ctx ends, the connection
// is closed, which cancels the call at the peer. The error wraps
// ErrNotDelivered, ErrDeliveryUnknown or ErrRemote.
func (method Method[Request, Response]) Call(
	ctx context.Context, pool *Pool, address string, request *Request,
) (*Response, error) {
	response := new(Response)
	err := pool.call(ctx, address, method.lane, false, method.name, request, response)
	if err != nil {
		return nil, err
	}
	return response, nil
}

// CallOnNewConnection is like Call, but always opens a new connection. It serves
// to query the result of an earlier call whose connection may have gone silent.
func (method Method[Request, Response]) CallOnNewConnection(
	ctx context.Context, pool *Pool, address string, request *Request,
) (*Response, error) {
	response := new(Response)
	err := pool.call(ctx, address, method.lane, true, method.name, request, response)
	if err != nil {
		return nil, err
	}
	return response, nil
}

func (pool *Pool) call(
	ctx context.Context, address string, lane Lane, newConnection bool, name string, request, response any,
) error {
	peer := pool.peer(address)
	select {
	case peer.callSemaphores[lane] <- struct{}{}:
	case <-ctx.Done():
		return notDeliveredError(address, ctx.Err())
	}
	defer func() { <-peer.callSemaphores[lane] }()
	conn, err := pool.connect(ctx, peer, lane, newConnection)
	if err != nil {
		return notDeliveredError(address, err)
	}
	writtenBefore := conn.counter.written.Load()
	err = conn.Invoke(ctx, name, Encoding{}, request, response)
	if err == nil {
		pool.release(peer, lane, conn)
		return nil
	}
	if drpcerr.Code(err) == handlerErrorCode {
		pool.release(peer, lane, conn)
		return eris.Wrapf(ErrRemote, "%s at %s: %v", name, address, err)
	}
	_ = conn.Close()
	if conn.counter.written.Load() == writtenBefore {
		return notDeliveredError(address, err)
	}
	return eris.Wrapf(ErrDeliveryUnknown, "%s at %s: %v", name, address, err)
}

func notDeliveredError(address string, cause error) error {
	return eris.Wrapf(ErrNotDelivered, "%s: %v", address, cause)
}

// peer returns the state of an address and creates it if necessary.
func (pool *Pool) peer(address string) *peerState {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	peer, exists := pool.peers[address]
	if !exists {
		peer = &peerState{
			address:  address,
			dialLock: make(chan struct{}, 1),
		}
		peer.callSemaphores[LaneWork] = make(chan struct{}, pool.options.WorkConnections)
		peer.callSemaphores[LaneControl] = make(chan struct{}, pool.options.ControlConnections)
		pool.peers[address] = peer
	}
	return peer
}

// connect returns an idle connection or, if there is none or newConnection is
// set, opens one. Callers that wait for a connection attempt check the idle
// connections again after it.
func (pool *Pool) connect(ctx context.Context, peer *peerState, lane Lane, newConnection bool) (*connection, error) {
	if !newConnection {
		if conn := pool.takeIdle(peer, lane); conn != nil {
			return conn, nil
		}
	}
	select {
	case peer.dialLock <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-peer.dialLock }()
	if !newConnection {
		if conn := pool.takeIdle(peer, lane); conn != nil {
			return conn, nil
		}
	}
	if err := pool.checkDial(peer); err != nil {
		return nil, err
	}
	conn, err := pool.dial(ctx, peer.address)
	if ctx.Err() == nil {
		pool.recordDial(peer, err)
	}
	return conn, err
}

// takeIdle removes and returns the idle connection that was used last, or nil.
// It skips connections that were closed in the meantime.
func (pool *Pool) takeIdle(peer *peerState, lane Lane) *connection {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for {
		last := len(peer.idle[lane]) - 1
		if last < 0 {
			return nil
		}
		conn := peer.idle[lane][last]
		peer.idle[lane] = peer.idle[lane][:last]
		select {
		case <-conn.Closed():
		default:
			return conn
		}
	}
}

// checkDial returns an error if the pool is closed or the peer's backoff has not
// ended.
func (pool *Pool) checkDial(peer *peerState) error {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.closed {
		return eris.New("connection pool is closed")
	}
	if wait := time.Until(peer.nextDialAt); wait > 0 {
		return eris.Errorf("backing off for %s after %d failed connection attempts", wait, peer.failedDials)
	}
	return nil
}

// recordDial records the outcome of a connection attempt. The backoff doubles
// with each failure in a row; the jitter shortens it by up to one half.
func (pool *Pool) recordDial(peer *peerState, err error) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if err == nil {
		peer.failedDials = 0
		peer.nextDialAt = time.Time{}
		return
	}
	backoff := min(minBackoff<<min(peer.failedDials, 10), maxBackoff)
	jitter := rand.N(backoff / 2)
	peer.failedDials++
	peer.nextDialAt = time.Now().Add(backoff/2 + jitter)
}

func (pool *Pool) dial(ctx context.Context, address string) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, pool.options.DialTimeout)
	defer cancel()
	socket, err := pool.options.Dial(ctx, address)
	if err != nil {
		return nil, eris.Wrap(err, "dialing")
	}
	if pool.options.TLS != nil {
		config := pool.options.TLS.Clone()
		if host, _, err := net.SplitHostPort(address); err == nil && config.ServerName == "" {
			config.ServerName = host
		}
		tlsConn := tls.Client(socket, config)
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			_ = socket.Close()
			return nil, eris.Wrap(err, "TLS handshake")
		}
		socket = tlsConn
	}
	counter := &countingConn{
		Conn:              socket,
		countFailedWrites: pool.options.TLS != nil,
	}
	return &connection{
		Conn:    drpcconn.NewWithOptions(counter, drpcconn.Options{Manager: managerOptions()}),
		counter: counter,
	}, nil
}

// release adds a connection to the idle ones of its lane and closes those that
// were idle for longer than idleTimeout. The longest idle connection comes
// first.
func (pool *Pool) release(peer *peerState, lane Lane, conn *connection) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.closed || pool.peers[peer.address] != peer {
		_ = conn.Close()
		return
	}
	now := time.Now()
	conn.idleSince = now
	idle := append(peer.idle[lane], conn)
	for len(idle) > 1 && now.Sub(idle[0].idleSince) > idleTimeout {
		_ = idle[0].Close()
		idle = idle[1:]
	}
	peer.idle[lane] = idle
}
