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
	submissionIDBatch  = 16
	dialTimeout        = time.Second
	firstBackoff       = 20 * time.Millisecond
	maxBackoff         = time.Second
	// answerGrace is how long the client waits for an answer after the
	// job's deadline, for the way back and for settling lost tasks.
	answerGrace = 5 * time.Second
	// unreachableTimeout is how long a submission that may have reached its owner
	// is sent again while the owner can't be reached. An owner that stopped as
	// planned has a successor by then; one that died never answers.
	unreachableTimeout = 3 * time.Second
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
	config          Config
	idle            chan *connection
	mutex           sync.Mutex
	openConnections int
}

// connection is one kept HTTP connection and the submission IDs that came
// over it.
type connection struct {
	httpClient    *http.Client
	submissionIDs []string
}

// New returns a Client.
func New(config Config) *Client {
	if config.Connections <= 0 {
		config.Connections = defaultConnections
	}
	return &Client{
		config: config,
		idle:   make(chan *connection, config.Connections),
	}
}

// Close closes the idle connections.
func (client *Client) Close() {
	for {
		select {
		case connection := <-client.idle:
			connection.httpClient.CloseIdleConnections()
		default:
			return
		}
	}
}

// Run submits a job and returns its answer. It repeats the submission under
// one ID until an answer comes or the job's deadline has passed. The error
// wraps ErrNoAnswer, ErrCorrupt or the context's error.
func (client *Client) Run(ctx context.Context, submittedJob job.Job) (job.Answer, error) {
	body, err := json.Marshal(submittedJob)
	if err != nil {
		return job.Answer{}, eris.Wrap(err, "encoding the job")
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout(submittedJob))
	defer cancel()
	submission := &submission{
		client:    client,
		body:      body,
		taskCount: len(submittedJob.Tasks),
	}
	return submission.run(ctx)
}

func answerTimeout(submittedJob job.Job) time.Duration {
	deadlineMs := submittedJob.DeadlineMs
	if deadlineMs == 0 {
		deadlineMs = job.DefaultDeadlineMs
	}
	return time.Duration(deadlineMs)*time.Millisecond + answerGrace
}

// submission is one submission, however often it is sent.
type submission struct {
	client    *Client
	body      []byte
	taskCount int
	// id is the submission ID in use, or "" before the first one.
	id string
	// unreachableSince is the time of the first of the present row of answers
	// that the owner can't be reached.
	unreachableSince time.Time
	// maybeDelivered is set once a copy may have reached an entry VM under id.
	maybeDelivered bool
}

func (submission *submission) run(ctx context.Context) (job.Answer, error) {
	backoff := firstBackoff
	for {
		answer, err := submission.send(ctx)
		if err == nil && !submission.prepareRetry(&answer) {
			return answer, nil
		}
		if errors.Is(err, ErrCorrupt) {
			return job.Answer{}, err
		}
		if !sleep(ctx, backoff) {
			return job.Answer{}, eris.Wrap(ErrNoAnswer, "submission "+submission.id)
		}
		backoff = min(backoff*2, maxBackoff)
	}
}

// prepareRetry reports whether the answer asks for another attempt, and prepares it.
func (submission *submission) prepareRetry(answer *job.Answer) bool {
	if answer.Outcome != job.Failed {
		return false
	}
	switch answer.Reason {
	case job.ReasonNotDelivered:
		return submission.retryUnreachable()
	case job.ReasonDeliveryLost, job.ReasonStopping:
		submission.maybeDelivered = true
		submission.unreachableSince = time.Time{}
		return true
	default:
		return false
	}
}

// retryUnreachable reports whether to send the submission again after an answer
// that its owner can't be reached.
func (submission *submission) retryUnreachable() bool {
	if !submission.maybeDelivered {
		// No VM holds this submission, so a fresh ID can't start it twice.
		submission.id = ""
		return true
	}
	if submission.unreachableSince.IsZero() {
		submission.unreachableSince = time.Now()
	}
	return time.Since(submission.unreachableSince) < unreachableTimeout
}

func (submission *submission) send(ctx context.Context) (job.Answer, error) {
	connection, err := submission.client.acquire(ctx)
	if err != nil {
		return job.Answer{}, err
	}
	defer submission.client.release(connection)
	if submission.id == "" {
		id, err := submission.client.takeSubmissionID(ctx, connection)
		if err != nil {
			return job.Answer{}, err
		}
		submission.id = id
	}
	result, err := submission.client.putJob(ctx, connection, submission)
	if err != nil {
		connection.submissionIDs = nil
		submission.maybeDelivered = submission.maybeDelivered || !errors.Is(err, errNotSent)
		return job.Answer{}, err
	}
	connection.submissionIDs = append(connection.submissionIDs, result.newSubmissionIDs...)
	return result.answer, nil
}

func (client *Client) acquire(ctx context.Context) (*connection, error) {
	select {
	case connection := <-client.idle:
		return connection, nil
	default:
	}
	if connection := client.open(); connection != nil {
		return connection, nil
	}
	select {
	case connection := <-client.idle:
		return connection, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// open returns a new connection, or nil where the bound is reached.
func (client *Client) open() *connection {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if client.openConnections == client.config.Connections {
		return nil
	}
	client.openConnections++
	dialer := &net.Dialer{
		Timeout: dialTimeout,
	}
	return &connection{
		httpClient: &http.Client{
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
	client.idle <- connection
}

// sleep waits for about d and reports false when ctx ended first.
func sleep(ctx context.Context, backoff time.Duration) bool {
	timer := time.NewTimer(backoff/2 + rand.N(backoff))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
