package limit

import "time"

// Admission decides whether a job is admitted to the queue. A job is admitted or
// refused as a whole.
type Admission struct {
	// MaxTasks is the largest number of waiting tasks of all jobs.
	MaxTasks int
	// MinRetryAfter and MaxRetryAfter bound the RetryAfter of a Decision that
	// refuses a job.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
}

// Request describes a job to be admitted and the state of the queue.
type Request struct {
	// Tasks is the number of tasks of the job.
	Tasks int
	// WaitingTasks is the number of tasks in the queue.
	WaitingTasks int
	// Deadline is the time by which the job must have ended.
	Deadline time.Time
	// PredictedEnd is the time at which the job would end if it were admitted.
	PredictedEnd time.Time
	// DrainTime is the predicted time until the present queue is empty.
	DrainTime time.Duration
}

// Cause is the reason why a job is refused.
type Cause uint8

// The values of Cause.
const (
	// Admitted means that the job is not refused.
	Admitted Cause = iota
	// QueueFull means that the tasks of the job would exceed MaxTasks.
	QueueFull
	// TooLate means that the predicted end of the job is after its deadline.
	TooLate
)

// Decision is the result of Admission.Decide.
type Decision struct {
	Cause Cause
	// RetryAfter is the delay after which the caller may submit the job again.
	// It is zero for an admitted job.
	RetryAfter time.Duration
}

// Decide admits or refuses a job. For a full queue, RetryAfter is half of the drain
// time; for a missed deadline, it is the time by which the job would be late.
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
