package limit

import "time"

// Admission decides whether a whole job may enter the queue.
type Admission struct {
	// MaxTasks bounds the waiting tasks of all jobs together.
	MaxTasks int
	// MinRetryAfter and MaxRetryAfter bound the advice to a refused caller.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
}

// Request describes a job that asks to enter the queue.
type Request struct {
	// Tasks is the number of tasks of the job.
	Tasks int
	// Waiting is the number of tasks that wait already.
	Waiting int
	// Deadline is the time by which the job must have ended.
	Deadline time.Time
	// Predicted is the time at which the job would end if it were admitted.
	Predicted time.Time
	// Drain is the time in which the present queue would empty.
	Drain time.Duration
}

// Cause says why a job may not enter.
type Cause uint8

// The causes.
const (
	// Admitted means that the job may enter.
	Admitted Cause = iota
	// QueueFull means that the queue has no place for all tasks of the job.
	QueueFull
	// TooLate means that the job would end after its deadline.
	TooLate
)

// Verdict is the answer of Admission.
type Verdict struct {
	Cause Cause
	// RetryAfter is the time after which a new try may succeed; it is zero
	// for an admitted job.
	RetryAfter time.Duration
}

// Decide returns the verdict on a request.
func (admission Admission) Decide(request Request) Verdict {
	if request.Waiting+request.Tasks > admission.MaxTasks {
		return Verdict{
			Cause:      QueueFull,
			RetryAfter: admission.retryAfter(request.Drain / 2),
		}
	}
	if request.Predicted.After(request.Deadline) {
		return Verdict{
			Cause:      TooLate,
			RetryAfter: admission.retryAfter(request.Predicted.Sub(request.Deadline)),
		}
	}
	return Verdict{}
}

func (admission Admission) retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, admission.MinRetryAfter), admission.MaxRetryAfter)
}
