package peer_test

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"tanagerfall/shared/connection/peer"
	"tanagerfall/shared/request/job"
)

// stub answers Forward with a function and Heartbeat with the request. Other
// methods panic.
type stub struct {
	peer.Handlers
	forward func(ctx context.Context, request *peer.ForwardRequest) (*peer.ForwardResponse, error)
}

func (stub *stub) Forward(ctx context.Context, request *peer.ForwardRequest) (*peer.ForwardResponse, error) {
	return stub.forward(ctx, request)
}

func (stub *stub) Heartbeat(_ context.Context, request *peer.HeartbeatMessage) (*peer.HeartbeatMessage, error) {
	return request, nil
}

// serve starts a server without TLS for stub and returns its address.
func serve(t *testing.T, stub *stub) string {
	t.Helper()
	return serveWithOptions(t, stub, peer.ServerOptions{})
}

func serveWithOptions(t *testing.T, stub *stub, options peer.ServerOptions) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- peer.Serve(ctx, listener, stub, options) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return listener.Addr().String()
}

func newPool(t *testing.T, options peer.PoolOptions) *peer.Pool {
	t.Helper()
	pool := peer.NewPool(options)
	t.Cleanup(pool.Close)
	return pool
}

// Guards against a forwarded job or its answer losing fields in transit.
func TestForwardCarriesJobAndAnswer(t *testing.T) {
	answer := job.Answer{
		SubmissionID: "id",
		Outcome:      job.Complete,
		Results: []job.Result{{
			Index:    0,
			Upstream: "10.0.0.1:80",
			RunMs:    7,
			Output:   []byte(`{"a":1}`),
		}},
	}
	var received peer.ForwardRequest
	address := serve(t, &stub{forward: func(_ context.Context, request *peer.ForwardRequest) (*peer.ForwardResponse, error) {
		received = *request
		return &peer.ForwardResponse{Answer: answer}, nil
	}})
	request := &peer.ForwardRequest{
		SubmissionID: "id",
		Job:          []byte(`{"kind":"order"}`),
		FirstAttempt: true,
	}
	response, err := peer.Forward.Call(context.Background(), newPool(t, peer.PoolOptions{}), address, request)
	assert.NilError(t, err)
	assert.DeepEqual(t, response.Answer, answer)
	assert.DeepEqual(t, received, *request)
}

// Guards against a failed call that is reported as not delivered although it may
// have been, and the reverse. A caller may submit its job under a new ID only
// after ErrNotDelivered.
func TestErrorsClassifyDelivery(t *testing.T) {
	address := serve(t, &stub{forward: func(ctx context.Context, request *peer.ForwardRequest) (*peer.ForwardResponse, error) {
		if request.SubmissionID == "refuse" {
			return nil, errors.New("no")
		}
		<-ctx.Done()
		return nil, ctx.Err()
	}})
	unused, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, unused.Close())
	pool := newPool(t, peer.PoolOptions{})
	cases := []struct {
		name    string
		address string
		id      string
		timeout time.Duration
		want    error
	}{
		{name: "dial refused", address: unused.Addr().String(), timeout: time.Minute, want: peer.ErrNotDelivered},
		{name: "backing off", address: unused.Addr().String(), timeout: time.Minute, want: peer.ErrNotDelivered},
		{name: "context ended before the call", address: address, timeout: -1, want: peer.ErrNotDelivered},
		{name: "timeout while the handler runs", address: address, id: "hold", timeout: 50 * time.Millisecond, want: peer.ErrDeliveryUnknown},
		{name: "handler error", address: address, id: "refuse", timeout: time.Minute, want: peer.ErrRemote},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), test.timeout)
			defer cancel()
			_, err := peer.Forward.Call(ctx, pool, test.address, &peer.ForwardRequest{SubmissionID: test.id})
			for _, sentinel := range []error{peer.ErrNotDelivered, peer.ErrDeliveryUnknown, peer.ErrRemote} {
				assert.Equal(t, errors.Is(err, sentinel), sentinel == test.want, "%v", err)
			}
		})
	}
}

// Guards against a request that is reported as not delivered although the peer
// read it, because the peer then broke the connection.
func TestBrokenConnectionLeavesDeliveryUnknown(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 1))
		_ = conn.Close()
	}()
	pool := newPool(t, peer.PoolOptions{})
	_, err = peer.Forward.Call(context.Background(), pool, listener.Addr().String(), &peer.ForwardRequest{})
	assert.Assert(t, cmp.ErrorIs(err, peer.ErrDeliveryUnknown))
}

// Guards against heartbeats that wait until forwards end, against more
// connections than the limit, and against concurrent connection attempts to a
// peer.
func TestLanesAndConnectionLimits(t *testing.T) {
	const limit = 3
	const calls = 2 * limit
	release := make(chan struct{})
	var running, maxRunning, dialing, dials atomic.Int64
	address := serve(t, &stub{forward: func(context.Context, *peer.ForwardRequest) (*peer.ForwardResponse, error) {
		if count := running.Add(1); count > maxRunning.Load() {
			maxRunning.Store(count)
		}
		defer running.Add(-1)
		<-release
		return &peer.ForwardResponse{}, nil
	}})
	pool := newPool(t, peer.PoolOptions{
		WorkConnections: limit,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			assert.Check(t, dialing.Add(1) == 1, "concurrent connection attempts")
			defer dialing.Add(-1)
			dials.Add(1)
			var dialer net.Dialer
			return dialer.DialContext(ctx, "tcp", address)
		},
	})
	var group sync.WaitGroup
	for range calls {
		group.Go(func() {
			_, err := peer.Forward.Call(context.Background(), pool, address, &peer.ForwardRequest{})
			assert.Check(t, err)
		})
	}
	for running.Load() < limit {
		time.Sleep(time.Millisecond)
	}
	heartbeat, err := peer.Heartbeat.Call(context.Background(), pool, address, &peer.HeartbeatMessage{Sequence: 9})
	assert.NilError(t, err)
	assert.Equal(t, heartbeat.Sequence, uint64(9))
	close(release)
	group.Wait()
	assert.Equal(t, maxRunning.Load(), int64(limit))
	assert.Equal(t, dials.Load(), int64(limit+1))
}

// Guards against a connection attempt for every call while a peer is down, and
// against a backoff that never ends.
func TestBackoffLimitsConnectionAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		attempts := 0
		pool := newPool(t, peer.PoolOptions{Dial: func(context.Context, string) (net.Conn, error) {
			attempts++
			return nil, errors.New("connection refused")
		}})
		for range 2000 {
			_, err := peer.Heartbeat.Call(context.Background(), pool, "10.0.0.1:7000", &peer.HeartbeatMessage{})
			assert.ErrorIs(t, err, peer.ErrNotDelivered)
			time.Sleep(10 * time.Millisecond)
		}
		// The backoff grows from at least 25 ms to between 1 and 2 s.
		assert.Assert(t, attempts >= 10 && attempts <= 30, "%d attempts in 20 s", attempts)
	})
}

// Guards against TLS settings that are ignored by the client or the server.
func TestTLS(t *testing.T) {
	certificateSource := httptest.NewTLSServer(nil)
	defer certificateSource.Close()
	trustingConfig := certificateSource.Client().Transport.(*http.Transport).TLSClientConfig
	address := serveWithOptions(t, &stub{}, peer.ServerOptions{TLS: &tls.Config{Certificates: certificateSource.TLS.Certificates}})
	call := func(config *tls.Config) error {
		_, err := peer.Heartbeat.Call(context.Background(), newPool(t, peer.PoolOptions{TLS: config}), address, &peer.HeartbeatMessage{})
		return err
	}
	assert.NilError(t, call(&tls.Config{RootCAs: trustingConfig.RootCAs}))
	assert.ErrorIs(t, call(&tls.Config{}), peer.ErrNotDelivered)
	assert.ErrorIs(t, call(nil), peer.ErrDeliveryUnknown)
}
