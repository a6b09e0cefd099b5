package intake

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
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
