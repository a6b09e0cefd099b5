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
	// WaitingTasks is the number of tasks that wait already.
	WaitingTasks int
	// Deadline is the time by which the job must have ended.
	Deadline time.Time
	// PredictedEnd is the time at which the job would end if it were admitted.
	PredictedEnd time.Time
	// DrainTime is the time in which the present queue would empty.
	DrainTime time.Duration
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

// Decision is the answer of Admission.
type Decision struct {
	Cause Cause
	// RetryAfter is the time after which a new try may succeed; it is zero
	// for an admitted job.
	RetryAfter time.Duration
}

// Decide returns the verdict on a request.
func (admission Admission) Decide(request Request) Decision {
	if request.WaitingTasks+request.Tasks > admission.MaxTasks {
		return Decision{
			Cause:      QueueFull,
			RetryAfter: admission.retryAfter(request.DrainTime / 2),
		}
	}
	if request.PredictedEnd.After(request.Deadline) {
		return Decision{
			Cause:      TooLate,
			RetryAfter: admission.retryAfter(request.PredictedEnd.Sub(request.Deadline)),
		}
	}
	return Decision{}
}

func (admission Admission) retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, admission.MinRetryAfter), admission.MaxRetryAfter)
}
