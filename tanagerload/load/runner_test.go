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

// deployment answers as an entry VM with one worker of speed 1, whose jobs
// take a tenth longer than their longest task. One job in 10 is refused and
// one in 25 fails.
type deployment struct {
	mutex  sync.Mutex
	ids    int
	starts []worker.Start
	faults int
	// twice starts the first task twice, lie starts refused jobs.
	twice bool
	lie   bool
}

// RoundTrip implements http.RoundTripper.
func (deployment *deployment) RoundTrip(request *http.Request) (*http.Response, error) {
	switch {
	case strings.HasSuffix(request.URL.Path, upstream.PathJournal):
		return answer(http.StatusOK, deployment.journal()), nil
	case strings.HasSuffix(request.URL.Path, fault.PathFaults):
		deployment.faults++
		return answer(http.StatusNoContent, struct{}{}), nil
	case request.Method == http.MethodPost:
		return answer(http.StatusOK, deployment.issue()), nil
	}
	var submitted job.Job
	if err := json.NewDecoder(request.Body).Decode(&submitted); err != nil {
		return nil, err
	}
	return answer(http.StatusOK, deployment.submit(&submitted)), nil
}

func answer[Body any](status int, body Body) *http.Response {
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

type issued struct {
	IDs []string `json:"submission-ids"`
}

func (deployment *deployment) issue() issued {
	deployment.mutex.Lock()
	defer deployment.mutex.Unlock()
	var fresh issued
	for range 64 {
		deployment.ids++
		fresh.IDs = append(fresh.IDs, fmt.Sprintf("id-%d", deployment.ids))
	}
	return fresh
}

func (deployment *deployment) journal() worker.JournalResponse {
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

type payload struct {
	ActualRunMs float64         `json:"actual-run-ms"`
	Echo        json.RawMessage `json:"echo"`
}

func (deployment *deployment) submit(submitted *job.Job) job.Answer {
	var payloads []payload
	longest := 0.0
	for i := range submitted.Tasks {
		var parsed payload
		if err := json.Unmarshal(submitted.Tasks[i].Payload, &parsed); err != nil {
			panic(err)
		}
		payloads = append(payloads, parsed)
		longest = max(longest, parsed.ActualRunMs)
	}
	number := 0
	if _, err := fmt.Sscanf(string(payloads[0].Echo), `"`+runID+`/%d/0"`, &number); err != nil {
		panic(err)
	}
	if number%10 == 3 {
		if deployment.lie {
			deployment.start(payloads[:1])
		}
		return job.Refusal(job.ReasonOverload, "")
	}
	if !deployment.isRepeated(payloads[0]) {
		deployment.start(payloads)
	}
	time.Sleep(time.Duration(1.1 * longest * float64(time.Millisecond)))
	if number%25 == 1 {
		return job.Failure(job.StartedYes, job.ReasonTaskFailed, "")
	}
	complete := job.Answer{
		Outcome: job.Complete,
	}
	for i := range payloads {
		complete.Results = append(complete.Results, job.Result{
			Index:  i,
			Output: json.RawMessage(`{"echo": ` + string(payloads[i].Echo) + `}`),
		})
	}
	return complete
}

func (deployment *deployment) isRepeated(first payload) bool {
	deployment.mutex.Lock()
	defer deployment.mutex.Unlock()
	for i := range deployment.starts {
		if bytes.Equal(deployment.starts[i].Echo, first.Echo) {
			return !deployment.twice
		}
	}
	return false
}

func (deployment *deployment) start(payloads []payload) {
	deployment.mutex.Lock()
	defer deployment.mutex.Unlock()
	for _, started := range payloads {
		deployment.starts = append(deployment.starts, worker.Start{
			Echo: started.Echo,
		})
	}
}

func described() experiment.Experiment {
	described := experiment.Default()
	described.Name = "golden"
	described.Seed = 7
	described.Workload.ResubmitShare = 0.1
	described.Workload.Teams = []experiment.Share{{
		Name:   "oak",
		Weight: 2,
	}, {
		Name:   "ash",
		Weight: 1,
	}}
	described.Workload.Kinds = described.Workload.Teams
	described.Fleet = fleet.Config{
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
	described.Steps = []experiment.Step{{
		Load:       0.4,
		DurationMs: 4000,
		WarmUpMs:   1000,
	}, {
		JobsPerSecond: 50,
		DurationMs:    2000,
	}}
	described.Faults = []experiment.Fault{{
		Step:   1,
		AtMs:   1500,
		Target: experiment.TargetPlatform,
		Command: fault.Command{
			Fault: fault.LogDown,
		},
	}}
	return described
}

// Guards against a change of the result's format or of its figures that goes
// unnoticed.
func TestGoldenResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		served := &deployment{}
		measured, err := load.New(load.Config{
			Experiment: described(),
			Run:        runID,
			Transport:  served,
		}).Run(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, served.faults, 1)
		assert.Equal(t, measured.Check.Violations(), 0)
		data, err := json.MarshalIndent(measured, "", "  ")
		assert.NilError(t, err)
		golden.Assert(t, string(data)+"\n", "result.golden.json")
	})
}

// Guards against a checker that passes a run in which tasks started twice or
// refused jobs ran.
func TestViolationsAreFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		measured, err := load.New(load.Config{
			Experiment: described(),
			Run:        runID,
			Transport: &deployment{
				twice: true,
				lie:   true,
			},
		}).Run(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, measured.Check.Done)
		assert.Assert(t, measured.Check.StartedTwice > 0)
		assert.Assert(t, measured.Check.FalseRefusals > 0)
	})
}

// Guards against responses that are counted from the time of sending: a
// system that stalls must show in every job that was due meanwhile.
func TestNoCoordinatedOmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		planned := described()
		planned.Steps = planned.Steps[1:]
		planned.Faults = nil
		planned.Workload.ResubmitShare = 0
		measured, err := load.New(load.Config{
			Experiment: planned,
			Run:        runID,
			Transport: &stalled{
				RoundTripper: &deployment{},
				until:        time.Now().Add(10 * time.Second),
			},
		}).Run(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, measured.Steps[0].Jobs > 50)
		assert.Assert(t, measured.Steps[0].ResponseMs.P50 > 8000)
	})
}

// Guards against responses that contain the wait for the resubmission.
func TestResubmissionDoesNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		planned := described()
		planned.Faults = nil
		planned.Workload.ResubmitShare = 1
		planned.Workload.ResubmitAfterMs = 20_000
		measured, err := load.New(load.Config{
			Experiment: planned,
			Run:        runID,
			Transport:  &deployment{},
		}).Run(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, measured.Steps[0].ResponseMs.Max < 6000)
	})
}

// stalled holds all jobs until a time.
type stalled struct {
	http.RoundTripper
	until time.Time
}

// RoundTrip implements http.RoundTripper.
func (stalled *stalled) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.Method == http.MethodPut {
		time.Sleep(time.Until(stalled.until))
	}
	return stalled.RoundTripper.RoundTrip(request)
}
