package admission

import "time"

// Job is what a Planner knows of a job with waiting tasks.
type Job struct {
	ID string
	// Kind names a class of jobs with similar run times, Domain the failure domain
	// of the caller, and Key what the job is about; Key may be empty.
	Kind   string
	Domain string
	Key    string
	// Priority orders kinds; 0 is the highest.
	Priority int
	// Arrival is when the caller sent the job. An answer after Target is late, and
	// one after WorthlessAt has no value to the caller.
	Arrival     time.Time
	Target      time.Time
	WorthlessAt time.Time
	// Tasks is the number of waiting tasks, and MilliCores what each of them
	// occupies, in thousandths of a core.
	Tasks      int
	MilliCores int
	// RunTime is the predicted run time of one task at speed 1, and Remaining that
	// of the longest chain of steps that are not done.
	RunTime   time.Duration
	Remaining time.Duration
	// LogStdDev is the standard deviation of the natural logarithm of actual over
	// predicted run time.
	LogStdDev float64
	// Started is set if a task of the job may have run. Such a job can't be refused
	// as not run.
	Started bool
}

// Release is capacity that a running task is predicted to free.
type Release struct {
	At         time.Time
	MilliCores int
}

// Capacity is what the upstreams of one service can do.
type Capacity struct {
	// MilliCores is the capacity of all upstreams that accept tasks, and
	// FreeMilliCores the part that no run occupies, in thousandths of a core.
	MilliCores     int
	FreeMilliCores int
	// Speed is the mean speed of these upstreams, and TopSpeed the highest,
	// relative to the reference speed 1.
	Speed    float64
	TopSpeed float64
	// Releases holds the predicted ends of the running tasks, the earliest first.
	Releases []Release
}

// Refusal is a job to refuse now. RetryAfter is when the caller should come back.
type Refusal struct {
	ID         string
	Reason     string
	RetryAfter time.Duration
}

// Plan is the result of one round.
type Plan struct {
	// Order holds the indexes of the jobs in the order in which they get capacity.
	// Jobs that are refused are not in it.
	Order []int
	// Deferred holds, by index of the job, whether the job is predicted to miss its
	// objective because others need the capacity. Deferred jobs come after all
	// others in Order.
	Deferred []bool
	Refused  []Refusal
	// Load is the predicted work that has to be done before the deadlines, relative
	// to the capacity until then. Above 1 not all jobs can meet their objectives.
	Load float64
}

// Outcome says how a job ended for its caller.
type Outcome int

// Values of Outcome.
const (
	// OutcomeOnTime means that the job was completed within its objective.
	OutcomeOnTime Outcome = iota
	// OutcomeLate means that the job was completed after its objective.
	OutcomeLate
	// OutcomeMissed means that the job was refused or given up.
	OutcomeMissed
)

// Config configures a Planner.
type Config struct {
	// MinRetryAfter and MaxRetryAfter bound the retry delays advised to callers.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
}

// Planner decides for the jobs of one service. It is not safe for concurrent use.
type Planner struct {
	config Config
}

// New returns a Planner that has seen no jobs.
func New(config Config) *Planner {
	return &Planner{
		config: config,
	}
}

// Arrived records that a job arrived.
func (planner *Planner) Arrived(now time.Time, job Job) {}

// Ended records how a job ended. Jobs that their callers withdrew are not recorded.
func (planner *Planner) Ended(now time.Time, job Job, outcome Outcome) {}

// Plan decides about all jobs with waiting tasks. Equal arguments and earlier calls
// yield equal plans.
func (planner *Planner) Plan(now time.Time, jobs []Job, capacity Capacity) Plan {
	plan := Plan{
		Order:    make([]int, len(jobs)),
		Deferred: make([]bool, len(jobs)),
	}
	for i := range jobs {
		plan.Order[i] = i
	}
	return plan
}

// Digest is a summary of a Planner's state, small enough for a heartbeat, by which
// entry VMs refuse jobs that the scheduler would refuse.
type Digest struct {
	// Load is that of the last Plan.
	Load float64 `cbor:"1,keyasint,omitempty"`
}

// Digest returns the summary of the state after the last Plan.
func (planner *Planner) Digest(now time.Time) Digest { return Digest{} }

// Refuse returns a refusal, and true, if the scheduler would refuse the job by the
// state that the digest summarizes. age is the time since the digest was made; an old
// digest refuses nothing.
func (digest Digest) Refuse(now time.Time, age time.Duration, job Job) (Refusal, bool) {
	return Refusal{}, false
}
