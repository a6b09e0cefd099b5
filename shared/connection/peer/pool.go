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
	// ErrNotDelivered means that no byte of the request was handed to the
	// peer, so that it can't have had any effect.
	ErrNotDelivered = eris.New("request not delivered to the peer")
	// ErrDeliveryUnknown means that the request may have reached the peer and that no
	// response came.
	ErrDeliveryUnknown = eris.New("no response from the peer")
	// ErrRemote means that the peer's handler returned an error.
	ErrRemote = eris.New("the peer returned an error")
)

// Lane separates calls that are held until a job ends from short ones, so
// that heartbeats never wait for a free connection.
type Lane int

// The lanes.
const (
	LaneWork Lane = iota
	LaneControl
	lanes
)

const (
	defaultDialTimeout  = time.Second
	defaultWorkLimit    = 128
	defaultControlLimit = 4
	// minBackoff and maxBackoff bound the time after a failed connection
	// attempt in which calls fail without another attempt.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// idleLimit is the time after which an unused connection is closed.
	idleLimit = time.Minute
)

// PoolOptions are the options of NewPool. Zero values mean the defaults.
type PoolOptions struct {
	// DialTimeout bounds a connection attempt, TLS included; default 1 s.
	DialTimeout time.Duration
	// WorkConnections bounds the connections to one peer for LaneWork, and
	// with it the concurrent calls; default 128.
	WorkConnections int
	// ControlConnections does so for LaneControl; default 4.
	ControlConnections int
	// TLS, if set, is the client's TLS configuration.
	TLS *tls.Config
	// Dial replaces the TCP dialer.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Pool holds connections to peers. It is safe for concurrent use.
type Pool struct {
	options PoolOptions
	mutex   sync.Mutex
	remotes map[string]*remote
	closed  bool
}

// NewPool returns a pool without connections.
func NewPool(options PoolOptions) *Pool {
	if options.DialTimeout <= 0 {
		options.DialTimeout = defaultDialTimeout
	}
	if options.WorkConnections <= 0 {
		options.WorkConnections = defaultWorkLimit
	}
	if options.ControlConnections <= 0 {
		options.ControlConnections = defaultControlLimit
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
		remotes: make(map[string]*remote),
	}
}

// remote is the state of one peer address. The pool's mutex guards idle,
// failures and retryAt.
type remote struct {
	address string
	// slots bounds the connections of each lane.
	slots [lanes]chan struct{}
	idle  [lanes][]*connection
	// dialing is held during a connection attempt.
	dialing  chan struct{}
	failures int
	retryAt  time.Time
}

type connection struct {
	*drpcconn.Conn
	counter *countingConn
	idleAt  time.Time
}

// countingConn counts the bytes handed to the socket.
type countingConn struct {
	net.Conn
	written atomic.Int64
	// byAttempt counts a write even if it fails. A failed TLS write may have
	// sent records.
	byAttempt bool
}

func (conn *countingConn) Write(data []byte) (int, error) {
	written, err := conn.Conn.Write(data)
	if conn.byAttempt {
		conn.written.Add(int64(len(data)))
	} else {
		conn.written.Add(int64(written))
	}
	return written, err
}

// Close closes all idle connections; connections in use are closed when their
// calls end. Later calls fail with ErrNotDelivered.
func (pool *Pool) Close() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.closed = true
	for _, remote := range pool.remotes {
		remote.closeIdle()
	}
}

// Remove closes the idle connections to a peer that is gone and drops its
// state.
func (pool *Pool) Remove(address string) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if remote, known := pool.remotes[address]; known {
		remote.closeIdle()
		delete(pool.remotes, address)
	}
}

func (remote *remote) closeIdle() {
	for lane := range remote.idle {
		for _, conn := range remote.idle[lane] {
			_ = conn.Close()
		}
		remote.idle[lane] = nil
	}
}

// Method is one message with its request and response types.
type Method[Request, Response any] struct {
	name string
	lane Lane
}

// NewMethod returns the method of the given name.
func NewMethod[Request, Response any](name string, lane Lane) Method[Request, Response] {
	return Method[Request, Response]{
		name: name,
		lane: lane,
	}
}

// Call sends request to the peer at address and returns its response. When
// ctx ends, the connection is closed, which cancels the call at the peer. The
// error wraps ErrNotDelivered, ErrLost or ErrRemote.
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

// CallOnNewConnection is Call on a new connection. It serves to resolve what became of
// a call on a connection that may have gone silent.
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
	ctx context.Context, address string, lane Lane, fresh bool, name string, request, response any,
) error {
	remote := pool.remote(address)
	select {
	case remote.slots[lane] <- struct{}{}:
	case <-ctx.Done():
		return notDelivered(address, ctx.Err())
	}
	defer func() { <-remote.slots[lane] }()
	conn, err := pool.connect(ctx, remote, lane, fresh)
	if err != nil {
		return notDelivered(address, err)
	}
	before := conn.counter.written.Load()
	err = conn.Invoke(ctx, name, Encoding{}, request, response)
	if err == nil {
		pool.release(remote, lane, conn)
		return nil
	}
	if drpcerr.Code(err) == codeHandler {
		pool.release(remote, lane, conn)
		return eris.Wrapf(ErrRemote, "%s at %s: %v", name, address, err)
	}
	_ = conn.Close()
	if conn.counter.written.Load() == before {
		return notDelivered(address, err)
	}
	return eris.Wrapf(ErrDeliveryUnknown, "%s at %s: %v", name, address, err)
}

func notDelivered(address string, cause error) error {
	return eris.Wrapf(ErrNotDelivered, "%s: %v", address, cause)
}

func (pool *Pool) remote(address string) *remote {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	held, known := pool.remotes[address]
	if !known {
		held = &remote{
			address: address,
			dialing: make(chan struct{}, 1),
		}
		held.slots[LaneWork] = make(chan struct{}, pool.options.WorkConnections)
		held.slots[LaneControl] = make(chan struct{}, pool.options.ControlConnections)
		pool.remotes[address] = held
	}
	return held
}

func (pool *Pool) connect(ctx context.Context, remote *remote, lane Lane, fresh bool) (*connection, error) {
	if !fresh {
		if conn := pool.takeIdle(remote, lane); conn != nil {
			return conn, nil
		}
	}
	select {
	case remote.dialing <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-remote.dialing }()
	if !fresh {
		if conn := pool.takeIdle(remote, lane); conn != nil {
			return conn, nil
		}
	}
	if err := pool.mayDial(remote); err != nil {
		return nil, err
	}
	conn, err := pool.dial(ctx, remote.address)
	if ctx.Err() == nil {
		pool.dialed(remote, err)
	}
	return conn, err
}

func (pool *Pool) takeIdle(remote *remote, lane Lane) *connection {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for {
		last := len(remote.idle[lane]) - 1
		if last < 0 {
			return nil
		}
		conn := remote.idle[lane][last]
		remote.idle[lane] = remote.idle[lane][:last]
		select {
		case <-conn.Closed():
		default:
			return conn
		}
	}
}

func (pool *Pool) mayDial(remote *remote) error {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.closed {
		return eris.New("pool is closed")
	}
	if wait := time.Until(remote.retryAt); wait > 0 {
		return eris.Errorf("backing off for %s after %d failed connection attempts", wait, remote.failures)
	}
	return nil
}

// dialed records the outcome of a connection attempt.
func (pool *Pool) dialed(remote *remote, err error) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if err == nil {
		remote.failures = 0
		remote.retryAt = time.Time{}
		return
	}
	backoff := min(minBackoff<<min(remote.failures, 10), maxBackoff)
	jitter := rand.N(backoff / 2)
	remote.failures++
	remote.retryAt = time.Now().Add(backoff/2 + jitter)
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
		secured := tls.Client(socket, config)
		if err := secured.HandshakeContext(ctx); err != nil {
			_ = socket.Close()
			return nil, eris.Wrap(err, "TLS handshake")
		}
		socket = secured
	}
	counter := &countingConn{
		Conn:      socket,
		byAttempt: pool.options.TLS != nil,
	}
	return &connection{
		Conn:    drpcconn.NewWithOptions(counter, drpcconn.Options{Manager: managerOptions()}),
		counter: counter,
	}, nil
}

// release returns a connection to the idle ones and closes those that were
// not used for long. The oldest are at the front.
func (pool *Pool) release(remote *remote, lane Lane, conn *connection) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.closed || pool.remotes[remote.address] != remote {
		_ = conn.Close()
		return
	}
	now := time.Now()
	conn.idleAt = now
	idle := append(remote.idle[lane], conn)
	for len(idle) > 1 && now.Sub(idle[0].idleAt) > idleLimit {
		_ = idle[0].Close()
		idle = idle[1:]
	}
	remote.idle[lane] = idle
}
