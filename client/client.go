package client

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"tanagerfall/shared/request/job"
)

const (
	defaultConnections = 16
	idBlock            = 16
	dialTimeout        = time.Second
	firstBackoff       = 20 * time.Millisecond
	maxBackoff         = time.Second
	// deadlineSlack is how long the client waits for an answer after the
	// job's deadline, for the way back and for settling lost tasks.
	deadlineSlack = 5 * time.Second
	// unreachableLimit is how long a submission that may have reached its owner
	// is sent again while the owner can't be reached. An owner that stopped as
	// planned has a successor by then; one that died never answers.
	unreachableLimit = 3 * time.Second
)

// The errors of Run. Where Run returns an error, it is not known whether the
// job ran.
var (
	ErrNoAnswer = eris.New("no answer before the deadline")
	ErrCorrupt  = eris.New("answer does not match its digest or its job")
)

// Config is what a Client needs.
type Config struct {
	// URL is the base URL of the balancer or of one entry VM.
	URL  string
	Team string
	// TLS is for a URL with https; nil means the system's authorities.
	TLS *tls.Config
	// Connections bounds the connections; 0 means 16.
	Connections int
}

// Client submits jobs. It is safe for concurrent use.
type Client struct {
	config Config
	free   chan *connection
	mutex  sync.Mutex
	opened int
}

// connection is one kept HTTP connection and the submission IDs that came
// over it.
type connection struct {
	http *http.Client
	ids  []string
}

// New returns a Client.
func New(config Config) *Client {
	if config.Connections <= 0 {
		config.Connections = defaultConnections
	}
	return &Client{
		config: config,
		free:   make(chan *connection, config.Connections),
	}
}

// Close closes the idle connections.
func (client *Client) Close() {
	for {
		select {
		case connection := <-client.free:
			connection.http.CloseIdleConnections()
		default:
			return
		}
	}
}

// Run submits a job and returns its answer. It repeats the submission under
// one ID until an answer comes or the job's deadline has passed. The error
// wraps ErrNoAnswer, ErrCorrupt or the context's error.
func (client *Client) Run(ctx context.Context, submitted job.Job) (job.Answer, error) {
	body, err := json.Marshal(submitted)
	if err != nil {
		return job.Answer{}, eris.Wrap(err, "encoding the job")
	}
	ctx, cancel := context.WithTimeout(ctx, waitFor(submitted))
	defer cancel()
	attempt := &attempt{
		client: client,
		body:   body,
		tasks:  len(submitted.Tasks),
	}
	return attempt.run(ctx)
}

func waitFor(submitted job.Job) time.Duration {
	deadlineMs := submitted.DeadlineMs
	if deadlineMs == 0 {
		deadlineMs = job.DefaultDeadlineMs
	}
	return time.Duration(deadlineMs)*time.Millisecond + deadlineSlack
}

// attempt is one submission, however often it is sent.
type attempt struct {
	client *Client
	body   []byte
	tasks  int
	// id is the submission ID in use, or "" before the first one.
	id string
	// unreachableSince is the time of the first of the present row of answers
	// that the owner can't be reached.
	unreachableSince time.Time
	// delivered is set once a copy may have reached an entry VM under id.
	delivered bool
}

func (attempt *attempt) run(ctx context.Context) (job.Answer, error) {
	backoff := firstBackoff
	for {
		answer, err := attempt.send(ctx)
		if err == nil && !attempt.again(&answer) {
			return answer, nil
		}
		if errors.Is(err, ErrCorrupt) {
			return job.Answer{}, err
		}
		if !sleep(ctx, backoff) {
			return job.Answer{}, eris.Wrap(ErrNoAnswer, "submission "+attempt.id)
		}
		backoff = min(backoff*2, maxBackoff)
	}
}

// again reports whether the answer asks for another attempt, and prepares it.
func (attempt *attempt) again(answer *job.Answer) bool {
	if answer.Outcome != job.Failed {
		return false
	}
	switch answer.Reason {
	case job.ReasonNotDelivered:
		return attempt.unreachable()
	case job.ReasonDeliveryLost, job.ReasonStopping:
		attempt.delivered = true
		attempt.unreachableSince = time.Time{}
		return true
	default:
		return false
	}
}

// unreachable reports whether to send the submission again after an answer
// that its owner can't be reached.
func (attempt *attempt) unreachable() bool {
	if !attempt.delivered {
		// No VM holds this submission, so a fresh ID can't start it twice.
		attempt.id = ""
		return true
	}
	if attempt.unreachableSince.IsZero() {
		attempt.unreachableSince = time.Now()
	}
	return time.Since(attempt.unreachableSince) < unreachableLimit
}

func (attempt *attempt) send(ctx context.Context) (job.Answer, error) {
	connection, err := attempt.client.acquire(ctx)
	if err != nil {
		return job.Answer{}, err
	}
	defer attempt.client.release(connection)
	if attempt.id == "" {
		id, err := attempt.client.takeID(ctx, connection)
		if err != nil {
			return job.Answer{}, err
		}
		attempt.id = id
	}
	result, err := attempt.client.put(ctx, connection, attempt)
	if err != nil {
		connection.ids = nil
		attempt.delivered = attempt.delivered || !errors.Is(err, errNeverSent)
		return job.Answer{}, err
	}
	connection.ids = append(connection.ids, result.fresh...)
	return result.answer, nil
}

func (client *Client) acquire(ctx context.Context) (*connection, error) {
	select {
	case connection := <-client.free:
		return connection, nil
	default:
	}
	if connection := client.open(); connection != nil {
		return connection, nil
	}
	select {
	case connection := <-client.free:
		return connection, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// open returns a new connection, or nil where the bound is reached.
func (client *Client) open() *connection {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if client.opened == client.config.Connections {
		return nil
	}
	client.opened++
	dialer := &net.Dialer{
		Timeout: dialTimeout,
	}
	return &connection{
		http: &http.Client{
			Transport: &http.Transport{
				DialContext:         dialer.DialContext,
				TLSClientConfig:     client.config.TLS,
				MaxConnsPerHost:     1,
				MaxIdleConnsPerHost: 1,
				DisableCompression:  true,
			},
		},
	}
}

func (client *Client) release(connection *connection) {
	client.free <- connection
}

// sleep waits for about d and reports false when ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d/2 + rand.N(d))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
