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
	// submissionIDBatch is the number of submission IDs in one request for IDs.
	submissionIDBatch = 16
	dialTimeout       = time.Second
	firstBackoff      = 20 * time.Millisecond
	maxBackoff        = time.Second
	// answerGrace is how long the client waits for an answer after the job's
	// deadline. It covers the network delay and the time in which the owner
	// determines the state of lost tasks.
	answerGrace = 5 * time.Second
	// unreachableTimeout is how long a submission that may have reached its owner
	// is sent again while the owner can't be reached. An owner that was shut down
	// gracefully has a successor by then; one that crashed never answers.
	unreachableTimeout = 3 * time.Second
)

// The errors of Run. If Run returns one of them, it is unknown whether the job ran.
var (
	// ErrNoAnswer means that no answer arrived before 5 s after the job's deadline
	// or before the end of the context.
	ErrNoAnswer = eris.New("no answer before the deadline")
	// ErrCorrupt means that the answer can't be decoded or doesn't belong to the
	// submitted job.
	ErrCorrupt = eris.New("answer does not match its digest or its job")
)

// Config configures a Client.
type Config struct {
	// URL is the base URL of the balancer or of one entry VM, without a slash at
	// the end.
	URL string
	// Team is the name of the team for which the jobs are submitted.
	Team string
	// TLS configures connections to a URL with https. nil means the certificate
	// authorities of the operating system and no client certificate.
	TLS *tls.Config
	// Connections is the maximum number of connections, and so of concurrent
	// requests; 0 means 16.
	Connections int
}

// Client submits jobs. It is safe for concurrent use.
type Client struct {
	config Config
	// idle holds the open connections that no request uses.
	idle chan *connection
	// mutex guards openConnections, the number of connections opened so far.
	mutex           sync.Mutex
	openConnections int
}

// connection is one persistent HTTP connection, with the unused submission IDs that
// were issued over it.
type connection struct {
	httpClient    *http.Client
	submissionIDs []string
}

// New returns a Client. It opens connections when jobs are submitted.
func New(config Config) *Client {
	if config.Connections <= 0 {
		config.Connections = defaultConnections
	}
	return &Client{
		config: config,
		idle:   make(chan *connection, config.Connections),
	}
}

// Close closes the connections that no Run uses. It should be called after the last
// Run has returned.
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

// Run submits a job and returns its answer, which also describes a job that was
// refused or failed. It sends the submission again with backoff after a lost request
// or reply, and while the owner is stopping or can't be reached. It stops 5 s after
// the job's deadline, which is job.DefaultDeadlineMs if the job sets none, or when ctx
// ends. The error wraps ErrNoAnswer or ErrCorrupt, or is that of encoding the job.
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

// answerTimeout returns how long Run waits for the answer to a job.
func answerTimeout(submittedJob job.Job) time.Duration {
	deadlineMs := submittedJob.DeadlineMs
	if deadlineMs == 0 {
		deadlineMs = job.DefaultDeadlineMs
	}
	return time.Duration(deadlineMs)*time.Millisecond + answerGrace
}

// submission is the state of one Run over all of its attempts.
type submission struct {
	client    *Client
	body      []byte
	taskCount int
	// id is the current submission ID, empty if one must be taken first.
	id string
	// unreachableSince is the time of the first of the latest consecutive answers
	// which say that the owner can't be reached.
	unreachableSince time.Time
	// maybeDelivered is true if a request may have reached an entry VM under id.
	maybeDelivered bool
}

// run sends the submission until there is a final answer.
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

// prepareRetry reports whether the answer permits another attempt, and prepares the
// submission for it.
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

// retryUnreachable reports whether to send the submission again after an answer which
// says that the owner can't be reached.
func (submission *submission) retryUnreachable() bool {
	if !submission.maybeDelivered {
		// No entry VM holds this submission, so the job can't run twice under a
		// new ID.
		submission.id = ""
		return true
	}
	if submission.unreachableSince.IsZero() {
		submission.unreachableSince = time.Now()
	}
	return time.Since(submission.unreachableSince) < unreachableTimeout
}

// send makes one attempt. After a failed one, the submission IDs of its connection
// are dropped, because the balancer may assign the next connection to another VM.
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

// acquire returns an idle connection or opens one. At the maximum number of
// connections, it waits for an idle one until ctx ends.
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

// open returns a new connection, or nil if the maximum number is reached. Each
// connection has an HTTP client of its own, limited to one TCP connection, so that
// its submission IDs stay with it.
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

// sleep waits for a random time between half and one and a half times backoff. It
// returns false if ctx ends first.
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
