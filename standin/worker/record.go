package worker

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"tanagerfall/shared/connection/upstream"
	"tanagerfall/shared/request/submission"
)

// errRestarted tells that the worker stopped while a request waited.
var errRestarted = eris.New("the worker was stopped")

// place names a task of a submission without the attempt.
type place struct {
	key   submission.Key
	index int
}

func placeOf(task upstream.TaskID) place {
	return place{
		key:   task.Key,
		index: task.Index,
	}
}

// record is what the worker knows of one task ID. Its fields are guarded by
// the worker's mutex, except done.
type record struct {
	id      string
	place   place
	owner   string
	state   upstream.TaskState
	reason  string
	started time.Time
	ends    time.Time
	lease   time.Time
	ran     time.Duration
	echo    json.RawMessage
	held    resources
	timer   *time.Timer
	// dropped is set if the worker stopped while the task ran.
	dropped bool
	// done is closed when the task is over.
	done chan struct{}
}

// next returns the time at which the task ends by itself or by its lease.
func (record *record) next() time.Time {
	if record.lease.Before(record.ends) {
		return record.lease
	}
	return record.ends
}

// payload is what the stand-in reads from a task's payload.
type payload struct {
	// ActualRunMs replaces the declared run time.
	ActualRunMs *float64 `json:"actual-run-ms"`
	// Echo is returned in the output.
	Echo json.RawMessage `json:"echo"`
}

// parsePayload returns the known fields; a payload that is no JSON object has
// none.
func parsePayload(data json.RawMessage) payload {
	var parsed payload
	if len(data) == 0 || json.Unmarshal(data, &parsed) != nil {
		return payload{}
	}
	if parsed.ActualRunMs != nil && *parsed.ActualRunMs < 0 {
		parsed.ActualRunMs = nil
	}
	return parsed
}

// taskOutput is the output of a task that finished.
type taskOutput struct {
	Echo json.RawMessage `json:"echo,omitempty"`
}

func output(echo json.RawMessage) json.RawMessage {
	data, err := json.Marshal(taskOutput{
		Echo: echo,
	})
	if err != nil {
		panic("worker: encoding an output: " + err.Error())
	}
	return data
}

// over is a closed channel for records that never ran.
var over = func() chan struct{} {
	closed := make(chan struct{})
	close(closed)
	return closed
}()
