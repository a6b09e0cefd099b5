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

// startRequest returns a request to start a task that runs for runMs with a
// lease of 3 s.
func startRequest(counter, attempt int, runMs int64) upstream.StartRequest {
	return upstream.StartRequest{
		TaskID:  taskID(counter, attempt),
		Owner:   "127.0.0.1:7000",
		Kind:    "solve",
		RunMs:   runMs,
		LeaseMs: 3000,
		Payload: json.RawMessage(`{"echo": "answer"}`),
	}
}

// taskID returns the ID of an attempt of the only task of a submission.
func taskID(counter, attempt int) string {
	return fmt.Sprintf("%s-%d-0-%d", incarnation, counter, attempt)
}

// runTask runs a task until it ends and returns the HTTP status and the
// report.
func runTask(t *testing.T, standIn *worker.Worker, request upstream.StartRequest) (int, upstream.TaskReport) {
	t.Helper()
	status, report, err := standIn.Run(context.Background(), request)
	assert.NilError(t, err)
	return status, report
}

// runAsync starts a task and returns a channel that receives its report.
func runAsync(standIn *worker.Worker, request upstream.StartRequest) <-chan upstream.TaskReport {
	reports := make(chan upstream.TaskReport, 1)
	go func() {
		_, report, _ := standIn.Run(context.Background(), request)
		reports <- report
	}()
	synctest.Wait()
	return reports
}

// Guards against run times that ignore the speed, the run time in the payload,
// or a Straggle that begins while the task runs.
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
				standIn := worker.New(worker.Config{
					Speed: 2,
				})
				request := startRequest(1, 0, 1000)
				request.Payload = json.RawMessage(test.payload)
				if test.straggle {
					time.AfterFunc(250*time.Millisecond, func() { standIn.Straggle(4, 0) })
				}
				startTime := time.Now()
				status, report := runTask(t, standIn, request)
				assert.Equal(t, time.Since(startTime), test.want)
				assert.Equal(t, status, http.StatusOK)
				assert.Equal(t, report.State, upstream.Finished)
				assert.Equal(t, report.RunMs, test.want.Milliseconds())
			})
		})
	}
}

// Guards against starting an ID twice, starting an attempt while another one
// of the same task runs, and starting an ID that was cancelled before.
func TestTaskStartsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn := worker.New(worker.Config{})
		first := runAsync(standIn, startRequest(1, 0, 1000))
		second := runAsync(standIn, startRequest(1, 0, 1000))

		status, report := runTask(t, standIn, startRequest(1, 1, 1000))
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Equal(t, report.State, upstream.NeverStarted)
		assert.Equal(t, report.Reason, worker.ReasonOtherAttempt)

		assert.DeepEqual(t, <-first, <-second)
		status, report = runTask(t, standIn, startRequest(1, 0, 1000))
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, string(report.Output), `{"echo":"answer"}`)

		cancelled := standIn.Lease(upstream.LeaseRequest{
			Cancel: []string{taskID(2, 0)},
		})
		assert.Equal(t, cancelled.Tasks[0].State, upstream.NeverStarted)
		status, report = runTask(t, standIn, startRequest(2, 0, 1000))
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Equal(t, report.State, upstream.NeverStarted)
		assert.Equal(t, len(standIn.Journal()), 1)
	})
}

// Guards against starts beyond the slots or the resources or while the worker
// drains, and against starting an ID later that was refused before.
func TestStartRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn := worker.New(worker.Config{
			Slots: 2,
			Cores: 4,
		})
		large := startRequest(1, 0, 1000)
		large.Cores = 5
		_, report := runTask(t, standIn, large)
		assert.Equal(t, report.Reason, worker.ReasonResources)

		first, second := runAsync(standIn, startRequest(2, 0, 1000)), runAsync(standIn, startRequest(3, 0, 1000))
		status, report := runTask(t, standIn, startRequest(4, 0, 1000))
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Equal(t, report.Reason, worker.ReasonBusy)
		assert.Equal(t, standIn.Lease(upstream.LeaseRequest{}).Used, 2)
		<-first
		<-second
		assert.Equal(t, standIn.Lease(upstream.LeaseRequest{}).Used, 0)
		_, report = runTask(t, standIn, startRequest(4, 0, 1000))
		assert.Equal(t, report.State, upstream.NeverStarted)

		standIn.Drain()
		_, report = runTask(t, standIn, startRequest(5, 0, 1000))
		assert.Equal(t, report.Reason, worker.ReasonDraining)
		assert.Assert(t, report.Draining)
		assert.Equal(t, len(standIn.Journal()), 2)
	})
}

// Guards against a task that runs beyond its lease, a renewal without effect,
// and a lease that does not expire while the worker is frozen.
func TestLeases(t *testing.T) {
	for _, test := range []struct {
		name   string
		renew  bool
		freeze bool
		state  upstream.TaskState
		after  time.Duration
	}{
		{
			name:  "expires",
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
			name:   "expires while frozen",
			renew:  true,
			freeze: true,
			state:  upstream.Stopped,
			after:  12 * time.Second,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				standIn := worker.New(worker.Config{})
				startTime := time.Now()
				reports := runAsync(standIn, startRequest(1, 0, 5000))
				time.Sleep(2 * time.Second)
				if test.renew {
					response := standIn.Lease(upstream.LeaseRequest{
						Renew:     []string{taskID(1, 0)},
						LeaseMs:   4000,
						ListTasks: true,
					})
					assert.Equal(t, response.Tasks[0].State, upstream.StillRunning)
					assert.Equal(t, response.Occupancy[0].LeaseMs, int64(4000))
				}
				if test.freeze {
					standIn.Freeze(10 * time.Second)
				}
				assert.Equal(t, (<-reports).State, test.state)
				assert.Equal(t, time.Since(startTime), test.after)
			})
		})
	}
}

// Guards against results and IDs that are kept without bound, and against
// restarting a task whose result was evicted.
func TestResultsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn := worker.New(worker.Config{
			MaxResults:    2,
			MaxEvictedIDs: 1,
		})
		for i := range 4 {
			runTask(t, standIn, startRequest(i, 0, 10))
		}
		_, ok := standIn.Result(taskID(0, 0))
		assert.Assert(t, !ok)
		report, _ := standIn.Result(taskID(1, 0))
		assert.Equal(t, report.Reason, worker.ReasonEvicted)
		_, report = runTask(t, standIn, startRequest(1, 0, 10))
		assert.Equal(t, report.State, upstream.TaskFailed)
		report, _ = standIn.Result(taskID(3, 0))
		assert.Equal(t, report.State, upstream.Finished)
		time.Sleep(worker.DefaultResultRetention)
		report, _ = standIn.Result(taskID(3, 0))
		assert.Equal(t, report.Reason, worker.ReasonEvicted)
		assert.Equal(t, len(standIn.Journal()), 4)
	})
}
