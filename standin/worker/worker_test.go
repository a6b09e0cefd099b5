package worker_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/connection/upstream"
	"tanagerfall/standin/worker"
)

const incarnation = "00000000000000aa"

// start returns a request for a task of runMs under a lease of 3 s.
func start(counter, attempt int, runMs int64) upstream.StartRequest {
	return upstream.StartRequest{
		TaskID:  id(counter, attempt),
		Owner:   "127.0.0.1:7000",
		Kind:    "solve",
		RunMs:   runMs,
		LeaseMs: 3000,
		Payload: json.RawMessage(`{"echo": "answer"}`),
	}
}

func id(counter, attempt int) string {
	return fmt.Sprintf("%s-%d-0-%d", incarnation, counter, attempt)
}

// run runs a task to its end and returns the status and the report.
func run(t *testing.T, stand *worker.Worker, request upstream.StartRequest) (int, upstream.TaskReport) {
	t.Helper()
	status, report, err := stand.Run(context.Background(), request)
	assert.NilError(t, err)
	return status, report
}

// runApart starts a task and returns a channel with its report.
func runApart(stand *worker.Worker, request upstream.StartRequest) <-chan upstream.TaskReport {
	reports := make(chan upstream.TaskReport, 1)
	go func() {
		_, report, _ := stand.Run(context.Background(), request)
		reports <- report
	}()
	synctest.Wait()
	return reports
}

// Guards against run times that ignore the speed, the payload's real run time
// or a straggling that begins while the task runs.
func TestRunTime(t *testing.T) {
	for _, test := range []struct {
		name     string
		payload  string
		straggle bool
		want     time.Duration
	}{
		{
			name: "declared",
			want: 500 * time.Millisecond,
		},
		{
			name:    "actual",
			payload: `{"actual-run-ms": 300}`,
			want:    150 * time.Millisecond,
		},
		{
			name:     "straggle halfway",
			straggle: true,
			want:     (250 + 4*250) * time.Millisecond,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				stand := worker.New(worker.Config{
					Speed: 2,
				})
				request := start(1, 0, 1000)
				request.Payload = json.RawMessage(test.payload)
				if test.straggle {
					time.AfterFunc(250*time.Millisecond, func() { stand.Straggle(4, 0) })
				}
				began := time.Now()
				status, report := run(t, stand, request)
				assert.Equal(t, time.Since(began), test.want)
				assert.Equal(t, status, http.StatusOK)
				assert.Equal(t, report.State, upstream.Finished)
				assert.Equal(t, report.RunMs, test.want.Milliseconds())
			})
		})
	}
}

// Guards against a second start of a known ID, of another attempt of a task
// that runs, and of an ID that was cancelled before its start.
func TestStartsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stand := worker.New(worker.Config{})
		first := runApart(stand, start(1, 0, 1000))
		second := runApart(stand, start(1, 0, 1000))

		status, report := run(t, stand, start(1, 1, 1000))
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Equal(t, report.State, upstream.NeverStarted)
		assert.Equal(t, report.Reason, worker.ReasonOtherAttempt)

		assert.DeepEqual(t, <-first, <-second)
		status, report = run(t, stand, start(1, 0, 1000))
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, string(report.Output), `{"echo":"answer"}`)

		cancelled := stand.Lease(upstream.LeaseRequest{
			Cancel: []string{id(2, 0)},
		})
		assert.Equal(t, cancelled.Tasks[0].State, upstream.NeverStarted)
		status, report = run(t, stand, start(2, 0, 1000))
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Equal(t, report.State, upstream.NeverStarted)
		assert.Equal(t, len(stand.Journal()), 1)
	})
}

// Guards against a start beyond the slots or the resources, or while
// draining, and against a refused ID that starts later.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stand := worker.New(worker.Config{
			Slots: 2,
			Cores: 4,
		})
		large := start(1, 0, 1000)
		large.Cores = 5
		_, report := run(t, stand, large)
		assert.Equal(t, report.Reason, worker.ReasonResources)

		first, second := runApart(stand, start(2, 0, 1000)), runApart(stand, start(3, 0, 1000))
		status, report := run(t, stand, start(4, 0, 1000))
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Equal(t, report.Reason, worker.ReasonBusy)
		assert.Equal(t, stand.Lease(upstream.LeaseRequest{}).Used, 2)
		<-first
		<-second
		assert.Equal(t, stand.Lease(upstream.LeaseRequest{}).Used, 0)
		_, report = run(t, stand, start(4, 0, 1000))
		assert.Equal(t, report.State, upstream.NeverStarted)

		stand.Drain()
		_, report = run(t, stand, start(5, 0, 1000))
		assert.Equal(t, report.Reason, worker.ReasonDraining)
		assert.Assert(t, report.Draining)
		assert.Equal(t, len(stand.Journal()), 2)
	})
}

// Guards against a task that outlives its lease, a renewal that does not
// count, and a lease that survives the freeze of its worker.
func TestLeases(t *testing.T) {
	for _, test := range []struct {
		name   string
		renew  bool
		freeze bool
		state  upstream.TaskState
		after  time.Duration
	}{
		{
			name:  "lapses",
			state: upstream.Stopped,
			after: 3 * time.Second,
		},
		{
			name:  "renewed",
			renew: true,
			state: upstream.Finished,
			after: 5 * time.Second,
		},
		{
			name:   "lapses while frozen",
			renew:  true,
			freeze: true,
			state:  upstream.Stopped,
			after:  12 * time.Second,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				stand := worker.New(worker.Config{})
				began := time.Now()
				reports := runApart(stand, start(1, 0, 5000))
				time.Sleep(2 * time.Second)
				if test.renew {
					response := stand.Lease(upstream.LeaseRequest{
						Renew:     []string{id(1, 0)},
						LeaseMs:   4000,
						ListTasks: true,
					})
					assert.Equal(t, response.Tasks[0].State, upstream.StillRunning)
					assert.Equal(t, response.Occupancy[0].LeaseMs, int64(4000))
				}
				if test.freeze {
					stand.Freeze(10 * time.Second)
				}
				assert.Equal(t, (<-reports).State, test.state)
				assert.Equal(t, time.Since(began), test.after)
			})
		})
	}
}

// Guards against results and IDs kept without bound, and against a second
// start of a task whose result was evicted.
func TestResultsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stand := worker.New(worker.Config{
			ResultsKept: 2,
			KnownKept:   1,
		})
		for i := range 4 {
			run(t, stand, start(i, 0, 10))
		}
		_, ok := stand.Result(id(0, 0))
		assert.Assert(t, !ok)
		report, _ := stand.Result(id(1, 0))
		assert.Equal(t, report.Reason, worker.ReasonEvicted)
		_, report = run(t, stand, start(1, 0, 10))
		assert.Equal(t, report.State, upstream.TaskFailed)
		report, _ = stand.Result(id(3, 0))
		assert.Equal(t, report.State, upstream.Finished)
		time.Sleep(worker.DefaultResultsFor)
		report, _ = stand.Result(id(3, 0))
		assert.Equal(t, report.Reason, worker.ReasonEvicted)
		assert.Equal(t, len(stand.Journal()), 4)
	})
}
