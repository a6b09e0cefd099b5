package cell

import (
	"time"

	"github.com/rotisserie/eris"
)

// Job is a job as an entry VM submits it. Times are relative because the clocks
// of VMs differ.
type Job struct {
	// ID identifies the job. The caller chooses it.
	ID string `cbor:"1,keyasint"`
	// Kind names a class of jobs with similar run times.
	Kind string `cbor:"2,keyasint"`
	// Service is the service whose upstreams can run the tasks.
	Service string `cbor:"3,keyasint"`
	// Spec is passed to the upstream with each start.
	Spec  string `cbor:"4,keyasint"`
	Steps []Step `cbor:"5,keyasint"`
	// MaxAttempts is the number of failed runs of one task that fails the job.
	MaxAttempts int `cbor:"6,keyasint"`
	// The latency objective of the job is Stretch times the estimated run time,
	// plus Objective.
	Stretch   float64       `cbor:"7,keyasint"`
	Objective time.Duration `cbor:"8,keyasint"`
	// Age is the time since the entry VM received the job.
	Age time.Duration `cbor:"9,keyasint"`
	// TimeLeft is the time until the job has to be answered.
	TimeLeft time.Duration `cbor:"10,keyasint"`
	// Generation counts the earlier Cells that had the job. Run numbers start
	// from it, so that they rise from one Cell to the next.
	Generation int `cbor:"11,keyasint,omitempty"`
	// Quarantine is how long a previous Cell may still act on the job. Tasks
	// without an adopted run start only after it, unless all upstreams were
	// polled.
	Quarantine time.Duration `cbor:"12,keyasint,omitempty"`
	// Priority orders the jobs that miss their objective; 0 goes first.
	Priority int `cbor:"13,keyasint,omitempty"`
	// Released is set if the previous Cell sent a Release for the job. Runs of the
	// job may then exist only on the upstreams in RunsAt.
	Released bool `cbor:"14,keyasint,omitempty"`
	// RunsAt holds the IDs of upstreams on which runs of the job may exist.
	RunsAt []string `cbor:"15,keyasint,omitempty"`
	// NotStarted is set if no Cell has ordered a start for an earlier submission.
	NotStarted bool `cbor:"16,keyasint,omitempty"`
	// Spilled is set if another cell has handed the job over, or should have had
	// it. It is not handed over again.
	Spilled bool `cbor:"17,keyasint,omitempty"`
	// RunsElsewhere is set by earlier versions if runs of the job may exist on upstreams of
	// another cell, so that only the end of the quarantine shows that they are over. Now
	// EarlierSets shows it.
	RunsElsewhere bool `cbor:"18,keyasint,omitempty"`
	// EarlierSets identifies the sets of upstreams that earlier schedulers knew which
	// may still act on the job. Runs of the job may exist on any upstream in them; AnyUpstreams
	// stands for those of the whole region.
	EarlierSets []uint64 `cbor:"19,keyasint,omitempty"`
	// ResentAfter is set if the caller has sent the job before, perhaps to another entry VM,
	// so that an earlier Cell may have had it although Generation is 0. It is the shortest
	// time that has passed since the connection of that request broke.
	ResentAfter time.Duration `cbor:"20,keyasint,omitempty"`
	// Domain is the failure domain of the entry VM that received the job.
	Domain string `cbor:"21,keyasint,omitempty"`
	// Submission is the number of the submission, which rises with each one of the process,
	// whatever its job; 0 is that of a version without numbers.
	Submission uint64 `cbor:"22,keyasint,omitempty"`
	// FirstSubmission is the first of the submissions of the job to the receiver that no
	// submission to another scheduler lies between.
	FirstSubmission uint64 `cbor:"23,keyasint,omitempty"`
	// NotStartedBefore is set if no Cell has ordered a start for a submission before
	// FirstSubmission. The receiver knows what it did with those from FirstSubmission on.
	NotStartedBefore bool `cbor:"24,keyasint,omitempty"`
}

// AnyUpstreams is the value in Job.EarlierSets that stands for any upstreams of the region.
const AnyUpstreams uint64 = 0

// ErrInvalidJob is wrapped by the errors of Validate.
var ErrInvalidJob = eris.New("invalid job")

// MaxTasks is the largest number of tasks of a job. It bounds the memory that one
// message can take; the largest jobs have 580.
const MaxTasks = 10_000

// Validate checks the parts of a job that a Cell relies on. The error wraps
// ErrInvalidJob.
func (job *Job) Validate() error {
	if job.ID == "" || len(job.Steps) == 0 {
		return eris.Wrap(ErrInvalidJob, "no ID or no steps")
	}
	tasks := 0
	for i, step := range job.Steps {
		if step.Count <= 0 || step.Count > MaxTasks-tasks {
			return eris.Wrapf(ErrInvalidJob, "step %d has %d tasks", i, step.Count)
		}
		tasks += step.Count
		if step.Need.MilliCores < 0 || step.Need.MemoryMb < 0 || step.Need.Accelerators < 0 {
			return eris.Wrapf(ErrInvalidJob, "step %d needs less than nothing", i)
		}
		for _, dependency := range step.DependsOn {
			if dependency < 0 || dependency >= i {
				return eris.Wrapf(ErrInvalidJob, "step %d depends on step %d", i, dependency)
			}
		}
	}
	return nil
}

// LatencyBudget returns how long the job may take by its latency objective if
// the run time of a task is ratio times its estimate.
func (job *Job) LatencyBudget(ratio float64) time.Duration {
	return job.Objective + time.Duration(job.Stretch*ratio*float64(longestChain(job.Steps)))
}

// LongestChain returns the declared run time of the longest chain of dependent steps.
func (job *Job) LongestChain() time.Duration { return longestChain(job.Steps) }

// neverStarted reports whether no task can have run before this Cell received
// the job. The first request of a job that was sent again may have run it.
func (job *Job) neverStarted() bool {
	return job.ResentAfter == 0 && (job.Generation == 0 || job.NotStarted)
}

// Release reports to an entry VM where runs of a job may still exist when a Cell steps
// down, so that the next Cell has to verify only these upstreams.
type Release struct {
	ID string `cbor:"1,keyasint"`
	// RunsAt lists the upstreams on which runs of the job may exist.
	RunsAt []string `cbor:"2,keyasint,omitempty"`
	// NotStarted is set if no start was ordered.
	NotStarted bool `cbor:"3,keyasint,omitempty"`
	// EntryVM is the entry VM that holds the job.
	EntryVM string `cbor:"-"`
	// Submission is the last submission of the job that the Cell received from EntryVM.
	Submission uint64 `cbor:"4,keyasint,omitempty"`
}

// Step is a set of equal tasks of a job.
type Step struct {
	// Count is the number of tasks.
	Count int `cbor:"1,keyasint"`
	// Need is what each task occupies.
	Need Resources `cbor:"2,keyasint"`
	// Estimate is the declared run time of a task at speed 1.
	Estimate time.Duration `cbor:"3,keyasint"`
	// DependsOn lists the indexes of the steps whose tasks must all be done
	// first.
	DependsOn []int `cbor:"4,keyasint,omitempty"`
	// Label must be among the upstream's labels unless it is empty.
	Label string `cbor:"5,keyasint,omitempty"`
	// NearRack is the label of the rack that holds the data.
	NearRack string `cbor:"6,keyasint,omitempty"`
	// MaxPerUpstream bounds the tasks of the step on one upstream; 0 means no
	// bound.
	MaxPerUpstream int `cbor:"7,keyasint,omitempty"`
}

// Upstream is a worker as the platform lists it.
type Upstream struct {
	ID string `cbor:"1,keyasint"`
	// Address is the host and port that receives orders.
	Address string `cbor:"2,keyasint"`
	Service string `cbor:"3,keyasint"`
	// Domain is the failure domain.
	Domain string `cbor:"4,keyasint"`
	// Slots bounds the runs on the upstream at one time.
	Slots int `cbor:"5,keyasint"`
	// Capacity is shared by all runs on the upstream.
	Capacity Resources `cbor:"6,keyasint"`
	Labels   []string  `cbor:"7,keyasint,omitempty"`
	// Leaving is set for an upstream that drains. It gets no new tasks.
	Leaving bool `cbor:"8,keyasint,omitempty"`
	// Incarnation is the start time of the worker's process in Unix ms; 0 if it
	// is not known.
	Incarnation int64 `cbor:"9,keyasint,omitempty"`
	// Removed is set for an upstream that was on the platform's list until
	// recently. It gets no new tasks but may still execute runs that another
	// process started.
	Removed bool `cbor:"10,keyasint,omitempty"`
	// ColdFor is the time from the reading of the list until the upstream, which has
	// started, has its full speed; 0 if it has.
	ColdFor time.Duration `cbor:"11,keyasint,omitempty"`
	// ColdUntil is the time at which ColdFor is over.
	ColdUntil time.Time `cbor:"-"`
	// UsableAt is the time from which the upstream may get tasks; zero for no bound.
	UsableAt time.Time `cbor:"-"`
}

// TaskName identifies a task by its job, the index of its step and its index in
// the step.
type TaskName struct {
	Job   string `cbor:"1,keyasint"`
	Step  int    `cbor:"2,keyasint,omitempty"`
	Index int    `cbor:"3,keyasint,omitempty"`
}

// RunName identifies one start of a task. Numbers rise with each start.
type RunName struct {
	Task   TaskName `cbor:"1,keyasint"`
	Number int      `cbor:"2,keyasint"`
}

// Order is the common part of all orders to an upstream.
type Order struct {
	Upstream string `cbor:"1,keyasint"`
	Address  string `cbor:"2,keyasint"`
	// Token is the fencing token. The upstream ignores orders with a lower token
	// than the highest that it has seen.
	Token int64 `cbor:"3,keyasint"`
	// LeaseEnd is the time on the upstream's clock, in ms, until which all runs
	// there may go on; 0 leaves the lease as it is.
	LeaseEnd int64 `cbor:"4,keyasint,omitempty"`
}

// Outcome is the outcome of an order.
type Outcome int

// Values of Outcome.
const (
	// OutcomeDone means that the upstream carried out the order.
	OutcomeDone Outcome = iota
	// OutcomeUnknown means that no answer arrived. The order may take effect
	// until its lease end.
	OutcomeUnknown
	// OutcomeNotSent means that the order can't have reached the upstream.
	OutcomeNotSent
	// OutcomeFenced means that the upstream has seen a higher token.
	OutcomeFenced
	// OutcomeStale means that the run's number is not higher than that of a run
	// that has ended.
	OutcomeStale
	// OutcomeLate means that the lease end has passed on the upstream's clock.
	OutcomeLate
	// OutcomeFull means that the upstream has no capacity left.
	OutcomeFull
	// OutcomeUnhealthy means that the upstream refuses orders for now.
	OutcomeUnhealthy
	// OutcomeRestarted means that another worker answered at the address, which has done
	// nothing. It does not prove that the runs of the upstream have ended, because the
	// address may be wrong: an entry may be from another writer.
	OutcomeRestarted
	// OutcomeInvalid means that the upstream can't parse the order.
	OutcomeInvalid
	// OutcomeRefused means that the connection to the upstream's address was refused, so that
	// the order can't have reached the upstream. It does not prove that the runs of the upstream
	// have ended, because a network partition may refuse connections too.
	OutcomeRefused
)

// String returns the name of the outcome for logs.
func (outcome Outcome) String() string {
	names := []string{"done", "unknown", "not-sent", "fenced", "stale", "late", "full", "unhealthy", "restarted", "invalid", "refused"}
	if outcome < 0 || int(outcome) >= len(names) {
		return "unnamed"
	}
	return names[outcome]
}

// Reply is the common part of all replies to orders.
type Reply struct {
	// Order is the order that was sent.
	Order   Order
	Outcome Outcome
	// Clock is the upstream's clock in ms; 0 if the reply did not have it.
	Clock int64
	// SentAt and ReceivedAt are the times of the exchange on this process's
	// clock.
	SentAt     time.Time
	ReceivedAt time.Time
}

// End says how a run ended.
type End int

// Values of End.
const (
	// EndDone means that the task is done.
	EndDone End = iota
	// EndFailed means that the task failed, through its own fault or its
	// upstream's.
	EndFailed
	// EndStopped means that the run was stopped, or ended because its lease
	// expired or together with other runs.
	EndStopped
)

// RunningRun is a run that an upstream lists as running.
type RunningRun struct {
	Run RunName `cbor:"1,keyasint"`
	// Percent is the progress of the run, from 0 to 100.
	Percent int `cbor:"2,keyasint,omitempty"`
}

// EndedRun is an ended run that an upstream lists until the end is
// acknowledged.
type EndedRun struct {
	Run RunName `cbor:"1,keyasint"`
	// Sequence numbers the ends of one incarnation from 1.
	Sequence int64 `cbor:"2,keyasint"`
	End      End   `cbor:"3,keyasint,omitempty"`
}

// Event is an input of Cell.Handle.
type Event interface{ event() }

// The types of Event. EntryVM identifies a process of an entry VM by its address
// and incarnation; the Cell only compares it.
type (
	// JobSubmitted carries a job from an entry VM. If the Cell already has the
	// job, the answer goes to that entry VM as well.
	JobSubmitted struct {
		EntryVM string
		Job     Job
	}
	// JobWithdrawn reports that an entry VM no longer waits for the submissions of a job up
	// to Through; 0 means all.
	JobWithdrawn struct {
		EntryVM string
		ID      string
		Through uint64
	}
	// EntryVMLost reports that an entry VM was lost. Its jobs are withdrawn.
	EntryVMLost struct {
		EntryVM string
	}
	// StartReplied is the reply to a StartRun.
	StartReplied struct {
		Reply Reply
		Run   RunName
	}
	// StopReplied is the reply to a StopRun.
	StopReplied struct {
		Reply Reply
		Run   RunName
	}
	// PollReplied is the reply to a Poll.
	PollReplied struct {
		Reply Reply
		// Immediate is set for the reply to an immediate poll.
		Immediate bool
		// Incarnation is that of the process that answered; 0 if it is not known.
		Incarnation int64
		Running     []RunningRun
		Ended       []EndedRun
	}
	// UpstreamsListed carries all upstreams on the platform's list.
	UpstreamsListed struct {
		Upstreams []Upstream
		// Outdated is set if upstreams may have begun to leave since the list was read. No
		// task starts before the next list.
		Outdated bool
	}
	// Tick lets the Cell act on the passage of time.
	Tick struct{}
)

func (JobSubmitted) event()    {}
func (JobWithdrawn) event()    {}
func (EntryVMLost) event()     {}
func (StartReplied) event()    {}
func (StopReplied) event()     {}
func (PollReplied) event()     {}
func (UpstreamsListed) event() {}
func (Tick) event()            {}

// Decision is an output of Cell.Handle for the process to carry out.
type Decision interface{ decision() }

// The types of Decision.
type (
	// StartRun orders the start of a run. Exactly one StartReplied must follow.
	StartRun struct {
		Order Order   `cbor:"1,keyasint"`
		Run   RunName `cbor:"2,keyasint"`
		Spec  string  `cbor:"3,keyasint"`
		// ExpectedMs is the predicted run time in ms.
		ExpectedMs float64 `cbor:"-"`
	}
	// StopRun orders the stop of a run. Exactly one StopReplied must follow.
	StopRun struct {
		Order  Order   `cbor:"1,keyasint"`
		Run    RunName `cbor:"2,keyasint"`
		Reason string  `cbor:"-"`
	}
	// Poll queries the runs of an upstream. Exactly one PollReplied must follow.
	Poll struct {
		Order Order `cbor:"1,keyasint"`
		// Acknowledged is the highest sequence number of an end that the Cell has
		// processed.
		Acknowledged int64 `cbor:"2,keyasint,omitempty"`
		// Wait is how long the upstream may hold the answer until a run ends.
		Wait time.Duration `cbor:"3,keyasint,omitempty"`
		// Immediate is set for a poll that is answered at once.
		Immediate bool `cbor:"4,keyasint,omitempty"`
	}
	// AnswerJob carries the answer of a job to an entry VM.
	AnswerJob struct {
		EntryVM string
		Answer  Answer
		// Surplus is set for a refused job that may be handed to another cell instead.
		Surplus *Surplus
	}
	// UpstreamChanged reports a new status or an ejection of an upstream.
	UpstreamChanged struct {
		Upstream string
		// State is a key of Cell.UpstreamStates: foreign, looking, open, silent or
		// set-aside.
		State  string
		Reason string
	}
	// RunLost reports that a run ended without a result, and why.
	RunLost struct {
		Upstream string
		Run      RunName
		Reason   string
	}
	// StartsAllowed reports that the tasks of a job that an earlier Cell may have had
	// can start from now on.
	StartsAllowed struct {
		Job        string
		Generation int
		// Because is what showed that all runs are known or over.
		Because StartReason
		// Waited is the time since the submission, and QuarantineLeft that until the
		// end of the quarantine; negative after it.
		Waited         time.Duration
		QuarantineLeft time.Duration
	}
	// LeaseExpired reports that the Cell takes the lease of an upstream as expired and
	// its runs as over. Clock and LeaseEnd are times on the clock of the incarnation, in
	// ms. Clock is the last reading that it reported, and ClockAge the age of that.
	LeaseExpired struct {
		Upstream    string
		Incarnation int64
		Clock       int64
		ClockAge    time.Duration
		LeaseEnd    int64
		Runs        int
	}
	// RunSettled reports that a run which the upstream does not list is taken as over,
	// and why.
	RunSettled struct {
		Upstream string
		Run      RunName
		// Because is the proof, and Reason why the run was stopped.
		Because string
		Reason  string
	}
)

// StartReason says why the tasks of a job may start.
type StartReason string

// Values of StartReason.
const (
	// QuarantineOver means that no earlier Cell acts on the job any more.
	QuarantineOver StartReason = "quarantine over"
	// ServiceVerified means that all upstreams of the service listed their runs.
	ServiceVerified StartReason = "all upstreams verified"
	// ReleaseVerified means that the upstreams in the job's Release listed their runs.
	ReleaseVerified StartReason = "released upstreams verified"
)

func (StartRun) decision()        {}
func (StopRun) decision()         {}
func (Poll) decision()            {}
func (AnswerJob) decision()       {}
func (UpstreamChanged) decision() {}
func (RunLost) decision()         {}
func (StartsAllowed) decision()   {}
func (LeaseExpired) decision()    {}
func (RunSettled) decision()      {}

// Result is the final state of a job.
type Result string

// Values of Result.
const (
	// Completed means that all tasks are done.
	Completed Result = "completed"
	// Failed means that a task failed as often as its kind allows.
	Failed Result = "failed"
	// Interrupted means that the job was abandoned and some of its tasks may have
	// run.
	Interrupted Result = "interrupted"
	// NotRun means that no task has run or will run.
	NotRun Result = "not-run"
)

// Answer is the final answer of a job.
type Answer struct {
	ID     string `cbor:"1,keyasint"`
	Result Result `cbor:"2,keyasint"`
	// Reason says why a job was not completed.
	Reason string `cbor:"3,keyasint,omitempty"`
	// RetryAfter is set for NotRun: the delay after which the caller may submit
	// the job again.
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	// Progress holds the progress of a job that was not completed; nil if the
	// answer does not come from a scheduler.
	Progress *Progress `cbor:"5,keyasint,omitempty"`
	// Submission is the submission that is answered.
	Submission uint64 `cbor:"6,keyasint,omitempty"`
}

// Progress counts the tasks of a job by state.
type Progress struct {
	Done    int `cbor:"1,keyasint,omitempty"`
	Running int `cbor:"2,keyasint,omitempty"`
	Waiting int `cbor:"3,keyasint,omitempty"`
}
