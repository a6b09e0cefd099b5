package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// connectionsPerUpstream bounds the connections of one entry VM to one
	// upstream: about 60 over the three entry VMs of a failure domain.
	connectionsPerUpstream = 20
	dialTimeout            = time.Second
	idleTimeout            = 90 * time.Second
	queryTimeout           = time.Second
	maxReportBytes         = 1 << 20
	maxLeaseResponseBytes  = 16 << 20
)

// The errors of Start and Query.
var (
	// ErrRefused means that the upstream refused the connection of a Start, so
	// that the task did not start.
	ErrRefused = eris.New("upstream refused the connection")
	// ErrNeverSent means that the request of a Start never had a connection, so
	// that the task did not start.
	ErrNeverSent = eris.New("request was never sent to the upstream")
	// ErrDeliveryUnknown means that the request of a Start may have reached the
	// upstream, so that the task may have started.
	ErrDeliveryUnknown = eris.New("no report from the upstream, which may have received the request")
	// ErrUnreachable means that a Query got no usable response.
	ErrUnreachable = eris.New("no response from the upstream to a status query")
)

// Capabilities are the proofs about tasks that the upstreams of a protocol can
// give.
type Capabilities struct {
	// Leases is set if an upstream lists tasks and renews their leases on
	// request.
	Leases bool
	// Tombstones is set if an upstream never starts a task that it once reported
	// as never started.
	Tombstones bool
}

// Client starts tasks on upstreams and sends status queries to them. It is safe
// for concurrent use.
type Client struct {
	// pooled reuses connections. Start uses it.
	pooled *http.Client
	// unpooled opens a connection for each request. Query uses it.
	unpooled *http.Client
}

// NewClient returns a Client.
func NewClient() *Client {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
	}
	return &Client{
		pooled: &http.Client{
			Transport: &http.Transport{
				DialContext:         dialer.DialContext,
				MaxConnsPerHost:     connectionsPerUpstream,
				MaxIdleConnsPerHost: connectionsPerUpstream,
				IdleConnTimeout:     idleTimeout,
				DisableCompression:  true,
			},
		},
		unpooled: &http.Client{
			Transport: &http.Transport{
				DialContext:        dialer.DialContext,
				DisableKeepAlives:  true,
				DisableCompression: true,
			},
		},
	}
}

// Capabilities returns the proofs that the upstreams of this protocol can give.
func (client *Client) Capabilities() Capabilities {
	return Capabilities{
		Leases:     true,
		Tombstones: true,
	}
}

// Start runs one attempt of a task and returns the report of its end. The error
// wraps ErrRefused, ErrNeverSent or ErrDeliveryUnknown.
func (client *Client) Start(ctx context.Context, address string, request StartRequest) (TaskReport, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	response, err := post(httptrace.WithClientTrace(ctx, trace), client.pooled, address, PathTasks, request)
	if err != nil {
		return TaskReport{}, classifyStartError(err, connected.Load())
	}
	defer response.Body.Close()
	report, err := decode[TaskReport](response, maxReportBytes)
	if err != nil {
		return TaskReport{}, eris.Wrapf(ErrDeliveryUnknown, "read the response with status %d: %v", response.StatusCode, err)
	}
	if report.TaskID != request.TaskID {
		return TaskReport{}, eris.Wrapf(ErrDeliveryUnknown, "response is for task %.64q instead of %.64q", report.TaskID, request.TaskID)
	}
	return report, nil
}

// Query sends a lease request on a new connection, since an existing one may have
// gone silent. It takes up to 1 s. The error wraps ErrUnreachable.
func (client *Client) Query(ctx context.Context, address string, request LeaseRequest) (LeaseResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	response, err := post(ctx, client.unpooled, address, PathLeases, request)
	if err != nil {
		return LeaseResponse{}, eris.Wrap(ErrUnreachable, err.Error())
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return LeaseResponse{}, eris.Wrapf(ErrUnreachable, "response has status %d", response.StatusCode)
	}
	leaseResponse, err := decode[LeaseResponse](response, maxLeaseResponseBytes)
	if err != nil {
		return LeaseResponse{}, eris.Wrap(ErrUnreachable, err.Error())
	}
	return leaseResponse, nil
}

// Close closes the idle connections.
func (client *Client) Close() {
	client.pooled.CloseIdleConnections()
	client.unpooled.CloseIdleConnections()
}

// post sends message as JSON.
func post[Request any](ctx context.Context, client *http.Client, address, path string, message Request) (*http.Response, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, eris.Wrap(err, "encoding a request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "building a request")
	}
	request.Header.Set("Content-Type", "application/json")
	return client.Do(request)
}

// decode reads a JSON message of up to limit bytes from a response.
func decode[Message any](response *http.Response, limit int64) (Message, error) {
	var message Message
	data, err := io.ReadAll(io.LimitReader(response.Body, limit))
	if err != nil {
		return message, eris.Wrap(err, "reading a response")
	}
	if err := json.Unmarshal(data, &message); err != nil {
		return message, eris.Wrap(err, "decoding a response")
	}
	return message, nil
}

// classifyStartError returns the error of a Start without a response. Once the
// request had a connection, bytes may have reached the upstream.
func classifyStartError(err error, connected bool) error {
	if connected {
		return eris.Wrap(ErrDeliveryUnknown, err.Error())
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return eris.Wrap(ErrRefused, err.Error())
	}
	return eris.Wrap(ErrNeverSent, err.Error())
}
