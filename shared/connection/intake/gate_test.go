package intake

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a refusal that its client never receives: the connection of a body that
// was ended early must not be reset while the client still sends.
func TestRefusalOfUnreadBodyArrives(t *testing.T) {
	gate := New(Limits{}, func(Reason) {})
	server := &http.Server{
		ConnContext: gate.ConnContext,
		ConnState:   gate.ConnState,
		Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			conn := gate.ConnOf(request)
			conn.BeginBody(Timeouts{
				Idle: time.Minute,
			})
			_, _ = io.ReadFull(request.Body, make([]byte, 1))
			conn.AbortBody(writer)
			writer.WriteHeader(http.StatusServiceUnavailable)
		}),
	}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(gate.Listener(inner)) }()
	t.Cleanup(func() { _ = server.Close() })

	for _, framing := range []string{"Content-Length: 200000", "Content-Length: 200000\r\nConnection: close"} {
		conn, err := net.Dial("tcp", inner.Addr().String())
		assert.NilError(t, err)
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n%s", framing, strings.Repeat("x", 50_000))
		assert.NilError(t, err)
		// The answer is read after the client has sent more.
		time.Sleep(100 * time.Millisecond)
		_, err = io.WriteString(conn, strings.Repeat("x", 1000))
		assert.NilError(t, err, framing)
		time.Sleep(100 * time.Millisecond)
		_, err = io.WriteString(conn, strings.Repeat("x", 1000))
		assert.NilError(t, err, framing)
		answer, err := io.ReadAll(conn)
		assert.NilError(t, err, framing)
		assert.Assert(t, strings.HasPrefix(string(answer), "HTTP/1.1 503"), "%s: %q", framing, answer)
	}
}

// Guards against a body that was told to end while it waits for memory itself: unless it
// is woken, it keeps its memory until its wait ends, and the body for which it gives way
// is refused.
func TestEvictedBodyThatWaitsIsWoken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := New(Limits{
			LargeBodyBytes: 100_000,
		}, func(Reason) {})
		open := func() *Conn {
			conn := gate.admit(nil)
			gate.ledger.Read(time.Now(), conn.entry)
			return conn
		}
		// slow is told to end for waiting, but its reader does not notice.
		slow, waiting, other, newer := open(), open(), open(), open()
		assert.NilError(t, slow.reserve(10_000, true))
		time.Sleep(time.Millisecond)
		assert.NilError(t, waiting.reserve(60_000, true))
		assert.NilError(t, other.reserve(25_000, true))
		time.Sleep(minStall)
		ended := make(chan error, 1)
		go func() {
			err := waiting.reserve(10_000, true)
			waiting.releaseBody()
			ended <- err
		}()
		synctest.Wait()
		startedAt := time.Now()
		assert.NilError(t, newer.reserve(50_000, true))
		assert.Assert(t, time.Since(startedAt) < evictionTimeout/2, "waited %s", time.Since(startedAt))
		assert.Assert(t, errors.Is(<-ended, ErrEvicted))
	})
}
