package dispatch

import (
	"encoding/json"
	"time"

	"tanagerfall/shared/connection/upstream"
	"tanagerfall/shared/request/job"
	"tanagerfall/shared/request/placement"
	"tanagerfall/shared/request/submission"
	"tanagerfall/shared/version/plan"
)

// Event is an input of the Core: something that happened outside it.
type Event interface{ event() }

// Proof is the reason why it is certain that an attempt did not start.
type Proof string

// Proofs that an attempt did not start.
const (
	// ProofDialRefused: the upstream refused the connection.
	ProofDialRefused Proof = "dial-refused"
	// ProofNeverSent: no byte of the request was sent.
	ProofNeverSent Proof = "never-sent"
	// ProofRefused: the upstream refused the task.
	ProofRefused Proof = "upstream-refused"
	// ProofNeverStarted: the upstream reports that the attempt never started.
	ProofNeverStarted Proof = "never-started"
)

// Events that Core.Handle applies.
type (
	// JobAccepted reports that the ledger spent a submission ID on a job. The job
	// is valid and its team is set.
	JobAccepted struct {
		Key submission.Key
		Job job.Job
		// Single is set for a single request. Such a job is repeated after an attempt
		// with an unknown outcome if the plan marks its kind idempotent.
		Single bool
	}
	// JobCancelled reports that the caller cancelled the job.
	JobCancelled struct {
		Key submission.Key
	}
	// TaskEnded reports that a task started and ended. OK is false if it ended
	// without a result; Reason then says why.
	TaskEnded struct {
		Task     upstream.TaskID
		Upstream string
		OK       bool
		// RunMs is the run time in milliseconds.
		RunMs  int64
		Output json.RawMessage
		Reason string
	}
	// TaskNotStarted reports, with proof, that an attempt did not start and never
	// will.
	TaskNotStarted struct {
		Task     upstream.TaskID
		Upstream string
		Proof    Proof
	}
	// TaskLost reports that the connection of a task broke, so that it is unknown
	// whether the task started.
	TaskLost struct {
		Task     upstream.TaskID
		Upstream string
	}
	// QueryAnswered carries an upstream's answer to a QueryUpstream.
	QueryAnswered struct {
		Upstream string
		Query    QueryUpstream
		Response upstream.LeaseResponse
	}
	// QueryFailed reports that a QueryUpstream got no answer.
	QueryFailed struct {
		Upstream string
		Query    QueryUpstream
	}
	// FleetChanged carries all upstreams that this VM may place tasks on.
	// Upstreams that are missing or listed in Leaving get no new tasks.
	FleetChanged struct {
		// Upstreams are owned by this VM; slots lent to peers are left out.
		Upstreams []placement.Upstream
		// Borrowed are slots of upstreams that peers own. Other VMs run tasks there,
		// so this VM does not query their occupancy.
		Borrowed []placement.Upstream
		// Leaving holds the IDs of upstreams that finish their tasks and get no new
		// ones.
		Leaving []string
		// DomainUpstreams lists all upstreams of the failure domain, whoever owns
		// them. A task that fits one of them can run on borrowed slots. It may be
		// empty if nothing can be borrowed.
		DomainUpstreams []placement.Upstream
	}
	// AllowancesChanged carries the number of slots that this VM may use for each
	// rule with a cap. Rules that are missing keep the whole cap of the plan.
	AllowancesChanged struct {
		Allowances []Allowance
	}
	// UpstreamDraining reports that an upstream signalled that it is draining.
	UpstreamDraining struct {
		Upstream string
	}
	// PlanChanged carries the plan in force.
	PlanChanged struct {
		Plan *plan.Plan
	}
	// Tick makes the Core run the timers that are due.
	Tick struct{}
)

func (JobAccepted) event()       {}
func (JobCancelled) event()      {}
func (TaskEnded) event()         {}
func (TaskNotStarted) event()    {}
func (TaskLost) event()          {}
func (QueryAnswered) event()     {}
func (QueryFailed) event()       {}
func (FleetChanged) event()      {}
func (AllowancesChanged) event() {}
func (UpstreamDraining) event()  {}
func (PlanChanged) event()       {}
func (Tick) event()              {}

// Allowance is this VM's part of the cap of a team for a kind.
type Allowance struct {
	Team  string
	Kind  string
	Slots int
}

// Decision is an output of the Core: something that its caller must do.
type Decision interface{ decision() }

// Decisions that Core.Handle returns.
type (
	// StartTask starts one attempt of a task. Exactly one of TaskEnded,
	// TaskNotStarted and TaskLost must follow.
	StartTask struct {
		Task     upstream.TaskID
		Upstream string
		Kind     string
		Spec     job.Task
		Lease    time.Duration
		Deadline time.Time
	}
	// QueryUpstream sends a status query about tasks to an upstream, on a new
	// connection. Exactly one of QueryAnswered and QueryFailed must follow.
	QueryUpstream struct {
		Upstream string
		// Renew lists the attempts whose leases are extended to Lease, Cancel those
		// that the upstream must stop.
		Renew  []upstream.TaskID
		Cancel []upstream.TaskID
		Lease  time.Duration
		// ListTasks requests the list of all tasks that run on the upstream.
		ListTasks bool
	}
	// DropConnection closes the connection of an attempt that was settled without
	// it. No event follows for the attempt.
	DropConnection struct {
		Task upstream.TaskID
	}
	// FinishJob carries the answer of a job. It is emitted once for each
	// JobAccepted.
	FinishJob struct {
		Key    submission.Key
		Answer job.Answer
	}
)

func (StartTask) decision()      {}
func (QueryUpstream) decision()  {}
func (DropConnection) decision() {}
func (FinishJob) decision()      {}
