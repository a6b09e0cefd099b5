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

// Event is something that happened, told to the Core.
type Event interface{ event() }

// Proof says why it is certain that a task did not start.
type Proof string

// The proofs.
const (
	ProofDialRefused  Proof = "dial-refused"
	ProofNeverSent    Proof = "never-sent"
	ProofRefused      Proof = "upstream-refused"
	ProofNeverStarted Proof = "never-started"
)

// The events.
type (
	// JobAccepted tells that the ledger spent an ID on a job. The job is
	// valid and its team is set.
	JobAccepted struct {
		Key submission.Key
		Job job.Job
		// Single is set for a single request. It may run again after an
		// ambiguous loss if the plan marks its kind idempotent.
		Single bool
	}
	// JobCancelled tells that the caller gave the job up.
	JobCancelled struct {
		Key submission.Key
	}
	// TaskEnded tells that a task started and ended. OK is false where it
	// ended without a result.
	TaskEnded struct {
		Task     upstream.Task
		Upstream string
		OK       bool
		RunMs    int64
		Output   json.RawMessage
		Reason   string
	}
	// TaskNotStarted tells, with proof, that an attempt did not start and
	// never will.
	TaskNotStarted struct {
		Task     upstream.Task
		Upstream string
		Proof    Proof
	}
	// TaskLost tells that the connection that carried a task broke, so that
	// it is open whether the task started.
	TaskLost struct {
		Task     upstream.Task
		Upstream string
	}
	// QueryAnswered carries an upstream's answer to an AskUpstream.
	QueryAnswered struct {
		Upstream string
		Query    QueryUpstream
		Response upstream.LeaseResponse
	}
	// QueryFailed tells that an AskUpstream got no answer.
	QueryFailed struct {
		Upstream string
		Query    QueryUpstream
	}
	// FleetChanged carries all upstreams that this VM may place tasks on.
	// Upstreams that are missing or listed in Leaving get nothing new.
	FleetChanged struct {
		// Upstreams are owned by this VM, without the slots lent to peers.
		Upstreams []placement.Upstream
		// Borrowed are slots of upstreams that peers own. Other VMs run tasks
		// there, so their occupancy is not asked for.
		Borrowed []placement.Upstream
		Leaving  []string
		// DomainUpstreams lists all upstreams of the failure domain, whoever owns them.
		// A task that fits one of them can run on borrowed slots. It may be
		// empty where nothing can be borrowed.
		DomainUpstreams []placement.Upstream
	}
	// AllowancesChanged carries how many slots this VM may give to each rule
	// with a cap. Rules that are missing have the whole cap of the plan.
	AllowancesChanged struct {
		Allowances []Allowance
	}
	// UpstreamDraining tells that an upstream gave its own drain signal.
	UpstreamDraining struct {
		Upstream string
	}
	// PlanChanged carries the plan in force.
	PlanChanged struct {
		Plan *plan.Plan
	}
	// Tick lets the Core act on the passage of time.
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

// Decision is something the Core wants done.
type Decision interface{ decision() }

// The decisions.
type (
	// StartTask asks for one attempt to run a task. Exactly one of TaskEnded,
	// TaskNotStarted and TaskLost must follow.
	StartTask struct {
		Task     upstream.Task
		Upstream string
		Kind     string
		Spec     job.Task
		Lease    time.Duration
		Deadline time.Time
	}
	// QueryUpstream asks an upstream, on a new connection, about tasks. Exactly
	// one of LeaseAnswered and LeaseFailed must follow.
	QueryUpstream struct {
		Upstream string
		Renew    []upstream.Task
		Cancel   []upstream.Task
		Lease    time.Duration
		// ListTasks asks for the upstream's running tasks.
		ListTasks bool
	}
	// DropConnection gives up the connection that carries a task whose fate
	// was settled otherwise. No event follows for the task.
	DropConnection struct {
		Task upstream.Task
	}
	// FinishJob carries the answer of a job. It comes once for each
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
