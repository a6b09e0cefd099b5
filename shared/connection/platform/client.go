package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// AppendTimeout bounds an append. A write that is synced to disk takes
	// several ms.
	AppendTimeout = 2 * time.Second
	// ReadGrace is added to the wait of a long poll to give its timeout. It is
	// short enough that a plan is still in force within 3 s if the first poll is
	// lost on a connection that went silent.
	ReadGrace = 500 * time.Millisecond
	// maxReplyBytes bounds the memory that one reply can use.
	maxReplyBytes = 64 << 20
	// maxErrorBytes is how much of an error reply is quoted in an error.
	maxErrorBytes = 256
)

// Client calls the platform over HTTP. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the platform at baseURL, such as
// http://10.0.0.1:7000.
func NewClient(baseURL string, httpClient *http.Client) *Client {
	return &Client{
		base: strings.TrimRight(baseURL, "/"),
		http: httpClient,
	}
}

// Append appends data to a stream as one record and returns its offset. It makes
// one attempt, which takes up to AppendTimeout. The error wraps ErrUnavailable
// or ErrRefused if the append had no effect, and ErrAppendUnknown if it may have
// had one.
func (client *Client) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, AppendTimeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, client.base+PathRecords(stream), bytes.NewReader(data))
	if err != nil {
		return 0, eris.Wrapf(ErrRefused, "append to stream %s: %v", stream, err)
	}
	request.Header.Set("Content-Type", "application/octet-stream")
	response, err := client.do(request)
	if err != nil {
		return 0, eris.Wrapf(classifyAppendFailure(connected.Load()), "append to stream %s: %v", stream, err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return 0, eris.Wrapf(classifyAppendStatus(response.StatusCode), "append to stream %s: %s", stream, describeResponse(response))
	}
	var reply struct {
		Offset *int64 `json:"offset"`
	}
	err = decode(response.Body, &reply)
	if err != nil {
		return 0, eris.Wrapf(ErrAppendUnknown, "append to stream %s: decode the reply: %v", stream, err)
	}
	if reply.Offset == nil {
		return 0, eris.Wrapf(ErrAppendUnknown, "append to stream %s: the reply has no offset", stream)
	}
	return *reply.Offset, nil
}

// do makes one request and closes the idle connections if it fails. If the
// connections to a host went silent, each idle one would make another request
// run into its timeout.
func (client *Client) do(request *http.Request) (*http.Response, error) {
	response, err := client.http.Do(request)
	if err != nil {
		client.http.CloseIdleConnections()
	}
	return response, err
}

// classifyAppendFailure returns the error of an append without a reply. Once the
// request had a connection, bytes may have reached the platform.
func classifyAppendFailure(connected bool) error {
	if connected {
		return ErrAppendUnknown
	}
	return ErrUnavailable
}

// classifyAppendStatus returns the error for the HTTP status of a failed append.
// By the protocol, 503 means that nothing was appended. Any other 5xx status may
// come from an intermediary that lost the reply.
func classifyAppendStatus(status int) error {
	switch {
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests:
		return ErrUnavailable
	case status >= http.StatusInternalServerError:
		return ErrAppendUnknown
	default:
		return ErrRefused
	}
}

// Read returns up to limit records of a stream, starting at the offset from. It
// is a long poll: if there is no such record yet, the platform holds the request
// for up to wait, and the response may then have no records. The error is a
// *TrimmedError if the record at from is no longer retained. Otherwise it wraps
// ErrUnavailable or ErrRefused.
func (client *Client) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (ReadResponse, error) {
	return client.read(ctx, stream, from, limit, poll{
		wait:  wait,
		grace: ReadGrace,
	})
}

func (client *Client) read(ctx context.Context, stream string, from int64, limit int, poll poll) (ReadResponse, error) {
	parameters := url.Values{}
	parameters.Set("from", strconv.FormatInt(from, 10))
	parameters.Set("max", strconv.Itoa(limit))
	parameters.Set("wait-ms", strconv.FormatInt(poll.wait.Milliseconds(), 10))
	var reply ReadResponse
	err := client.get(ctx, PathRecords(stream), parameters, poll, &reply)
	var trimmed *TrimmedError
	if errors.As(err, &trimmed) {
		trimmed.Stream = stream
		trimmed.From = from
		return ReadResponse{}, trimmed
	}
	if err != nil {
		return ReadResponse{}, eris.Wrapf(err, "read stream %s from %d", stream, from)
	}
	return reply, nil
}

// VMs returns the VM list. It is a long poll: the platform holds the request
// until the version of the list is above after or wait has passed. The error
// wraps ErrUnavailable or ErrRefused.
func (client *Client) VMs(ctx context.Context, after int64, wait time.Duration) (VMsResponse, error) {
	return client.vms(ctx, after, poll{
		wait:  wait,
		grace: ReadGrace,
	})
}

func (client *Client) vms(ctx context.Context, after int64, poll poll) (VMsResponse, error) {
	parameters := url.Values{}
	parameters.Set("after", strconv.FormatInt(after, 10))
	parameters.Set("wait-ms", strconv.FormatInt(poll.wait.Milliseconds(), 10))
	var reply VMsResponse
	err := client.get(ctx, PathVMs, parameters, poll, &reply)
	if err != nil {
		return VMsResponse{}, eris.Wrapf(err, "read the VM list after version %d", after)
	}
	return reply, nil
}

func (client *Client) get(ctx context.Context, path string, parameters url.Values, poll poll, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, poll.wait+poll.grace)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, client.base+path+"?"+parameters.Encode(), nil)
	if err != nil {
		return eris.Wrapf(ErrRefused, "build the request: %v", err)
	}
	response, err := client.do(request)
	if err != nil {
		return eris.Wrapf(ErrUnavailable, "%v", err)
	}
	defer response.Body.Close()
	switch {
	case response.StatusCode == http.StatusGone:
		return decodeTrimmed(response.Body)
	case response.StatusCode == http.StatusTooManyRequests,
		response.StatusCode >= http.StatusInternalServerError:
		return eris.Wrapf(ErrUnavailable, "%s", describeResponse(response))
	case response.StatusCode >= http.StatusMultipleChoices:
		return eris.Wrapf(ErrRefused, "%s", describeResponse(response))
	}
	err = decode(response.Body, reply)
	if err != nil {
		return eris.Wrapf(ErrUnavailable, "decode the reply: %v", err)
	}
	return nil
}

// decodeTrimmed returns the *TrimmedError in a reply with status 410. The caller
// sets its stream and requested offset.
func decodeTrimmed(body io.Reader) error {
	var reply TrimmedResponse
	err := decode(body, &reply)
	if err != nil {
		return eris.Wrapf(ErrUnavailable, "decode the reply: %v", err)
	}
	return &TrimmedError{
		FirstOffset: reply.FirstOffset,
		NextOffset:  reply.NextOffset,
	}
}

// decode reads one JSON value into target. A truncated body is an error.
func decode(body io.Reader, target any) error {
	return json.NewDecoder(io.LimitReader(body, maxReplyBytes)).Decode(target)
}

// describeResponse returns the status of a response and the beginning of its
// body.
func describeResponse(response *http.Response) string {
	text, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if err != nil || len(text) == 0 {
		return response.Status
	}
	return response.Status + ": " + strings.TrimSpace(string(text))
}
