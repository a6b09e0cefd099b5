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

// heldConn keeps what is written to it until it is released, as a cut does
// with what the kernel sends again after it.
type heldConn struct {
	net.Conn
	mutex sync.Mutex
	held  []byte
	holds bool
}

// Write keeps or writes.
func (conn *heldConn) Write(data []byte) (int, error) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.holds {
		conn.held = append(conn.held, data...)
		return len(data), nil
	}
	return conn.Conn.Write(data)
}

// Close leaves the connection open while it holds something, and ends the reads
// that wait.
func (conn *heldConn) Close() error {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.holds {
		return conn.Conn.SetReadDeadline(time.Now())
	}
	return conn.Conn.Close()
}

func (conn *heldConn) hold() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.holds = true
}

// pass writes what is held and holds nothing more.
func (conn *heldConn) pass(t *testing.T) {
	t.Helper()
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.holds = false
	_, err := conn.Conn.Write(conn.held)
	assert.NilError(t, err)
}

// release is pass for a connection that was closed.
func (conn *heldConn) release(t *testing.T) {
	t.Helper()
	conn.pass(t)
	assert.NilError(t, conn.Close())
}

// An old heartbeat that a cut held up must not be taken for news: a process
// took it that the scheduler did not schedule, and scheduled beside it.
func TestMessagesOfReplacedStreamsAreDropped(t *testing.T) {
	ctx := t.Context()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	events := make(chan link.Received, 16)
	served := make(chan error, 1)
	serving, stop := context.WithCancel(ctx)
	go func() {
		served <- link.Serve(serving, listener, func(event link.Event) {
			if got, is := event.(link.Received); is {
				events <- got
			}
		})
	}()
	defer func() {
		stop()
		<-served
	}()

	conns := make(chan *heldConn, 16)
	up := make(chan struct{}, 16)
	links := link.New(link.Options{
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := link.DialTCP(ctx, address)
			if err != nil {
				return nil, err
			}
			held := &heldConn{
				Conn: conn,
			}
			conns <- held
			return held, nil
		},
		Notify: func(event link.Event) {
			if _, is := event.(link.Up); is {
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
	next := func() string {
		select {
		case got := <-events:
			return got.Message.Withdraw.JobID
		case <-time.After(2 * time.Second):
			t.Fatal("no message")
			return ""
		}
	}

	const late = 300 * time.Millisecond
	linked, unlink := context.WithCancel(ctx)
	defer unlink()
	links.Open(linked, address)
	<-up
	first := <-conns
	send("before")
	assert.Equal(t, next(), "before")

	first.hold()
	send("old")
	time.Sleep(50 * time.Millisecond)
	links.Reset(address)
	<-up
	send("new")
	assert.Equal(t, next(), "new")

	// A stream that goes on may be held up as well; its messages tell by how much.
	second := <-conns
	second.hold()
	send("late")
	// The delay is told against the fastest message, which was under way as well.
	time.Sleep(late + 50*time.Millisecond)
	second.pass(t)
	select {
	case delayed := <-events:
		assert.Equal(t, delayed.Message.Withdraw.JobID, "late")
		assert.Assert(t, delayed.Delay >= late, "%v", delayed.Delay)
	case <-time.After(2 * time.Second):
		t.Fatal("no message")
	}

	first.release(t)
	time.Sleep(50 * time.Millisecond)
	send("newer")
	assert.Equal(t, next(), "newer", "the old message is dropped")
}
