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
	askTimeout             = time.Second
	maxReportBytes         = 1 << 20
	maxLeaseBytes          = 16 << 20
)

// The errors of Start say what is known about the attempt.
var (
	// ErrRefused: the connection was refused, so the task did not start.
	ErrRefused = eris.New("upstream refused the connection")
	// ErrNeverSent: no byte of the request was handed to a connection.
	ErrNeverSent = eris.New("request was never sent to the upstream")
	// ErrLost: the request may have reached the upstream.
	ErrDeliveryUnknown = eris.New("connection to the upstream was lost")
	// ErrUnreachable: an Ask got no answer.
	ErrUnreachable = eris.New("upstream gave no answer")
)

// Capabilities says which proofs an adapter's upstreams can give.
type Capabilities struct {
	// Leases: the upstream lists and renews tasks on request.
	Leases bool
	// Tombstones: the upstream never starts a task that it once reported as
	// never started.
	Tombstones bool
}

// Client sends tasks and lease requests to upstreams. It is safe for
// concurrent use.
type Client struct {
	kept  *http.Client
	fresh *http.Client
}

// NewClient returns a Client.
func NewClient() *Client {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
	}
	return &Client{
		kept: &http.Client{
			Transport: &http.Transport{
				DialContext:         dialer.DialContext,
				MaxConnsPerHost:     connectionsPerUpstream,
				MaxIdleConnsPerHost: connectionsPerUpstream,
				IdleConnTimeout:     idleTimeout,
				DisableCompression:  true,
			},
		},
		fresh: &http.Client{
			Transport: &http.Transport{
				DialContext:        dialer.DialContext,
				DisableKeepAlives:  true,
				DisableCompression: true,
			},
		},
	}
}

// Capabilities returns what the upstreams of this protocol can prove.
func (client *Client) Capabilities() Capabilities {
	return Capabilities{
		Leases:     true,
		Tombstones: true,
	}
}

// Start runs one attempt of a task and returns its report when it has ended.
// The error wraps ErrRefused, ErrNeverSent or ErrLost.
func (client *Client) Start(ctx context.Context, address string, request StartRequest) (TaskReport, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	}
	response, err := post(httptrace.WithClientTrace(ctx, trace), client.kept, address, PathTasks, request)
	if err != nil {
		return TaskReport{}, startError(err, sent.Load())
	}
	defer response.Body.Close()
	report, err := decode[TaskReport](response, maxReportBytes)
	if err != nil {
		return TaskReport{}, eris.Wrapf(ErrDeliveryUnknown, "response with status %d: %v", response.StatusCode, err)
	}
	if report.TaskID != request.TaskID {
		return TaskReport{}, eris.Wrapf(ErrDeliveryUnknown, "response is for task %.64q", report.TaskID)
	}
	return report, nil
}

// Query sends a lease request on a new connection. The error wraps
// ErrUnreachable.
func (client *Client) Query(ctx context.Context, address string, request LeaseRequest) (LeaseResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	response, err := post(ctx, client.fresh, address, PathLeases, request)
	if err != nil {
		return LeaseResponse{}, eris.Wrap(ErrUnreachable, err.Error())
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return LeaseResponse{}, eris.Wrapf(ErrUnreachable, "status %d", response.StatusCode)
	}
	answer, err := decode[LeaseResponse](response, maxLeaseBytes)
	if err != nil {
		return LeaseResponse{}, eris.Wrap(ErrUnreachable, err.Error())
	}
	return answer, nil
}

// Close closes the idle connections.
func (client *Client) Close() {
	client.kept.CloseIdleConnections()
	client.fresh.CloseIdleConnections()
}

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

func startError(err error, sent bool) error {
	if sent {
		return eris.Wrap(ErrDeliveryUnknown, err.Error())
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return eris.Wrap(ErrRefused, err.Error())
	}
	return eris.Wrap(ErrNeverSent, err.Error())
}
