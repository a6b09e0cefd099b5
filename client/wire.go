package client

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"tanagerfall/shared/request/job"
)

// maxReplyBytes is the maximum size of the body of a reply.
const maxReplyBytes = 64 << 20

// errNotSent means that no byte of the request was written to a connection.
var errNotSent = eris.New("request was not sent")

// errReplyLost means that the request may have been sent, and that no complete reply
// arrived.
var errReplyLost = eris.New("no complete reply arrived")

// putResult is the reply to a submission: the answer, and new submission IDs that came
// with it.
type putResult struct {
	answer           job.Answer
	newSubmissionIDs []string
}

// putJob sends a submission once. The error wraps errNotSent, errReplyLost or
// ErrCorrupt.
func (client *Client) putJob(ctx context.Context, connection *connection, submission *submission) (putResult, error) {
	header := make(http.Header)
	header.Set("Repr-Digest", digest(submission.body))
	if submission.maybeDelivered {
		header.Set("Tanager-Retry", "true")
	}
	reply, err := client.doRequest(ctx, connection, http.MethodPut, "/v1/jobs/"+submission.id, header, submission.body)
	if err != nil {
		return putResult{}, err
	}
	var result putResult
	if err := json.Unmarshal(reply.body, &result.answer); err != nil {
		return putResult{}, eris.Wrap(ErrCorrupt, err.Error())
	}
	if err := validateAnswer(&result.answer, submission); err != nil {
		return putResult{}, err
	}
	if ids := reply.header.Get("Tanager-Submission-Ids"); ids != "" {
		result.newSubmissionIDs = strings.Split(ids, ",")
	}
	return result, nil
}

// validateAnswer checks that an answer belongs to a submission. The error wraps
// ErrCorrupt.
func validateAnswer(answer *job.Answer, submission *submission) error {
	switch answer.Outcome {
	case job.Complete:
		if len(answer.Results) != submission.taskCount || answer.SubmissionID != submission.id {
			return eris.Wrapf(ErrCorrupt, "answer has %d results for %d tasks", len(answer.Results), submission.taskCount)
		}
		return nil
	case job.Failed, job.Refused:
		return nil
	}
	return eris.Wrapf(ErrCorrupt, "unknown outcome %q", answer.Outcome)
}

// takeSubmissionID removes one of the connection's submission IDs, and requests new
// ones if there are none. The error wraps errNotSent or errReplyLost.
func (client *Client) takeSubmissionID(ctx context.Context, connection *connection) (string, error) {
	if len(connection.submissionIDs) == 0 {
		reply, err := client.doRequest(ctx, connection, http.MethodPost, "/v1/submission-ids?count="+strconv.Itoa(submissionIDBatch), make(http.Header), nil)
		if err != nil {
			return "", err
		}
		var issued struct {
			SubmissionIDs []string `json:"submission-ids"`
		}
		if err := json.Unmarshal(reply.body, &issued); err != nil || len(issued.SubmissionIDs) == 0 {
			return "", eris.Wrap(errReplyLost, "no submission IDs were issued")
		}
		connection.submissionIDs = issued.SubmissionIDs
	}
	last := len(connection.submissionIDs) - 1
	id := connection.submissionIDs[last]
	connection.submissionIDs = connection.submissionIDs[:last]
	return id, nil
}

// reply is the header and the body of a reply whose digest was verified.
type reply struct {
	header http.Header
	body   []byte
}

// doRequest sends one request and reads the reply, whose digest must match its body.
// The error wraps errNotSent or errReplyLost.
func (client *Client) doRequest(ctx context.Context, connection *connection, method, path string, header http.Header, body []byte) (reply, error) {
	var gotConnection atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { gotConnection.Store(true) },
	}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, client.config.URL+path, bytes.NewReader(body))
	if err != nil {
		return reply{}, eris.Wrap(errNotSent, err.Error())
	}
	header.Set("Tanager-Team", client.config.Team)
	request.Header = header
	response, err := connection.httpClient.Do(request)
	if err != nil {
		if gotConnection.Load() {
			return reply{}, eris.Wrap(errReplyLost, err.Error())
		}
		return reply{}, eris.Wrap(errNotSent, err.Error())
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return reply{}, eris.Wrap(errReplyLost, err.Error())
	}
	if receivedDigest := response.Header.Get("Repr-Digest"); receivedDigest != digest(data) {
		return reply{}, eris.Wrap(errReplyLost, "reply does not match its digest")
	}
	return reply{
		header: response.Header,
		body:   data,
	}, nil
}

// digest returns the value of the header Repr-Digest (RFC 9530) for a body.
func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}
