package cell

import "time"

// Job is a job as an entry VM submits it. Times are relative, because the
// clocks of VMs differ.
type Job struct {
	// ID is chosen by the caller.
	ID string `cbor:"1,keyasint"`
	// Kind names the class of jobs whose run times are alike.
	Kind    string `cbor:"2,keyasint"`
	Service string `cbor:"3,keyasint"`
	Spec    string `cbor:"4,keyasint"`
	Steps   []Step `cbor:"5,keyasint"`
	// MaxAttempts is the number of failed runs of a task that fail the job.
	MaxAttempts int `cbor:"6,keyasint"`
	// Stretch times the estimated run time, plus Objective, is the latency
	// objective of the job.
	Stretch   float64       `cbor:"7,keyasint"`
	Objective time.Duration `cbor:"8,keyasint"`
	// Age is the time since the entry VM received the job.
	Age time.Duration `cbor:"9,keyasint"`
	// TimeLeft is the time until the job has to be answered.
	TimeLeft time.Duration `cbor:"10,keyasint"`
	// Generation counts the earlier Cells that had the job. Runs are numbered
	// from it, so that their numbers rise from one Cell to the next.
	Generation int `cbor:"11,keyasint,omitempty"`
	// Quarantine is the time for which a previous Cell may still act on the
	// job. Tasks that were not adopted start only after it, unless all
	// upstreams were looked at.
	Quarantine time.Duration `cbor:"12,keyasint,omitempty"`
	// Priority 0 goes first among jobs that miss their objective.
	Priority int `cbor:"13,keyasint,omitempty"`
	// Released is set where the previous Cell told what it left of the job:
	// nothing but the runs at the upstreams in RunsAt.
	Released bool     `cbor:"14,keyasint,omitempty"`
	RunsAt   []string `cbor:"15,keyasint,omitempty"`
	// NotStarted is set where no earlier Cell has ordered a start.
	NotStarted bool `cbor:"16,keyasint,omitempty"`
}

// LatencyBudget returns how long the job may take by its latency objective, if a
// task takes ratio times its estimate.
func (job *Job) LatencyBudget(ratio float64) time.Duration {
	return job.Objective + time.Duration(job.Stretch*ratio*float64(longestChain(job.Steps)))
}

// neverStarted reports whether no task can have run before this Cell had the job.
func (job *Job) neverStarted() bool { return job.Generation == 0 || job.NotStarted }

// Release tells an entry VM what a Cell that ends leaves of a job.
type Release struct {
	ID string `cbor:"1,keyasint"`
	// RunsAt lists the upstreams at which runs of the job may exist.
	RunsAt []string `cbor:"2,keyasint,omitempty"`
	// NotStarted is set where no start was ordered.
	NotStarted bool `cbor:"3,keyasint,omitempty"`
	// EntryVM is the entry VM with the job.
	EntryVM string `cbor:"-"`
}

// Step is a set of equal tasks of a job.
type Step struct {
	Count    int           `cbor:"1,keyasint"`
	Need     Resources     `cbor:"2,keyasint"`
	Estimate time.Duration `cbor:"3,keyasint"`
	// DependsOn lists the steps whose tasks must all be done first.
	DependsOn []int `cbor:"4,keyasint,omitempty"`
	// Label must be among the upstream's labels, unless it is empty.
	Label string `cbor:"5,keyasint,omitempty"`
	// NearRack is the label of the rack with the data.
	NearRack string `cbor:"6,keyasint,omitempty"`
	// MaxPerUpstream bounds the tasks of the step on one upstream; 0 means no
	// bound.
	MaxPerUpstream int `cbor:"7,keyasint,omitempty"`
}

// Resources is what a task occupies or an upstream has.
type Resources struct {
	MilliCores   int `cbor:"1,keyasint,omitempty"`
	MemoryMb     int `cbor:"2,keyasint,omitempty"`
	Accelerators int `cbor:"3,keyasint,omitempty"`
}

// fits reports whether need can be taken out of free.
func (free Resources) fits(need Resources) bool {
	return need.MilliCores <= free.MilliCores &&
		need.MemoryMb <= free.MemoryMb &&
		need.Accelerators <= free.Accelerators
}

func (free Resources) minus(need Resources) Resources {
	return Resources{
		MilliCores:   free.MilliCores - need.MilliCores,
		MemoryMb:     free.MemoryMb - need.MemoryMb,
		Accelerators: free.Accelerators - need.Accelerators,
	}
}

// Upstream is a worker as the platform lists it.
type Upstream struct {
	ID       string    `cbor:"1,keyasint"`
	Address  string    `cbor:"2,keyasint"`
	Service  string    `cbor:"3,keyasint"`
	Domain   string    `cbor:"4,keyasint"`
	Slots    int       `cbor:"5,keyasint"`
	Capacity Resources `cbor:"6,keyasint"`
	Labels   []string  `cbor:"7,keyasint,omitempty"`
	// Leaving upstreams get no new tasks.
	Leaving bool `cbor:"8,keyasint,omitempty"`
	// Incarnation is the start of the worker's process, in Unix ms; 0 where it
	// is not known.
	Incarnation int64 `cbor:"9,keyasint,omitempty"`
	// Removed is set for an upstream that was on the list lately. It gets nothing,
	// but may still run what another process started.
	Removed bool `cbor:"10,keyasint,omitempty"`
}

// TaskName names a task of a job.
type TaskName struct {
	Job   string `cbor:"1,keyasint"`
	Step  int    `cbor:"2,keyasint,omitempty"`
	Index int    `cbor:"3,keyasint,omitempty"`
}

// RunName names one start of a task.
type RunName struct {
	Task   TaskName `cbor:"1,keyasint"`
	Number int      `cbor:"2,keyasint"`
}

// Order is the part that all orders to an upstream have in common.
type Order struct {
	Upstream string `cbor:"1,keyasint"`
	Address  string `cbor:"2,keyasint"`
	// Token is the fencing token. The upstream ignores orders with a lower
	// token than the highest that it has seen.
	Token int64 `cbor:"3,keyasint"`
	// LeaseEnd is the time on the upstream's clock, in ms, until which
	// everything on it may run; 0 renews nothing.
	LeaseEnd int64 `cbor:"4,keyasint,omitempty"`
}

// Outcome says what came of an order.
type Outcome int

// The outcomes.
const (
	// OutcomeDone: the upstream carried the order out.
	OutcomeDone Outcome = iota
	// OutcomeUnknown: no answer came. The order may take effect until its
	// lease end.
	OutcomeUnknown
	// OutcomeNotSent: the order can't have reached the upstream.
	OutcomeNotSent
	// OutcomeFenced: the upstream has seen a higher token.
	OutcomeFenced
	// OutcomeStale: the run's number is not higher than an ended one.
	OutcomeStale
	// OutcomeLate: the lease end has passed on the upstream's clock.
	OutcomeLate
	// OutcomeFull: the upstream has no room.
	OutcomeFull
	// OutcomeUnhealthy: the upstream refuses orders for now.
	OutcomeUnhealthy
	// OutcomeRestarted: another incarnation answered.
	OutcomeRestarted
	// OutcomeInvalid: the upstream can't read the order.
	OutcomeInvalid
)

// String returns the outcome's name for logs.
func (outcome Outcome) String() string {
	names := []string{"done", "unknown", "not-sent", "fenced", "stale", "late", "full", "unhealthy", "restarted", "invalid"}
	if outcome < 0 || int(outcome) >= len(names) {
		return "unnamed"
	}
	return names[outcome]
}

// Reply is the part that all answers to orders have in common.
type Reply struct {
	Order   Order
	Outcome Outcome
	// Clock is the upstream's clock in ms; 0 where the answer had none.
	Clock int64
	// SentAt and ReceivedAt are this process's times of the exchange.
	SentAt     time.Time
	ReceivedAt time.Time
}

// End says how a run ended.
type End int

// The ends.
const (
	// EndDone: the task is done.
	EndDone End = iota
	// EndFailed: the task failed, by its own or its upstream's fault.
	EndFailed
	// EndStopped: the run was stopped, lapsed, or ended with others.
	EndStopped
)

// RunningRun is a run that an upstream lists as running.
type RunningRun struct {
	Run RunName `cbor:"1,keyasint"`
	// Percent is the progress, 0 to 100.
	Percent int `cbor:"2,keyasint,omitempty"`
}

// EndedRun is an end that an upstream lists until it is acknowledged.
type EndedRun struct {
	Run RunName `cbor:"1,keyasint"`
	// Sequence numbers the ends of one incarnation from 1.
	Sequence int64 `cbor:"2,keyasint"`
	End      End   `cbor:"3,keyasint,omitempty"`
}

// Event is something that happened, told to a Cell.
type Event interface{ event() }

// The events.
type (
	// JobSubmitted brings a job from an entry VM. A job that the Cell has is
	// answered to that VM as well.
	JobSubmitted struct {
		EntryVM string
		Job     Job
	}
	// JobWithdrawn tells that an entry VM no longer waits for a job.
	JobWithdrawn struct {
		EntryVM string
		ID      string
	}
	// EntryVMLost tells that an entry VM is gone. Its jobs are withdrawn.
	EntryVMLost struct {
		EntryVM string
	}
	// StartReplied answers a StartRun.
	StartReplied struct {
		Reply Reply
		Run   RunName
	}
	// StopReplied answers a StopRun.
	StopReplied struct {
		Reply Reply
		Run   RunName
	}
	// PollReplied answers a Watch.
	PollReplied struct {
		Reply Reply
		// Immediate is set for a Watch that did not wait.
		Immediate   bool
		Incarnation int64
		Running     []RunningRun
		Ended       []EndedRun
	}
	// UpstreamsListed carries all upstreams of the platform's list.
	UpstreamsListed struct {
		Upstreams []Upstream
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

// Decision is something that a Cell wants done.
type Decision interface{ decision() }

// The decisions.
type (
	// StartRun asks for a start. One StartReplied must follow.
	StartRun struct {
		Order Order   `cbor:"1,keyasint"`
		Run   RunName `cbor:"2,keyasint"`
		Spec  string  `cbor:"3,keyasint"`
		// ExpectedMs is the predicted run time.
		ExpectedMs float64 `cbor:"-"`
	}
	// StopRun asks for a stop. One StopReplied must follow.
	StopRun struct {
		Order  Order   `cbor:"1,keyasint"`
		Run    RunName `cbor:"2,keyasint"`
		Reason string  `cbor:"-"`
	}
	// Poll asks for the runs of an upstream. One Watched must follow.
	Poll struct {
		Order Order `cbor:"1,keyasint"`
		// Acknowledged acknowledges the ends up to this sequence number.
		Acknowledged int64 `cbor:"2,keyasint,omitempty"`
		// Wait is how long the upstream may hold the answer until a run ends.
		Wait      time.Duration `cbor:"3,keyasint,omitempty"`
		Immediate bool          `cbor:"4,keyasint,omitempty"`
	}
	// AnswerJob carries the answer of a job to an entry VM.
	AnswerJob struct {
		EntryVM string
		Answer  Answer
	}
	// UpstreamChanged tells a change of what the Cell believes of an upstream.
	UpstreamChanged struct {
		Upstream string
		State    string
		Reason   string
	}
	// RunLost tells that a run ended without a result, and why.
	RunLost struct {
		Upstream string
		Run      RunName
		Reason   string
	}
)

func (StartRun) decision()        {}
func (StopRun) decision()         {}
func (Poll) decision()            {}
func (AnswerJob) decision()       {}
func (UpstreamChanged) decision() {}
func (RunLost) decision()         {}

// Result is the final state of a job.
type Result string

// The results.
const (
	// Completed: all tasks are done.
	Completed Result = "completed"
	// Failed: a task failed as often as its kind allows.
	Failed Result = "failed"
	// Interrupted: the job was given up, and some tasks may have run.
	Interrupted Result = "interrupted"
	// NotRun: no task has run, and none will.
	NotRun Result = "not-run"
)

// Answer is the final answer of a job.
type Answer struct {
	ID     string `cbor:"1,keyasint"`
	Result Result `cbor:"2,keyasint"`
	// Reason says why a job was not completed.
	Reason string `cbor:"3,keyasint,omitempty"`
	// RetryAfter is set for NotRun: when the job is worth submitting again.
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	// Progress is how far a job came that was not completed; nil where the
	// answer is not a scheduler's.
	Progress *Progress `cbor:"5,keyasint,omitempty"`
}

// Progress counts the tasks of a job.
type Progress struct {
	Done    int `cbor:"1,keyasint,omitempty"`
	Running int `cbor:"2,keyasint,omitempty"`
	Waiting int `cbor:"3,keyasint,omitempty"`
}
