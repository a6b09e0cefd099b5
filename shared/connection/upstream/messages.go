package upstream

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"tanagerfall/shared/request/submission"
)

// The paths of the workers' protocol.
const (
	PathTasks   = "/v1/tasks"
	PathLeases  = "/v1/leases"
	PathJournal = "/v1/journal"
)

// ErrMalformedTaskID is wrapped by the errors of ParseTask.
var ErrMalformedTaskID = eris.New("malformed task ID")

// TaskID names one attempt to run a task of a submission.
type TaskID struct {
	Key     submission.Key
	Index   int
	Attempt int
}

// String returns the task ID on the wire:
// <incarnation, 16 hex digits>-<counter>-<index>-<attempt>.
func (task TaskID) String() string {
	return fmt.Sprintf("%s-%d-%d", task.Key, task.Index, task.Attempt)
}

// ParseTaskID parses a task ID. The error wraps ErrTaskID.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, "-")
	if len(parts) != 4 || len(parts[0]) != 16 {
		return TaskID{}, eris.Wrapf(ErrMalformedTaskID, "%.64q", text)
	}
	incarnation, err := strconv.ParseUint(parts[0], 16, 64)
	if err != nil {
		return TaskID{}, eris.Wrapf(ErrMalformedTaskID, "%.64q", text)
	}
	counter, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return TaskID{}, eris.Wrapf(ErrMalformedTaskID, "%.64q", text)
	}
	index, err := strconv.Atoi(parts[2])
	if err != nil || index < 0 {
		return TaskID{}, eris.Wrapf(ErrMalformedTaskID, "%.64q", text)
	}
	attempt, err := strconv.Atoi(parts[3])
	if err != nil || attempt < 0 {
		return TaskID{}, eris.Wrapf(ErrMalformedTaskID, "%.64q", text)
	}
	return TaskID{
		Key: submission.Key{
			Incarnation: incarnation,
			Counter:     counter,
		},
		Index:   index,
		Attempt: attempt,
	}, nil
}

// StartRequest is the body of POST /v1/tasks. The response is held until the
// task ends.
type StartRequest struct {
	TaskID string `json:"task-id"`
	// Owner is the peer address of the entry VM that holds the lease.
	Owner        string `json:"owner"`
	Kind         string `json:"kind"`
	RunMs        int64  `json:"run-ms"`
	Cores        int    `json:"cores,omitempty"`
	MemoryMb     int    `json:"memory-mb,omitempty"`
	Accelerators int    `json:"accelerators,omitempty"`
	// LeaseMs is the time after which the worker stops the task unless the
	// lease is renewed.
	LeaseMs int64 `json:"lease-ms"`
	// DeadlineMs is the time left until the caller's deadline.
	DeadlineMs int64           `json:"deadline-ms"`
	Payload    json.RawMessage `json:"payload,omitempty"`
}

// TaskState is what a worker knows of a task.
type TaskState string

// The task states on the wire.
const (
	// Finished: the task ran to its end and the result is attached.
	Finished TaskState = "finished"
	// TaskFailed: the task started and ended without a result.
	TaskFailed TaskState = "failed"
	// StillRunning: the task runs; its lease was renewed if asked for.
	StillRunning TaskState = "running"
	// NeverStarted: the task did not start, and the worker keeps a tombstone
	// so that it never will.
	NeverStarted TaskState = "never-started"
	// Stopped: the task started and was stopped by a cancel or by the end of
	// its lease.
	Stopped TaskState = "stopped"
)

// ReasonRestarted comes with TaskFailed for a task that the worker does not
// know and that may have started before the worker restarted.
const ReasonRestarted = "restarted"

// TaskReport is one task's state, in the answer to POST /v1/tasks (status 200
// for Finished, TaskFailed and Stopped; 503 for NeverStarted) and in lease
// answers.
type TaskReport struct {
	TaskID string          `json:"task-id"`
	State  TaskState       `json:"state"`
	Reason string          `json:"reason,omitempty"`
	RunMs  int64           `json:"run-ms,omitempty"`
	Output json.RawMessage `json:"output,omitempty"`
	// Draining tells that the worker takes no new tasks.
	Draining bool `json:"draining,omitempty"`
}

// LeaseRequest is the body of POST /v1/leases. It is sent on a new connection
// whenever an existing connection is in doubt.
type LeaseRequest struct {
	Owner string `json:"owner"`
	// Renew lists tasks whose leases are to be renewed by LeaseMs. The worker
	// answers a task that it does not know with NeverStarted and keeps a
	// tombstone for it.
	Renew   []string `json:"renew,omitempty"`
	LeaseMs int64    `json:"lease-ms"`
	// Cancel lists tasks to be stopped, or never to be started.
	Cancel []string `json:"cancel,omitempty"`
	// ListTasks asks for all running tasks of the worker in Occupancy.
	ListTasks bool `json:"list,omitempty"`
}

// LeaseResponse is the answer to a LeaseRequest: one report for each task
// named in Renew and Cancel.
type LeaseResponse struct {
	Tasks    []TaskReport `json:"tasks,omitempty"`
	Draining bool         `json:"draining,omitempty"`
	Slots    int          `json:"slots"`
	Used     int          `json:"used"`
	// UptimeMs is the time since the worker's process started. A restarted
	// worker has forgotten its tasks, so NeverStarted is a proof only for
	// attempts that were sent within it; without it there is no proof.
	UptimeMs int64 `json:"uptime-ms"`
	// Occupancy lists the running tasks, if asked for.
	Occupancy []Occupant `json:"occupancy,omitempty"`
}

// Occupant is a running task and the time left of its lease.
type Occupant struct {
	TaskID  string `json:"task-id"`
	Owner   string `json:"owner"`
	LeaseMs int64  `json:"lease-ms"`
}

// JournalEntry is one start that a stand-in worker made, for checkers.
type JournalEntry struct {
	TaskID string `json:"task-id"`
	AtMs   int64  `json:"at-ms"`
	Worker string `json:"worker"`
	Kind   string `json:"kind"`
}
