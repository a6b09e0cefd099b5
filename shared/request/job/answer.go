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

// The values of Reason.
const (
	ReasonInvalid        Reason = "invalid"
	ReasonUnknownKind    Reason = "unknown-kind"
	ReasonImpossible     Reason = "impossible"
	ReasonOverload       Reason = "overload"
	ReasonDeadline       Reason = "deadline"
	ReasonQuota          Reason = "quota"
	ReasonCancelled      Reason = "cancelled"
	ReasonTaskFailed     Reason = "task-failed"
	ReasonUpstreamLost   Reason = "upstream-lost"
	ReasonOwnerGone      Reason = "owner-gone"
	ReasonNotDelivered   Reason = "not-delivered"
	ReasonDeliveryLost   Reason = "delivery-lost"
	ReasonExpired        Reason = "expired"
	ReasonForged         Reason = "forged"
	ReasonWrongTeam      Reason = "wrong-team"
	ReasonAnswerEvicted  Reason = "answer-evicted"
	ReasonKeyUnbound     Reason = "key-unbound"
	ReasonNotReady       Reason = "not-ready"
	ReasonStopping       Reason = "stopping"
	ReasonRetriesUsedUp  Reason = "retries-used-up"
	ReasonNotIdempotent  Reason = "not-idempotent"
	ReasonPaused         Reason = "paused"
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
	// IdealMs is the ideal response time according to the owner's estimate.
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
