package caller_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/job"
	"tanagerfall/tanagerload/caller"
	"tanagerfall/tanagerload/experiment"
	"tanagerfall/tanagerload/workload"
)

// reaction is how a VM handles one submission.
type reaction string

const (
	complete      reaction = "complete"
	refuseDial    reaction = "refuse-dial"
	loseReply     reaction = "lose-reply"
	corruptAnswer reaction = "cut-body"
	notDelivered  reaction = "not-delivered"
	stopping      reaction = "stopping"
)

// scriptedTransport handles submissions with the reactions in turn and repeats
// the last one. It records each submission as the VM, the ID and the retry
// header.
type scriptedTransport struct {
	reactions   []reaction
	issuedIDs   int
	submissions []string
}

// RoundTrip implements http.RoundTripper.
func (scriptedTransport *scriptedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.Method == http.MethodPost {
		scriptedTransport.issuedIDs++
		return respond(fmt.Sprintf(`{"submission-ids": ["%s-%d"]}`, request.URL.Host, scriptedTransport.issuedIDs), ""), nil
	}
	scriptedTransport.submissions = append(scriptedTransport.submissions, fmt.Sprintf("%s %s %s", request.URL.Host,
		strings.TrimPrefix(request.URL.Path, "/v1/jobs/"), request.Header.Get("Tanager-Retry")))
	reaction := scriptedTransport.reactions[0]
	if len(scriptedTransport.reactions) > 1 {
		scriptedTransport.reactions = scriptedTransport.reactions[1:]
	}
	if reaction == refuseDial {
		return nil, errors.New("connection refused")
	}
	httptrace.ContextClientTrace(request.Context()).GotConn(httptrace.GotConnInfo{})
	switch reaction {
	case loseReply:
		return nil, io.ErrUnexpectedEOF
	case corruptAnswer:
		return respond(`{"outcome": "complete"}`, "sha-256=:AAAA:"), nil
	case notDelivered, stopping:
		return respond(`{"outcome": "failed", "started": "unknown", "reason": "`+string(reaction)+`"}`, ""), nil
	case complete, refuseDial:
	}
	return respond(`{"outcome": "complete"}`, ""), nil
}

func respond(body, digest string) *http.Response {
	response := &http.Response{
		StatusCode: http.StatusOK,
		Header:     http.Header{},
		Body:       io.NopCloser(strings.NewReader(body)),
	}
	if digest != "" {
		response.Header.Set("Repr-Digest", digest)
	}
	return response
}

// TestFailover guards against a job sent under a second ID although a VM may
// hold it under the first, against a job abandoned although it may be sent
// again, and against a corrupt answer that is accepted.
func TestFailover(t *testing.T) {
	for _, test := range []struct {
		name      string
		reactions []reaction
		want      []string
		requests  int
	}{
		{
			name:      "dial refused: fresh ID of the next VM",
			reactions: []reaction{refuseDial, complete},
			want:      []string{"a a-1 ", "b b-2 "},
			requests:  4,
		},
		{
			name:      "reply lost: same ID",
			reactions: []reaction{loseReply, refuseDial, complete},
			want:      []string{"a a-1 ", "b a-1 true", "a a-1 true"},
			requests:  4,
		},
		{
			name:      "wrong digest: same ID",
			reactions: []reaction{corruptAnswer, complete},
			want:      []string{"a a-1 ", "b a-1 true"},
			requests:  3,
		},
		{
			name:      "not delivered: fresh ID",
			reactions: []reaction{notDelivered, complete},
			want:      []string{"a a-1 ", "a a-2 "},
			requests:  4,
		},
		{
			name:      "not delivered after a lost reply: final",
			reactions: []reaction{loseReply, notDelivered},
			want:      []string{"a a-1 ", "b a-1 true"},
			requests:  3,
		},
		{
			name:      "stopping: same ID elsewhere",
			reactions: []reaction{stopping, complete},
			want:      []string{"a a-1 ", "b a-1 true"},
			requests:  3,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				transport := &scriptedTransport{
					reactions: test.reactions,
				}
				reply := newCaller(transport).Submit(t.Context(), testArrival())
				assert.NilError(t, reply.Err)
				assert.DeepEqual(t, transport.submissions, test.want)
				assert.Equal(t, reply.Requests, test.requests)
			})
		})
	}
}

// TestNoAnswer guards against a caller that waits forever if all replies are
// lost.
func TestNoAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reply := newCaller(&scriptedTransport{
			reactions: []reaction{loseReply},
		}).Submit(t.Context(), testArrival())
		assert.Assert(t, eris.Is(reply.Err, caller.ErrNoAnswer))
	})
}

func newCaller(transport *scriptedTransport) *caller.Caller {
	return caller.New(caller.Config{
		Entries:   []string{"a", "b"},
		Callers:   experiment.Default().Callers,
		Transport: transport,
	})
}

func testArrival() *workload.Arrival {
	return &workload.Arrival{
		Team: "oak",
		Job: job.Job{
			DeadlineMs: 1000,
			Tasks: []job.Task{{
				RunMs:   1,
				Payload: json.RawMessage(`{}`),
			}},
		},
	}
}
