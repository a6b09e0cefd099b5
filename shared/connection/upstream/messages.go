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

// ErrMalformedTaskID is wrapped by the errors of ParseTaskID.
var ErrMalformedTaskID = eris.New("malformed task ID")

// TaskID identifies one attempt to run a task of a submission.
type TaskID struct {
	Key submission.Key
	// Index is the position of the task in its job.
	Index int
	// Attempt numbers the attempts of the task.
	Attempt int
}

// String returns the form of the task ID on the wire, which is
// <incarnation, 16 hex digits>-<counter>-<index>-<attempt>.
func (taskID TaskID) String() string {
	return fmt.Sprintf("%s-%d-%d", taskID.Key, taskID.Index, taskID.Attempt)
}

// ParseTaskID parses the form that String returns. The error wraps
// ErrMalformedTaskID.
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

// StartRequest is the body of POST /v1/tasks. The response is sent when the task
// ends.
type StartRequest struct {
	TaskID string `json:"task-id"`
	// Owner is the peer address of the entry VM that holds the lease.
	Owner string `json:"owner"`
	Kind  string `json:"kind"`
	// RunMs is the declared run time of the task.
	RunMs        int64 `json:"run-ms"`
	Cores        int   `json:"cores,omitempty"`
	MemoryMb     int   `json:"memory-mb,omitempty"`
	Accelerators int   `json:"accelerators,omitempty"`
	// LeaseMs is the duration of the lease. The worker stops the task when the
	// lease expires.
	LeaseMs int64 `json:"lease-ms"`
	// DeadlineMs is the time left until the caller's deadline.
	DeadlineMs int64           `json:"deadline-ms"`
	Payload    json.RawMessage `json:"payload,omitempty"`
}

// TaskState is the state of a task as the worker reports it.
type TaskState string

// The task states on the wire.
const (
	// Finished means that the task ran to its end. The report has its result.
	Finished TaskState = "finished"
	// TaskFailed means that the task started and ended without a result.
	TaskFailed TaskState = "failed"
	// StillRunning means that the task is running. Its lease was renewed if the
	// request named it in Renew.
	StillRunning TaskState = "running"
	// NeverStarted means that the task did not start. The worker keeps a
	// tombstone for it, so that it never will.
	NeverStarted TaskState = "never-started"
	// Stopped means that the task started and was stopped because it was
	// cancelled or its lease expired.
	Stopped TaskState = "stopped"
)

// ReasonRestarted is the reason of TaskFailed for a task that the worker does not
// know and that may have started before the worker restarted.
const ReasonRestarted = "restarted"

// TaskReport is the state of one task. It is the response to POST /v1/tasks, with
// status 200 for Finished, TaskFailed and Stopped and 503 for NeverStarted, and
// part of a LeaseResponse.
type TaskReport struct {
	TaskID string    `json:"task-id"`
	State  TaskState `json:"state"`
	// Reason says why the task is in its state, for example ReasonRestarted.
	Reason string `json:"reason,omitempty"`
	// RunMs is how long the task ran.
	RunMs  int64           `json:"run-ms,omitempty"`
	Output json.RawMessage `json:"output,omitempty"`
	// Draining is set if the worker accepts no new tasks.
	Draining bool `json:"draining,omitempty"`
}

// LeaseRequest is the body of POST /v1/leases, the status query. It is sent on a
// new connection whenever an existing connection is in doubt.
type LeaseRequest struct {
	// Owner is the peer address of the entry VM that holds the leases.
	Owner string `json:"owner"`
	// Renew lists the IDs of tasks whose leases are renewed for LeaseMs. The
	// worker reports a task that it does not know as NeverStarted and keeps a
	// tombstone for it.
	Renew   []string `json:"renew,omitempty"`
	LeaseMs int64    `json:"lease-ms"`
	// Cancel lists the IDs of tasks that the worker must stop or never start.
	Cancel []string `json:"cancel,omitempty"`
	// ListTasks requests that the worker list all of its running tasks in
	// Occupancy.
	ListTasks bool `json:"list,omitempty"`
}

// LeaseResponse is the response to a LeaseRequest.
type LeaseResponse struct {
	// Tasks holds one report for each task in Renew and Cancel.
	Tasks []TaskReport `json:"tasks,omitempty"`
	// Draining is set if the worker accepts no new tasks.
	Draining bool `json:"draining,omitempty"`
	// Slots is the number of slots of the worker.
	Slots int `json:"slots"`
	// Used is the number of slots that run tasks.
	Used int `json:"used"`
	// UptimeMs is the time since the worker's process started. A restart loses
	// the worker's tasks, so NeverStarted is a proof only for attempts that were
	// sent within this time. Without UptimeMs it is no proof.
	UptimeMs int64 `json:"uptime-ms"`
	// Occupancy lists the running tasks if ListTasks was set.
	Occupancy []Occupant `json:"occupancy,omitempty"`
}

// Occupant is a running task, which occupies a slot of the worker.
type Occupant struct {
	TaskID string `json:"task-id"`
	Owner  string `json:"owner"`
	// LeaseMs is the time left until the task's lease expires.
	LeaseMs int64 `json:"lease-ms"`
}

// JournalEntry is one start of a task in the journal of a stand-in worker, from
// which test tools check how often each task started.
type JournalEntry struct {
	TaskID string `json:"task-id"`
	// AtMs is the time of the start in Unix ms.
	AtMs   int64  `json:"at-ms"`
	Worker string `json:"worker"`
	Kind   string `json:"kind"`
}
