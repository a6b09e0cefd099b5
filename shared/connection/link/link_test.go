package link_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/connection/link"
)

// delayingConn simulates a partition. While it is blocked it buffers the written
// data, which arrives after the partition, as data retransmitted by the kernel
// does.
type delayingConn struct {
	net.Conn
	mutex    sync.Mutex
	buffered []byte
	blocked  bool
}

// Write writes the data to the connection, or buffers it while blocked.
func (conn *delayingConn) Write(data []byte) (int, error) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.blocked {
		conn.buffered = append(conn.buffered, data...)
		return len(data), nil
	}
	return conn.Conn.Write(data)
}

// Close closes the connection. While blocked it only ends pending reads, so that
// the buffered data can be sent later.
func (conn *delayingConn) Close() error {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.blocked {
		return conn.Conn.SetReadDeadline(time.Now())
	}
	return conn.Conn.Close()
}

// block starts the partition.
func (conn *delayingConn) block() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.blocked = true
}

// unblock ends the partition and sends the buffered data.
func (conn *delayingConn) unblock(t *testing.T) {
	t.Helper()
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.blocked = false
	_, err := conn.Conn.Write(conn.buffered)
	assert.NilError(t, err)
}

// unblockClosed ends the partition of a connection for which Close was called
// meanwhile: it sends the buffered data and closes the connection.
func (conn *delayingConn) unblockClosed(t *testing.T) {
	t.Helper()
	conn.unblock(t)
	assert.NilError(t, conn.Close())
}

// Guards against acting on a message that a partition delayed and whose stream
// has been replaced: a process concluded from an old heartbeat that the scheduler
// did not schedule, and scheduled beside it.
func TestMessagesOfReplacedStreamsAreDropped(t *testing.T) {
	ctx := t.Context()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	messages := make(chan link.Received, 16)
	served := make(chan error, 1)
	serveCtx, stop := context.WithCancel(ctx)
	go func() {
		served <- link.Serve(serveCtx, listener, func(event link.Event) {
			if received, ok := event.(link.Received); ok {
				messages <- received
			}
		})
	}()
	defer func() {
		stop()
		<-served
	}()

	conns := make(chan *delayingConn, 16)
	up := make(chan struct{}, 16)
	links := link.New(link.Options{
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := link.DialTCP(ctx, address)
			if err != nil {
				return nil, err
			}
			delaying := &delayingConn{
				Conn: conn,
			}
			conns <- delaying
			return delaying, nil
		},
		Notify: func(event link.Event) {
			if _, ok := event.(link.Up); ok {
				up <- struct{}{}
			}
		},
	})
	address := listener.Addr().String()
	send := func(id string) {
		links.Send(address, link.Message{
			From:        "a",
			Incarnation: 7,
			Withdraw: &link.Withdraw{
				JobID: id,
			},
		})
	}
	receive := func() string {
		select {
		case received := <-messages:
			return received.Message.Withdraw.JobID
		case <-time.After(2 * time.Second):
			t.Fatal("no message received within 2 s")
			return ""
		}
	}

	const minDelay = 300 * time.Millisecond
	linkCtx, closeLink := context.WithCancel(ctx)
	defer closeLink()
	links.Open(linkCtx, address)
	<-up
	first := <-conns
	send("before")
	assert.Equal(t, receive(), "before")

	first.block()
	send("old")
	time.Sleep(50 * time.Millisecond)
	links.Reset(address)
	<-up
	send("new")
	assert.Equal(t, receive(), "new")

	// Messages on a stream that continues may be delayed too; Delay reports by how
	// much.
	second := <-conns
	second.block()
	send("late")
	// Delay is relative to the fastest message, which was in transit for some time
	// as well; hence the additional 50 ms.
	time.Sleep(minDelay + 50*time.Millisecond)
	second.unblock(t)
	select {
	case delayed := <-messages:
		assert.Equal(t, delayed.Message.Withdraw.JobID, "late")
		assert.Assert(t, delayed.Delay >= minDelay, "delay is %v", delayed.Delay)
	case <-time.After(2 * time.Second):
		t.Fatal("no delayed message received within 2 s")
	}

	first.unblockClosed(t)
	time.Sleep(50 * time.Millisecond)
	send("newer")
	assert.Equal(t, receive(), "newer", "the message of the replaced stream must be dropped")
}
