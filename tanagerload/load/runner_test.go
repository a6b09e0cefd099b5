package load_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"tanagerfall/shared/connection/upstream"
	"tanagerfall/shared/request/job"
	"tanagerfall/standin/fault"
	"tanagerfall/standin/fleet"
	"tanagerfall/standin/worker"
	"tanagerfall/tanagerload/experiment"
	"tanagerfall/tanagerload/load"
)

const runID = "run"

// deployment is an HTTP transport that answers like an entry VM, and like the
// stand-ins with one worker of speed 1. A job takes a tenth longer than its
// longest task. One job in 10 is refused and one in 25 fails.
type deployment struct {
	mutex         sync.Mutex
	lastID        int
	starts        []worker.Start
	faultCommands int
	// startTwice starts the tasks of a resubmitted job again.
	startTwice bool
	// startRefused starts the first task of each refused job.
	startRefused bool
}

// RoundTrip implements http.RoundTripper.
func (deployment *deployment) RoundTrip(request *http.Request) (*http.Response, error) {
	switch {
	case strings.HasSuffix(request.URL.Path, upstream.PathJournal):
		return jsonResponse(http.StatusOK, deployment.readJournal()), nil
	case strings.HasSuffix(request.URL.Path, fault.PathFaults):
		deployment.faultCommands++
		return jsonResponse(http.StatusNoContent, struct{}{}), nil
	case request.Method == http.MethodPost:
		return jsonResponse(http.StatusOK, deployment.issueIDs()), nil
	}
	var submitted job.Job
	if err := json.NewDecoder(request.Body).Decode(&submitted); err != nil {
		return nil, err
	}
	return jsonResponse(http.StatusOK, deployment.submit(&submitted)), nil
}

func jsonResponse[Body any](status int, body Body) *http.Response {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return &http.Response{
		StatusCode: status,
		Header:     http.Header{},
		Body:       io.NopCloser(bytes.NewReader(data)),
	}
}

// issuedIDs is the body of the response to a request for submission IDs.
type issuedIDs struct {
	IDs []string `json:"submission-ids"`
}

func (deployment *deployment) issueIDs() issuedIDs {
	deployment.mutex.Lock()
	defer deployment.mutex.Unlock()
	var issued issuedIDs
	for range 64 {
		deployment.lastID++
		issued.IDs = append(issued.IDs, fmt.Sprintf("id-%d", deployment.lastID))
	}
	return issued
}

func (deployment *deployment) readJournal() worker.JournalResponse {
	deployment.mutex.Lock()
	defer deployment.mutex.Unlock()
	return worker.JournalResponse{
		Requests: worker.RequestCounts{
			Tasks:  int64(len(deployment.starts)),
			Leases: 3,
		},
		Entries: deployment.starts,
	}
}

// payload is the part of a task's payload that a stand-in worker reads.
type payload struct {
	ActualRunMs float64         `json:"actual-run-ms"`
	Echo        json.RawMessage `json:"echo"`
}

func (deployment *deployment) submit(submitted *job.Job) job.Answer {
	var payloads []payload
	longestMs := 0.0
	for i := range submitted.Tasks {
		var parsed payload
		if err := json.Unmarshal(submitted.Tasks[i].Payload, &parsed); err != nil {
			panic(err)
		}
		payloads = append(payloads, parsed)
		longestMs = max(longestMs, parsed.ActualRunMs)
	}
	number := 0
	if _, err := fmt.Sscanf(string(payloads[0].Echo), `"`+runID+`/%d/0"`, &number); err != nil {
		panic(err)
	}
	if number%10 == 3 {
		if deployment.startRefused {
			deployment.recordStarts(payloads[:1])
		}
		return job.Refusal(job.ReasonOverload, "")
	}
	if !deployment.alreadyStarted(payloads[0]) {
		deployment.recordStarts(payloads)
	}
	time.Sleep(time.Duration(1.1 * longestMs * float64(time.Millisecond)))
	if number%25 == 1 {
		return job.Failure(job.StartedYes, job.ReasonTaskFailed, "")
	}
	answer := job.Answer{
		Outcome: job.Complete,
	}
	for i := range payloads {
		answer.Results = append(answer.Results, job.Result{
			Index:  i,
			Output: json.RawMessage(`{"echo": ` + string(payloads[i].Echo) + `}`),
		})
	}
	return answer
}

// alreadyStarted reports whether the task was started before; with startTwice
// it always reports false.
func (deployment *deployment) alreadyStarted(first payload) bool {
	deployment.mutex.Lock()
	defer deployment.mutex.Unlock()
	for i := range deployment.starts {
		if bytes.Equal(deployment.starts[i].Echo, first.Echo) {
			return !deployment.startTwice
		}
	}
	return false
}

func (deployment *deployment) recordStarts(payloads []payload) {
	deployment.mutex.Lock()
	defer deployment.mutex.Unlock()
	for _, payload := range payloads {
		deployment.starts = append(deployment.starts, worker.Start{
			Echo: payload.Echo,
		})
	}
}

// testExperiment returns an experiment with two short steps and one fault.
func testExperiment() experiment.Experiment {
	spec := experiment.Default()
	spec.Name = "golden"
	spec.Seed = 7
	spec.Workload.ResubmitShare = 0.1
	spec.Workload.Teams = []experiment.Share{{
		Name:   "oak",
		Weight: 2,
	}, {
		Name:   "ash",
		Weight: 1,
	}}
	spec.Workload.Kinds = spec.Workload.Teams
	spec.Fleet = fleet.Config{
		ControlAddress: "127.0.0.1:1",
		Entries: []fleet.EntryVM{{
			CallerAddress: "127.0.0.1:2",
			Domain:        "brest",
		}},
		Workers: []fleet.WorkerGroup{{
			FirstAddress: "127.0.0.1:3",
			Count:        1,
			Domain:       "brest",
			Slots:        400,
		}},
	}
	spec.Steps = []experiment.Step{{
		Load:       0.4,
		DurationMs: 4000,
		WarmUpMs:   1000,
	}, {
		JobsPerSecond: 50,
		DurationMs:    2000,
	}}
	spec.Faults = []experiment.Fault{{
		Step:   1,
		AtMs:   1500,
		Target: experiment.TargetPlatform,
		Command: fault.Command{
			Fault: fault.LogDown,
		},
	}}
	return spec
}

// TestGoldenResult guards against unintended changes of the result's format or
// of its values.
func TestGoldenResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport := &deployment{}
		experimentResult, err := load.New(load.Config{
			Experiment: testExperiment(),
			RunID:      runID,
			Transport:  transport,
		}).Run(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, transport.faultCommands, 1)
		assert.Equal(t, experimentResult.Check.Violations(), 0)
		data, err := json.MarshalIndent(experimentResult, "", "  ")
		assert.NilError(t, err)
		golden.Assert(t, string(data)+"\n", "result.golden.json")
	})
}

// TestCheckerFindsViolations guards against a checker that reports no
// violation although tasks started twice or tasks of refused jobs started.
func TestCheckerFindsViolations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		experimentResult, err := load.New(load.Config{
			Experiment: testExperiment(),
			RunID:      runID,
			Transport: &deployment{
				startTwice:   true,
				startRefused: true,
			},
		}).Run(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, experimentResult.Check.Done)
		assert.Assert(t, experimentResult.Check.StartedTwice > 0)
		assert.Assert(t, experimentResult.Check.FalseRefusals > 0)
	})
}

// TestNoCoordinatedOmission guards against response times that count from the
// time of sending instead of the scheduled time: a stall must show in the
// response time of every job that was scheduled during it.
func TestNoCoordinatedOmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		spec := testExperiment()
		spec.Steps = spec.Steps[1:]
		spec.Faults = nil
		spec.Workload.ResubmitShare = 0
		experimentResult, err := load.New(load.Config{
			Experiment: spec,
			RunID:      runID,
			Transport: &stalledTransport{
				RoundTripper: &deployment{},
				until:        time.Now().Add(10 * time.Second),
			},
		}).Run(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, experimentResult.Steps[0].Jobs > 50)
		assert.Assert(t, experimentResult.Steps[0].ResponseMs.P50 > 8000)
	})
}

// TestResponseExcludesResubmission guards against response times that include
// the wait for the resubmission.
func TestResponseExcludesResubmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		spec := testExperiment()
		spec.Faults = nil
		spec.Workload.ResubmitShare = 1
		spec.Workload.ResubmitAfterMs = 20_000
		experimentResult, err := load.New(load.Config{
			Experiment: spec,
			RunID:      runID,
			Transport:  &deployment{},
		}).Run(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, experimentResult.Steps[0].ResponseMs.Max < 6000)
	})
}

// stalledTransport delays all submissions until a fixed time.
type stalledTransport struct {
	http.RoundTripper
	until time.Time
}

// RoundTrip implements http.RoundTripper.
func (stalledTransport *stalledTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.Method == http.MethodPut {
		time.Sleep(time.Until(stalledTransport.until))
	}
	return stalledTransport.RoundTripper.RoundTrip(request)
}
