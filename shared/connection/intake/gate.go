package intake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// evictionTimeout limits the wait for the memory of connections that were told to end.
const evictionTimeout = time.Second

// Errors of requests that a Gate refuses. None of them has run.
var (
	// ErrFull means that the process holds too much for other clients.
	ErrFull = eris.New("too much held for clients")
	// ErrJobsFull means that the jobs that callers wait for take too much memory.
	ErrJobsFull = eris.New("too much held for waiting jobs")
	// ErrEvicted means that the body gave way to others because it made no progress.
	ErrEvicted = eris.New("body made no progress while others waited")
)

// Gate applies the decisions of a Ledger to the connections of an HTTP server. It is safe
// for concurrent use.
type Gate struct {
	limits    Limits
	onRefusal func(reason Reason)
	mutex     sync.Mutex
	ledger    *Ledger
	// conns holds the connections of the Ledger's entries.
	conns map[*Entry]*Conn
	// refusals counts the clients that were turned away.
	refusals map[Reason]int64
	// released is closed and replaced when memory becomes free for which bodies wait;
	// waiting counts these.
	released chan struct{}
	waiting  int
	// assembling is held while a large body is joined and decoded, which takes as much
	// memory again, or several times as much.
	assembling sync.Mutex
}

// New returns a Gate without connections. onRefusal is called for each client that is
// turned away. It must not block.
func New(limits Limits, onRefusal func(reason Reason)) *Gate {
	return &Gate{
		limits:    limits,
		onRefusal: onRefusal,
		ledger:    NewLedger(limits),
		conns:     make(map[*Entry]*Conn),
		refusals:  make(map[Reason]int64),
		released:  make(chan struct{}),
	}
}

// Conn is an accepted connection.
type Conn struct {
	net.Conn
	gate  *Gate
	entry *Entry
}

// Refuse counts a client that is turned away.
func (gate *Gate) Refuse(reason Reason) {
	gate.mutex.Lock()
	gate.refusals[reason]++
	gate.mutex.Unlock()
	gate.onRefusal(reason)
}

// admit opens the account of a connection. At the limit it waits until another connection
// can give way. It returns nil, and closes the connection, if all others have requests in
// progress.
func (gate *Gate) admit(netConn net.Conn) *Conn {
	for {
		conn, wait := gate.tryAdmit(netConn)
		if conn != nil {
			return conn
		}
		if wait == 0 {
			gate.Refuse(ReasonConnections)
			_ = netConn.Close()
			return nil
		}
		time.Sleep(wait)
	}
}

// tryAdmit opens the account of a connection, and closes the one that gives way. It returns
// nil if there is none, and how long to wait for one.
func (gate *Gate) tryAdmit(netConn net.Conn) (*Conn, time.Duration) {
	gate.mutex.Lock()
	entry, victim, wait := gate.ledger.Open(time.Now())
	if entry == nil {
		gate.mutex.Unlock()
		return nil, wait
	}
	conn := &Conn{
		Conn:  netConn,
		gate:  gate,
		entry: entry,
	}
	gate.conns[entry] = conn
	closed := gate.conns[victim]
	delete(gate.conns, victim)
	gate.mutex.Unlock()
	if closed != nil {
		gate.Refuse(ReasonConnections)
		_ = closed.Conn.Close()
	}
	return conn, 0
}

// Close closes the connection and ends its account.
func (conn *Conn) Close() error {
	err := conn.Conn.Close()
	gate := conn.gate
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	gate.ledger.Close(conn.entry)
	delete(gate.conns, conn.entry)
	return err
}

// writeTimeout limits the wait for a client that does not read its answer.
const writeTimeout = 15 * time.Second

// Write writes data within writeTimeout. From then on the connection waits for the client.
func (conn *Conn) Write(data []byte) (int, error) {
	gate := conn.gate
	now := time.Now()
	gate.mutex.Lock()
	gate.ledger.Answer(now, conn.entry)
	gate.mutex.Unlock()
	if err := conn.SetWriteDeadline(now.Add(writeTimeout)); err != nil {
		return 0, err
	}
	return conn.Conn.Write(data)
}

// CloseWrite ends the sending direction of a TCP connection. The HTTP server does so before
// it closes a connection with unread bytes, so that the client receives the answer.
func (conn *Conn) CloseWrite() error {
	if tcpConn, ok := conn.Conn.(*net.TCPConn); ok {
		return tcpConn.CloseWrite()
	}
	return nil
}

// stop makes the read of a connection's body fail.
func (conn *Conn) stop() {
	if conn.Conn != nil {
		_ = conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// progress records that bytes of the body have arrived, and reports whether the connection
// may go on.
func (conn *Conn) progress(now time.Time, bytes int) bool {
	conn.gate.mutex.Lock()
	defer conn.gate.mutex.Unlock()
	conn.gate.ledger.Progress(now, conn.entry, bytes)
	return !conn.entry.evicted
}

// reserve reserves memory for the body, and waits for that of others that have to end.
func (conn *Conn) reserve(bytes int64, isLarge bool) error {
	gate := conn.gate
	var deadline <-chan time.Time
	for {
		gate.mutex.Lock()
		verdict, victims := gate.ledger.Reserve(time.Now(), conn.entry, bytes, isLarge)
		evicted := conn.entry.evicted
		stopped := make([]*Conn, 0, len(victims))
		for _, victim := range victims {
			stopped = append(stopped, gate.conns[victim])
		}
		if len(victims) > 0 {
			// One of them may itself wait for memory.
			gate.wakeWaiting()
		}
		released := gate.released
		if verdict == Pending {
			gate.waiting++
		}
		gate.mutex.Unlock()
		for _, other := range stopped {
			if other != nil {
				other.stop()
			}
		}
		switch {
		case verdict == Granted:
			return nil
		case evicted:
			return ErrEvicted
		case verdict == Refused:
			return ErrFull
		}
		if deadline == nil {
			timer := time.NewTimer(evictionTimeout)
			defer timer.Stop()
			deadline = timer.C
		}
		select {
		case <-released:
		case <-deadline:
			return ErrFull
		}
	}
}

// releaseBody ends the reservation for the body.
func (conn *Conn) releaseBody() {
	gate := conn.gate
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	gate.ledger.ReleaseBody(conn.entry)
	gate.wakeWaiting()
}

// wakeWaiting makes the bodies that wait for memory try again.
func (gate *Gate) wakeWaiting() {
	if gate.waiting > 0 {
		gate.waiting = 0
		close(gate.released)
		gate.released = make(chan struct{})
	}
}

// HoldJob reserves memory for a job until ReleaseJob. The error is ErrJobsFull.
func (conn *Conn) HoldJob(bytes int64) error {
	gate := conn.gate
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	if !gate.ledger.HoldJob(conn.entry, bytes) {
		return ErrJobsFull
	}
	return nil
}

// ReleaseJob ends the reservation of HoldJob.
func (conn *Conn) ReleaseJob() {
	conn.gate.mutex.Lock()
	defer conn.gate.mutex.Unlock()
	conn.gate.ledger.ReleaseJob(conn.entry)
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// ConnContext returns the context of the requests on a connection. It is meant for
// http.Server.
func (gate *Gate) ConnContext(ctx context.Context, netConn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, netConn)
}

// ConnOf returns the connection of a request. A request that did not come through a
// listener of the Gate has an account of its own, which does not count as a connection.
func (gate *Gate) ConnOf(request *http.Request) *Conn {
	if conn, ok := request.Context().Value(connKey{}).(*Conn); ok {
		return conn
	}
	return &Conn{
		gate:  gate,
		entry: newUncountedEntry(),
	}
}

// ConnState follows the state of a connection. It is meant for http.Server.
func (gate *Gate) ConnState(netConn net.Conn, state http.ConnState) {
	conn, ok := netConn.(*Conn)
	if !ok {
		return
	}
	now := time.Now()
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	switch state {
	case http.StateActive:
		gate.ledger.Serve(now, conn.entry)
	case http.StateIdle:
		gate.ledger.Wait(now, conn.entry)
	default:
	}
}
