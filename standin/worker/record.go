package worker

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"tanagerfall/shared/connection/upstream"
	"tanagerfall/shared/request/submission"
)

// errStopped is returned to requests that wait for a task when the worker
// stops.
var errStopped = eris.New("worker stopped before the task ended")

// taskKey identifies a task across its attempts by its submission and its
// index.
type taskKey struct {
	key   submission.Key
	index int
}

func taskKeyOf(taskID upstream.TaskID) taskKey {
	return taskKey{
		key:   taskID.Key,
		index: taskID.Index,
	}
}

// record is the state of one task ID. The worker's mutex guards all fields
// except the channel done.
type record struct {
	id             string
	taskKey        taskKey
	owner          string
	state          upstream.TaskState
	reason         string
	startedAt      time.Time
	completesAt    time.Time
	leaseExpiresAt time.Time
	runDuration    time.Duration
	echo           json.RawMessage
	resources      resources
	timer          *time.Timer
	// dropped is set if the worker stopped while the task ran.
	dropped bool
	// done is closed when the task has ended.
	done chan struct{}
}

// endTime returns when the task ends: at its completion or at the expiry of
// its lease, whichever comes first.
func (record *record) endTime() time.Time {
	if record.leaseExpiresAt.Before(record.completesAt) {
		return record.leaseExpiresAt
	}
	return record.completesAt
}

// payload holds the fields of a task's payload that the stand-in evaluates.
type payload struct {
	// ActualRunMs replaces the run time that the request declares.
	ActualRunMs *float64 `json:"actual-run-ms"`
	// Echo is chosen by the caller. It is returned in the task's output and
	// recorded in the journal.
	Echo json.RawMessage `json:"echo"`
}

// parsePayload returns the known fields of a payload. A payload that cannot be
// decoded has none, and a negative run time is ignored.
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

// taskOutput is the output of a finished task.
type taskOutput struct {
	Echo json.RawMessage `json:"echo,omitempty"`
}

func encodeOutput(echo json.RawMessage) json.RawMessage {
	data, err := json.Marshal(taskOutput{
		Echo: echo,
	})
	if err != nil {
		panic("worker: encoding an output: " + err.Error())
	}
	return data
}

// closedChannel is the channel done of tasks that never started.
var closedChannel = func() chan struct{} {
	closed := make(chan struct{})
	close(closed)
	return closed
}()
