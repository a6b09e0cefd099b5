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
	// LargestFreeMilliCores is the largest free part of one upstream. A task that needs
	// more has to wait, whatever FreeMilliCores is. 0 means that it is not known, and -1
	// that no upstream accepts a task.
	LargestFreeMilliCores int
	// Releases holds the predicted ends of the running tasks, the earliest first.
	Releases []Release
}

// Refusal is a job to refuse now. RetryAfter is when the caller should come back.
type Refusal struct {
	ID         string
	Reason     string
	RetryAfter time.Duration
}

// Plan is the result of one round. Its slices are valid until the next call of
// Planner.Plan.
type Plan struct {
	// Order holds the indexes of the jobs in the order in which they get capacity.
	// Jobs that are refused are not in it.
	Order []int
	// Deferred holds, by index of the job, whether the job is predicted to miss its
	// objective because others need the capacity. Deferred jobs come after all
	// others in Order.
	Deferred []bool
	// Hold holds, by index of the job, whether none of its tasks should start now even
	// if some fit: under overload a job starts when all its tasks can end in time, or
	// not at all. Jobs behind it in Order may start. A started job is never held. A job
	// that is not held may start in parts, as capacity becomes free: its other tasks
	// are predicted to start in time.
	Hold []bool
	// Refused holds the jobs to refuse now. The planner knows no single upstreams: the
	// caller places the jobs in Order first, and keeps a job of Refused if all its
	// waiting tasks then still fit on upstreams with free capacity.
	Refused []Refusal
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

const (
	// slackLoad is the load up to which the order is by slack alone. From costLoad on
	// the cost has its full weight of maxCostWeight. Some weight of the slack remains,
	// since of two jobs of equal cost the more urgent one goes first.
	slackLoad     = 0.9
	costLoad      = 1.2
	maxCostWeight = 0.7
	// weightTime smooths the change between the two orders. The load rises and falls
	// with single jobs, and the order should not.
	weightTime = 100 * time.Millisecond
	// arrivalCertainty is the part of the smoothed arriving work that is expected to
	// arrive also in the time that a job would wait.
	arrivalCertainty = 0.9
	// priorityStep is the extra cost of a job per step of priority. With much higher
	// steps the lowest priority gets nothing under overload.
	priorityStep = 0.25
)

// Reasons of refusals.
const (
	// ReasonOverload means that cheaper or more urgent jobs need the capacity.
	ReasonOverload = "overload"
	// ReasonHopeless means that the job could not be served in time even if it started
	// now. Under overload it is refused also while capacity is free, which others need.
	ReasonHopeless = "hopeless"
)

// Planner decides for the jobs of one service. It is not safe for concurrent use.
type Planner struct {
	config  Config
	kinds   map[string]*kind
	domains map[string]*share
	// kindShares and domainShares hold the same shares in the order of their first jobs,
	// since sums of floating-point numbers depend on the order.
	kindShares   []*share
	domainShares []*share
	arrivals     arrivals
	// costWeight is the share of the cost in the order, up to maxCostWeight.
	costWeight float64
	plannedAt  time.Time
	// gain is the weight of this round in what is smoothed over weightTime.
	gain float64
	// excess is how long, in seconds, more work has arrived than the capacity. It falls
	// as fast as it rose.
	excess float64
	// load, drain, topSpeed and threshold are those of the last Plan; see Digest.
	load      float64
	drain     float64
	topSpeed  float64
	threshold float64
	// fullShare is the smoothed share of time in which new jobs had to wait.
	fullShare float64
	// The buffers are used again by each Plan.
	entries  []entry
	order    []rank
	deferred []int32
	timeline timeline
	plan     Plan
}

// New returns a Planner that has seen no jobs.
func New(config Config) *Planner {
	return &Planner{
		config:   config,
		kinds:    make(map[string]*kind),
		domains:  make(map[string]*share),
		topSpeed: 1,
	}
}

// Arrived records that a job arrived.
func (planner *Planner) Arrived(now time.Time, job Job) {
	work := job.work()
	kind := planner.kind(now, job.Kind)
	kind.addSize(work)
	planner.domain(now, job.Domain)
	// Jobs that can't meet their objectives come last and take nothing from others.
	if !now.Add(time.Duration(float64(job.Remaining) / planner.topSpeed)).After(job.Target) {
		planner.arrivals.add(now, planner.cost(&job), work)
	}
}

// Ended records how a job ended. Jobs that their callers withdrew are not recorded.
func (planner *Planner) Ended(now time.Time, job Job, outcome Outcome) {
	kind := planner.kind(now, job.Kind)
	kind.served.add(now, outcome == OutcomeOnTime)
	planner.domain(now, job.Domain).add(now, outcome == OutcomeOnTime)
	if outcome != OutcomeMissed {
		kind.addKey(now, job.Key)
	}
}

// work returns the work of the waiting tasks in core seconds at speed 1.
func (job *Job) work() float64 {
	return float64(job.Tasks) * float64(job.MilliCores) / 1000 * job.RunTime.Seconds()
}

// need returns what the waiting tasks occupy together.
func (job *Job) need() int { return job.Tasks * job.MilliCores }

// cost returns what the job costs relative to an average job of its kind. It answers
// overload by all kinds: least work first serves most callers, and work relative to the
// kind serves all kinds alike, since a long job is not worth less to its caller than a
// short one. Priority, and how well the kind, failure domain and key are served, shift
// it.
func (planner *Planner) cost(job *Job) float64 {
	cost := 1 + priorityStep*float64(job.Priority)
	if kind := planner.kinds[job.Kind]; kind != nil {
		cost *= kind.relativeSize(job.ID, job.work()) * kind.served.factor * kind.keyFactor(job.Key)
	}
	if domain := planner.domains[job.Domain]; domain != nil {
		cost *= domain.factor
	}
	return cost
}

// Plan decides about all jobs with waiting tasks. Equal arguments and earlier calls
// yield equal plans.
func (planner *Planner) Plan(now time.Time, jobs []Job, capacity Capacity) Plan {
	speed := max(capacity.Speed, 0)
	if speed == 0 {
		speed = 1
	}
	planner.topSpeed = max(capacity.TopSpeed, speed)
	planner.predict(now, jobs, speed)
	planner.measureLoad(now, jobs, capacity, speed)
	planner.gain = 1 - decay(planner.plannedAt, now, weightTime)
	planner.plannedAt = now
	planner.updateWeight()
	plan := &planner.plan
	plan.Load = planner.load
	plan.Order = plan.Order[:0]
	plan.Refused = plan.Refused[:0]
	plan.Deferred = resize(plan.Deferred, len(jobs))
	plan.Hold = resize(plan.Hold, len(jobs))
	planner.threshold = 0
	if planner.costWeight > 0 {
		planner.weighCosts(jobs)
	}
	planner.sort(jobs)
	planner.schedule(now, jobs, capacity, speed)
	return *plan
}

func resize(flags []bool, n int) []bool {
	if cap(flags) < n {
		return make([]bool, n, 2*n)
	}
	flags = flags[:n]
	clear(flags)
	return flags
}
