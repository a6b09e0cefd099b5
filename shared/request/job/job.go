package job

import (
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"
)

const (
	// MaxTasks is the largest number of tasks in one job.
	MaxTasks = 580
	// MaxRunMs is the longest declared run time of one task, in milliseconds.
	MaxRunMs = 60_000
	// MaxDeadlineMs is the longest deadline of a job, in milliseconds from its
	// arrival.
	MaxDeadlineMs = 300_000
	// DefaultDeadlineMs is the deadline, in milliseconds from the arrival, of a job
	// for which neither the caller nor the plan sets one.
	DefaultDeadlineMs = 30_000
	// MaxPayloadBytes is the largest size of the payload of one task.
	MaxPayloadBytes = 16 << 10
)

// ErrInvalid is wrapped by all errors of Parse and Job.Validate.
var ErrInvalid = eris.New("invalid job")

// Job is a set of tasks of one kind that is answered as a whole. A DeadlineMs of 0
// means that the caller sets no deadline.
type Job struct {
	Kind       string `json:"kind"`
	Team       string `json:"team,omitempty"`
	DeadlineMs int64  `json:"deadline-ms,omitempty"`
	Tasks      []Task `json:"tasks"`
}

// Task is one unit of work, which one upstream runs in one slot. Cores, MemoryMb and
// Accelerators are the resources that the task occupies besides the slot. Payload is
// passed to the upstream.
type Task struct {
	// RunMs is the run time on an upstream of speed 1 as declared by the caller.
	RunMs        int64           `json:"run-ms"`
	Cores        int             `json:"cores,omitempty"`
	MemoryMb     int             `json:"memory-mb,omitempty"`
	Accelerators int             `json:"accelerators,omitempty"`
	Payload      json.RawMessage `json:"payload,omitempty"`
}

// Validate returns an error that wraps ErrInvalid and names the first missing field
// or field out of bounds, or nil if the job is valid.
func (job *Job) Validate() error {
	if job.Kind == "" {
		return invalid("kind is missing")
	}
	if len(job.Tasks) == 0 {
		return invalid("tasks is empty")
	}
	if len(job.Tasks) > MaxTasks {
		return invalid(fmt.Sprintf("tasks has %d entries, at most %d are allowed", len(job.Tasks), MaxTasks))
	}
	if job.DeadlineMs < 0 || job.DeadlineMs > MaxDeadlineMs {
		return invalid(fmt.Sprintf("deadline-ms is %d, allowed are 0 to %d", job.DeadlineMs, MaxDeadlineMs))
	}
	for i := range job.Tasks {
		if err := job.Tasks[i].validate(i); err != nil {
			return err
		}
	}
	return nil
}

// validate checks a task; index is its position in the job, for the error text.
func (task *Task) validate(index int) error {
	if task.RunMs < 1 || task.RunMs > MaxRunMs {
		return invalid(fmt.Sprintf("tasks[%d].run-ms is %d, allowed are 1 to %d", index, task.RunMs, MaxRunMs))
	}
	if task.Cores < 0 || task.MemoryMb < 0 || task.Accelerators < 0 {
		return invalid(fmt.Sprintf("tasks[%d] asks for a negative resource", index))
	}
	if len(task.Payload) > MaxPayloadBytes {
		return invalid(fmt.Sprintf("tasks[%d].payload has %d bytes, at most %d are allowed",
			index, len(task.Payload), MaxPayloadBytes))
	}
	return nil
}

func invalid(reason string) error {
	return eris.Wrap(ErrInvalid, reason)
}
