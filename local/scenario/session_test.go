package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"tanagerfall/local/system"
	"tanagerfall/shared/request/job"
)

// session records the requests of one caller and their responses as text. Values
// that differ between test runs are replaced by fixed ones.
type session struct {
	t    *testing.T
	url  string
	team string
	out  strings.Builder
	ids  []string
}

// TestCallerSession guards against an unintended change of what callers receive:
// the statuses, headers and bodies of a whole session.
func TestCallerSession(t *testing.T) {
	config := system.DefaultConfig()
	config.Domains = config.Domains[:1]
	config.EntryVMsPerDomain = 1
	config.WorkersPerDomain = 1
	config.WorkerSpeeds = []float64{1}
	deployment, err := system.Start(config)
	assert.NilError(t, err)
	defer deployment.Stop()
	assert.NilError(t, deployment.Publish(context.Background(), system.SamplePlan(config.Domains)))
	assert.NilError(t, deployment.AwaitReady(context.Background()))
	session := &session{
		t:    t,
		url:  deployment.EntryVMs[0].CallerURL(),
		team: "workshop",
	}
	session.issue(4)
	session.sendAll()
	golden.Assert(t, session.out.String(), "caller-session.golden")
}

func (session *session) issue(count int) {
	body := session.send(http.MethodPost, fmt.Sprintf("/v1/submission-ids?count=%d", count), nil)
	var issued struct {
		SubmissionIDs []string `json:"submission-ids"`
	}
	assert.NilError(session.t, json.Unmarshal(body, &issued))
	session.ids = issued.SubmissionIDs
}

func (session *session) sendAll() {
	quote := NewJob("quote", "quote", 2, 20, 40, 0)
	session.put(0, quote)
	session.put(0, quote)
	session.send(http.MethodGet, "/v1/jobs/"+session.ids[0], nil)
	session.send(http.MethodGet, "/v1/jobs/"+session.ids[1], nil)
	session.send(http.MethodDelete, "/v1/jobs/"+session.ids[1], nil)
	session.put(1, quote)
	session.put(2, NewJob("odd", "firewood", 1, 20, 20, 0))
	impossible := NewJob("big", "quote", 1, 20, 20, 0)
	impossible.Tasks[0].Cores = 99
	session.put(3, impossible)
	session.send(http.MethodPut, "/v1/jobs/"+session.ids[3], []byte(`{"kind":"quote","taskz":[]}`))
	session.send(http.MethodPut, "/v1/jobs/not-an-id", []byte(`{}`))
	session.send(http.MethodPut, "/v1/jobs/"+corruptMAC(session.ids[2]), []byte(`{}`))
	session.send(http.MethodPost, "/v1/requests/quote", []byte(`{"run-ms":20,"payload":{"echo":"single"}}`))
	session.send(http.MethodPost, "/v1/submission-ids?count=257", nil)
	session.team = "other"
	session.send(http.MethodGet, "/v1/jobs/"+session.ids[0], nil)
}

// corruptMAC returns a submission ID whose MAC is invalid.
func corruptMAC(id string) string {
	last := "A"
	if id[len(id)-5] == 'A' {
		last = "B"
	}
	return id[:len(id)-5] + last + id[len(id)-4:]
}

func (session *session) put(index int, submitted job.Job) {
	body, err := json.Marshal(submitted)
	assert.NilError(session.t, err)
	session.send(http.MethodPut, "/v1/jobs/"+session.ids[index], body)
}

func (session *session) send(method, path string, body []byte) []byte {
	request, err := http.NewRequest(method, session.url+path, bytes.NewReader(body))
	assert.NilError(session.t, err)
	request.Header.Set("Tanager-Team", session.team)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(session.t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	assert.NilError(session.t, err)
	freshIDs := 0
	if ids := response.Header.Get("Tanager-Submission-Ids"); ids != "" {
		freshIDs = len(strings.Split(ids, ","))
	}
	fmt.Fprintf(&session.out, "> %s %s team=%s\n> %s\n< %d fresh-ids=%d retry-after=%q\n< %s\n\n", method, session.normalize(path),
		session.team, session.normalize(string(body)), response.StatusCode, freshIDs, response.Header.Get("Retry-After"),
		session.normalize(string(data)))
	return data
}

var (
	variableDurations = regexp.MustCompile(`"(elapsed-ms|ideal-ms|run-ms)":\d+`)
	upstreamAddress   = regexp.MustCompile(`127\.0\.0\.1:\d+`)
	submissionID      = regexp.MustCompile(`[A-Za-z0-9_-]{60,}`)
)

// normalize replaces submission IDs, durations and upstream addresses, which
// differ between test runs.
func (session *session) normalize(text string) string {
	for i, id := range session.ids {
		text = strings.ReplaceAll(text, id, fmt.Sprintf("ID-%d", i))
	}
	text = submissionID.ReplaceAllString(text, "OTHER-ID")
	text = variableDurations.ReplaceAllString(text, `"$1":0`)
	return upstreamAddress.ReplaceAllString(text, "UPSTREAM")
}
