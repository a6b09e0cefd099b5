package link_test

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/connection/link"
)

// Guards against a withdrawal that is lost with the stream that was reset just before it: a
// process resets the stream to a scheduler that it leaves and withdraws its jobs there, and the
// scheduler, which still hears it, goes on with them.
func TestMessageSentAfterAResetIsDelivered(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	messages := make(chan string, 16)
	served := make(chan error, 1)
	serveCtx, stop := context.WithCancel(t.Context())
	go func() {
		served <- link.Serve(serveCtx, listener, func(event link.Event) {
			if received, ok := event.(link.Received); ok {
				messages <- received.Message.Withdraw.JobID
			}
		})
	}()
	defer func() {
		stop()
		<-served
	}()
	up := make(chan struct{}, 16)
	conns := make(chan *delayingConn, 16)
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
	linkCtx, closeLink := context.WithCancel(t.Context())
	defer closeLink()
	links.Open(linkCtx, address)
	<-up
	// Nothing arrives any more on the first stream.
	(<-conns).block()
	links.Reset(address)
	links.Send(address, link.Message{
		From:        "a",
		Incarnation: 7,
		Withdraw: &link.Withdraw{
			JobID: "j",
		},
	})
	<-up
	select {
	case id := <-messages:
		assert.Equal(t, id, "j")
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the message was not delivered on the new stream")
	}
}
