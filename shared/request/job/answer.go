package job

import "encoding/json"

// Outcome is the closed set of results of a submission.
type Outcome string

// The outcomes.
const (
	// Complete means that every task ran and Results holds all results.
	Complete Outcome = "complete"
	// Failed means that the job has no whole result; Started says what is
	// known about its tasks.
	Failed Outcome = "failed"
	// Refused means that no task of the job ran or will run.
	Refused Outcome = "refused"
)

// Started says whether any task of a failed job started.
type Started string

// The values of Started.
const (
	StartedYes     Started = "yes"
	StartedNo      Started = "no"
	StartedUnknown Started = "unknown"
)

// Reason is a stable, machine-readable cause of a failed or refused job.
type Reason string

// The reasons.
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

// Answer is the whole answer to one submission. Results has one entry per
// task, in task order, if and only if Outcome is Complete.
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
	// IdealMs is the response time that the owner regards as ideal.
	IdealMs int64 `json:"ideal-ms"`
	// Messages counts the messages exchanged with upstreams for this job.
	Messages int64 `json:"messages,omitempty"`
}

// Result is the result of one task.
type Result struct {
	Index    int             `json:"index"`
	Upstream string          `json:"upstream"`
	RunMs    int64           `json:"run-ms"`
	Output   json.RawMessage `json:"output,omitempty"`
}

// Refusal returns a refused answer. It must only be used where no task of
// the job can have started.
func Refusal(reason Reason, detail string) Answer {
	return Answer{
		Outcome: Refused,
		Started: StartedNo,
		Reason:  reason,
		Detail:  detail,
	}
}

// Failure returns a failed answer.
func Failure(started Started, reason Reason, detail string) Answer {
	return Answer{
		Outcome: Failed,
		Started: started,
		Reason:  reason,
		Detail:  detail,
	}
}
