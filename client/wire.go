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

const maxAnswerBytes = 64 << 20

// errNeverSent: no byte of the request was handed to a connection.
var errNeverSent = eris.New("request was not sent")

// errNoReply: the request was sent and no whole reply came.
var errNoReply = eris.New("no whole reply")

type putResult struct {
	answer job.Answer
	fresh  []string
}

func (client *Client) put(ctx context.Context, connection *connection, attempt *attempt) (putResult, error) {
	header := make(http.Header)
	header.Set("Repr-Digest", digest(attempt.body))
	if attempt.delivered {
		header.Set("Tanager-Retry", "true")
	}
	reply, err := client.do(ctx, connection, http.MethodPut, "/v1/jobs/"+attempt.id, header, attempt.body)
	if err != nil {
		return putResult{}, err
	}
	var result putResult
	if err := json.Unmarshal(reply.body, &result.answer); err != nil {
		return putResult{}, eris.Wrap(ErrCorrupt, err.Error())
	}
	if err := check(&result.answer, attempt); err != nil {
		return putResult{}, err
	}
	if ids := reply.header.Get("Tanager-Submission-Ids"); ids != "" {
		result.fresh = strings.Split(ids, ",")
	}
	return result, nil
}

func check(answer *job.Answer, attempt *attempt) error {
	switch answer.Outcome {
	case job.Complete:
		if len(answer.Results) != attempt.tasks || answer.SubmissionID != attempt.id {
			return eris.Wrapf(ErrCorrupt, "answer has %d results for %d tasks", len(answer.Results), attempt.tasks)
		}
		return nil
	case job.Failed, job.Refused:
		return nil
	}
	return eris.Wrapf(ErrCorrupt, "unknown outcome %q", answer.Outcome)
}

func (client *Client) takeID(ctx context.Context, connection *connection) (string, error) {
	if len(connection.ids) == 0 {
		reply, err := client.do(ctx, connection, http.MethodPost, "/v1/submission-ids?count="+strconv.Itoa(idBlock), make(http.Header), nil)
		if err != nil {
			return "", err
		}
		var issued struct {
			SubmissionIDs []string `json:"submission-ids"`
		}
		if err := json.Unmarshal(reply.body, &issued); err != nil || len(issued.SubmissionIDs) == 0 {
			return "", eris.Wrap(errNoReply, "no submission IDs were issued")
		}
		connection.ids = issued.SubmissionIDs
	}
	last := len(connection.ids) - 1
	id := connection.ids[last]
	connection.ids = connection.ids[:last]
	return id, nil
}

type reply struct {
	header http.Header
	body   []byte
}

// do sends one request. The error wraps errNeverSent, errNoReply or
// ErrCorrupt.
func (client *Client) do(ctx context.Context, connection *connection, method, path string, header http.Header, body []byte) (reply, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, client.config.URL+path, bytes.NewReader(body))
	if err != nil {
		return reply{}, eris.Wrap(errNeverSent, err.Error())
	}
	header.Set("Tanager-Team", client.config.Team)
	request.Header = header
	response, err := connection.http.Do(request)
	if err != nil {
		if sent.Load() {
			return reply{}, eris.Wrap(errNoReply, err.Error())
		}
		return reply{}, eris.Wrap(errNeverSent, err.Error())
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return reply{}, eris.Wrap(errNoReply, err.Error())
	}
	if told := response.Header.Get("Repr-Digest"); told != digest(data) {
		return reply{}, eris.Wrap(errNoReply, "reply does not match its digest")
	}
	return reply{
		header: response.Header,
		body:   data,
	}, nil
}

func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}
