package worker_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"tanagerfall/shared/connection/upstream"
	"tanagerfall/standin/fault"
	"tanagerfall/standin/worker"
)

// listenOnFreePort returns a worker that listens on a free port, and its base
// URL.
func listenOnFreePort(t *testing.T) (*worker.Worker, string) {
	t.Helper()
	standIn := worker.New(worker.Config{
		Address: "127.0.0.1:0",
	})
	address, err := standIn.Listen()
	assert.NilError(t, err)
	t.Cleanup(standIn.Close)
	return standIn, "http://" + address
}

// post sends body as JSON and returns the status and the body of the response.
func post[Body any](client *http.Client, url string, body Body) (int, []byte, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	response, err := client.Post(url, "application/json", bytes.NewReader(data))
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	return response.StatusCode, responseBody, err
}

// newClient returns a client with connections of its own.
func newClient(t *testing.T) *http.Client {
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{
		Transport: transport,
	}
}

// Guards against a task that runs, or that the journal lacks, while FailTasks
// is active.
func TestFailTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn := worker.New(worker.Config{})
		assert.NilError(t, standIn.Inject(fault.Command{
			Fault: fault.FailTasks,
			ForMs: 1000,
		}))
		status, report := runTask(t, standIn, startRequest(1, 0, 500))
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, report.State, upstream.TaskFailed)
		assert.Equal(t, len(standIn.Journal()), 1)
		time.Sleep(time.Second)
		_, report = runTask(t, standIn, startRequest(2, 0, 500))
		assert.Equal(t, report.State, upstream.Finished)
	})
}

// Guards against a response that is sent although LoseReplies is active, and
// against a task that does not run because its response is lost.
func TestLoseReplies(t *testing.T) {
	standIn, url := listenOnFreePort(t)
	standIn.LoseReplies(1, 0)
	client := newClient(t)
	_, _, err := post(client, url+upstream.PathTasks, startRequest(1, 0, 1))
	assert.ErrorContains(t, err, "EOF")
	report, ok := standIn.Result(taskID(1, 0))
	assert.Assert(t, ok)
	assert.Equal(t, report.State, upstream.Finished)
	status, _, err := post(client, url+upstream.PathTasks, startRequest(2, 0, 1))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
}

// Guards against a silent connection that answers requests, and against new
// connections that are silent too.
func TestSilence(t *testing.T) {
	standIn, url := listenOnFreePort(t)
	connection, err := net.Dial("tcp", url[len("http://"):])
	assert.NilError(t, err)
	defer connection.Close()
	request := "GET /v1/journal HTTP/1.1\r\nHost: w\r\n\r\n"
	_, err = io.WriteString(connection, request)
	assert.NilError(t, err)
	_, err = connection.Read(make([]byte, 16<<10))
	assert.NilError(t, err)

	assert.Equal(t, standIn.Silence(), 1)
	_, err = io.WriteString(connection, request)
	assert.NilError(t, err)
	// Once a new connection was answered, the silent one had time to answer too.
	status, _, err := post(newClient(t), url+upstream.PathTasks, startRequest(1, 0, 20))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.NilError(t, connection.SetReadDeadline(time.Now()))
	_, err = connection.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "timeout")
}

// Guards against a listener that accepts connections while Refuse is active,
// and against open connections that break because of it.
func TestRefuse(t *testing.T) {
	standIn, url := listenOnFreePort(t)
	client := newClient(t)
	_, _, err := post(client, url+upstream.PathTasks, startRequest(1, 0, 1))
	assert.NilError(t, err)
	assert.NilError(t, standIn.Refuse(0))
	_, _, err = post(newClient(t), url+upstream.PathTasks, startRequest(2, 0, 1))
	assert.ErrorContains(t, err, "refused")
	_, _, err = post(client, url+upstream.PathTasks, startRequest(3, 0, 1))
	assert.NilError(t, err)
	standIn.Clear()
	_, _, err = post(newClient(t), url+upstream.PathTasks, startRequest(4, 0, 1))
	assert.NilError(t, err)
}

// Guards against a worker that reports after a restart that a task never
// started although it started before the restart, and against a restart that
// clears the journal.
func TestStopAndRestart(t *testing.T) {
	standIn, url := listenOnFreePort(t)
	client := newClient(t)
	_, _, err := post(client, url+upstream.PathTasks, startRequest(1, 0, 1))
	assert.NilError(t, err)
	standIn.Stop(time.Millisecond)
	var body []byte
	for range 500 {
		_, body, err = post(client, url+upstream.PathLeases, upstream.LeaseRequest{
			Renew: []string{taskID(1, 0)},
		})
		if err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	assert.NilError(t, err)
	var response upstream.LeaseResponse
	assert.NilError(t, json.Unmarshal(body, &response))
	assert.Equal(t, response.Tasks[0].State, upstream.TaskFailed)
	assert.Equal(t, response.Tasks[0].Reason, worker.ReasonRestarted)
	assert.Equal(t, len(standIn.Journal()), 1)
}

// Guards against accepting fault commands that are unknown or have missing,
// negative or unknown parameters.
func TestFaultCommands(t *testing.T) {
	_, url := listenOnFreePort(t)
	for _, test := range []struct {
		body   string
		status int
	}{
		{body: `{"fault": "drain"}`, status: http.StatusNoContent},
		{body: `{"fault": "melt"}`, status: http.StatusBadRequest},
		{body: `{"fault": "straggle"}`, status: http.StatusBadRequest},
		{body: `{"fault": "freeze"}`, status: http.StatusBadRequest},
		{body: `{"fault": "drain", "for-ms": -1}`, status: http.StatusBadRequest},
		{body: `{"fault": "drain", "forms": 1}`, status: http.StatusBadRequest},
	} {
		status, _, err := post(newClient(t), url+fault.PathFaults, json.RawMessage(test.body))
		assert.NilError(t, err)
		assert.Equal(t, status, test.status, test.body)
	}
	standIn := worker.New(worker.Config{})
	assert.Assert(t, eris.Is(standIn.Refuse(0), fault.ErrNotListening))
}
