package job

import "encoding/json"

// Outcome says how a submission ended.
type Outcome string

// The values of Outcome.
const (
	// Complete means that all tasks ran and Results holds their results.
	Complete Outcome = "complete"
	// Failed means that the job has no complete result. Started says whether
	// any of its tasks started.
	Failed Outcome = "failed"
	// Refused means that no task of the job has run or will run.
	Refused Outcome = "refused"
)

// Started says whether any task of a job without a complete result started.
type Started string

// The values of Started.
const (
	StartedYes     Started = "yes"
	StartedNo      Started = "no"
	StartedUnknown Started = "unknown"
)

// Reason is a machine-readable cause of a failed or refused job. The values are stable.
type Reason string

// The values of Reason. No code returns those without a comment at present.
const (
	ReasonInvalid        Reason = "invalid"        // the request or the job is malformed or out of bounds
	ReasonUnknownKind    Reason = "unknown-kind"   // the plan has no rule for the team and kind
	ReasonImpossible     Reason = "impossible"     // no upstream has the capacity for one of the tasks
	ReasonOverload       Reason = "overload"       // the queue is full or the predicted end is after the deadline
	ReasonDeadline       Reason = "deadline"       // the deadline passed before the job ended
	ReasonQuota          Reason = "quota"          // a task needs more than the plan allows
	ReasonCancelled      Reason = "cancelled"      // the caller cancelled the job
	ReasonTaskFailed     Reason = "task-failed"    // the run of a task failed
	ReasonUpstreamLost   Reason = "upstream-lost"  // an upstream stopped a task or its state is unknown
	ReasonOwnerGone      Reason = "owner-gone"     // the owner has stopped or knows nothing of the submission ID
	ReasonNotDelivered   Reason = "not-delivered"  // the job did not reach its owner
	ReasonDeliveryLost   Reason = "delivery-lost"  // the connection to the owner was lost
	ReasonExpired        Reason = "expired"        // the submission ID has expired
	ReasonForged         Reason = "forged"         // the submission ID has a wrong MAC
	ReasonWrongTeam      Reason = "wrong-team"     // the submission ID belongs to another team
	ReasonAnswerEvicted  Reason = "answer-evicted" // the job ended and its answer is no longer kept
	ReasonKeyUnbound     Reason = "key-unbound"    // the idempotency key could not be bound to a submission ID
	ReasonNotReady       Reason = "not-ready"      // the entry VM has no plan or knows no upstream
	ReasonStopping       Reason = "stopping"       // the entry VM is stopping
	ReasonEvacuated      Reason = "evacuated"      // operators have evacuated the failure domain
	ReasonRetriesUsedUp  Reason = "retries-used-up"
	ReasonNotIdempotent  Reason = "not-idempotent"
	ReasonPaused         Reason = "paused" // the lease of a task expired while the entry VM was paused
	ReasonAnswerTooLarge Reason = "answer-too-large"
)

// Answer is the answer to one submission. If Outcome is Complete, Results has one
// entry per task, in task order; otherwise it is empty. Started and Reason are set for
// jobs that failed or were refused, and Detail explains the reason to people.
// RetryAfterMs is the delay after which the caller may submit the job again; 0 means no
// advice.
type Answer struct {
	SubmissionID string   `json:"submission-id"`
	Outcome      Outcome  `json:"outcome"`
	Started      Started  `json:"started,omitempty"`
	Reason       Reason   `json:"reason,omitempty"`
	Detail       string   `json:"detail,omitempty"`
	RetryAfterMs int64    `json:"retry-after-ms,omitempty"`
	Results      []Result `json:"results,omitempty"`
	// ElapsedMs is the time from the job's arrival at its owner to its end.
	ElapsedMs int64 `json:"elapsed-ms"`
	// IdealMs is the ideal response time according to the owner's estimate: the run
	// time of the longest task on the fastest upstream, or the time that the total
	// capacity needs for all tasks if that is longer, plus the network round trip.
	IdealMs int64 `json:"ideal-ms"`
	// Messages is the number of messages exchanged with upstreams for this job.
	Messages int64 `json:"messages,omitempty"`
}

// Result is the result of one task. Upstream is the ID of the upstream that ran it, and
// Output is what the upstream returned.
type Result struct {
	Index    int             `json:"index"`
	Upstream string          `json:"upstream"`
	RunMs    int64           `json:"run-ms"`
	Output   json.RawMessage `json:"output,omitempty"`
}

// Refusal returns an answer with the outcome Refused. It must only be used if no task
// of the job can have started.
func Refusal(reason Reason, detail string) Answer {
	return Answer{
		Outcome: Refused,
		Started: StartedNo,
		Reason:  reason,
		Detail:  detail,
	}
}

// Failure returns an answer with the outcome Failed.
func Failure(started Started, reason Reason, detail string) Answer {
	return Answer{
		Outcome: Failed,
		Started: started,
		Reason:  reason,
		Detail:  detail,
	}
}
