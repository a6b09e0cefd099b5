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
	// not at all. Jobs behind it in Order may start. A started job is never held.
	Hold    []bool
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
	// slackLoad is the load up to which the order is by slack alone, and costLoad that
	// from which it is by cost alone.
	slackLoad = 0.9
	costLoad  = 1.2
	// weightTime smooths the change between the two orders, so that it follows the
	// load and not single jobs.
	weightTime = 100 * time.Millisecond
	// minHorizon is the shortest time over which the load is measured.
	minHorizon = 50 * time.Millisecond
	// overloadCertainty is the share of the arriving work that a refusal assumes: a job
	// that would be served if somewhat less arrived is not refused.
	overloadCertainty = 0.8
	// priorityStep is the extra cost of a job per step of priority.
	priorityStep = 0.25
)

// Reasons of refusals.
const (
	// ReasonOverload means that cheaper or more urgent jobs need the capacity.
	ReasonOverload = "overload"
	// ReasonHopeless means that the job could not be served in time even if it were
	// started now.
	ReasonHopeless = "hopeless"
)

// Planner decides for the jobs of one service. It is not safe for concurrent use.
type Planner struct {
	config  Config
	kinds   shares
	domains shares
	sizes   map[string]*sizes
	arrivals
	// weight is the share of the cost in the order: 0 orders by slack, 1 by cost.
	weight    float64
	plannedAt time.Time
	drain     float64
	full      bool
	load      float64

	entries  []entry
	deferred []entry
	timeline timeline
	plan     Plan
}

// New returns a Planner that has seen no jobs.
func New(config Config) *Planner {
	return &Planner{
		config:  config,
		kinds:   shares{},
		domains: shares{},
		sizes:   make(map[string]*sizes),
	}
}

// Arrived records that a job arrived.
func (planner *Planner) Arrived(now time.Time, job Job) {
	work := job.work()
	kind := planner.sizes[job.Kind]
	if kind == nil {
		kind = &sizes{}
		planner.sizes[job.Kind] = kind
	}
	kind.add(work)
	planner.kinds.touch(now, job.Kind)
	planner.domains.touch(now, job.Domain)
	planner.arrivals.add(now, planner.cost(&job), work)
}

// Ended records how a job ended. Jobs that their callers withdrew are not recorded.
func (planner *Planner) Ended(now time.Time, job Job, outcome Outcome) {
	planner.kinds.add(now, job.Kind, outcome == OutcomeOnTime)
	planner.domains.add(now, job.Domain, outcome == OutcomeOnTime)
}

// work returns the work of the waiting tasks in core seconds at speed 1.
func (job *Job) work() float64 {
	return float64(job.Tasks) * float64(job.MilliCores) / 1000 * job.RunTime.Seconds()
}

// cost returns what the job costs relative to an average job of its kind: by its work,
// its priority, and how well its kind and failure domain are served. Kinds are compared
// with themselves, since a long job is not worth less to its caller than a short one.
func (planner *Planner) cost(job *Job) float64 {
	cost := 1.0
	if kind := planner.sizes[job.Kind]; kind != nil {
		cost = kind.relative(job.ID, job.work())
	}
	return cost * (1 + priorityStep*float64(job.Priority)) * planner.kinds.factor(job.Kind) * planner.domains.factor(job.Domain)
}

// Classes of waiting jobs, in the order in which they get capacity.
const (
	classOnTime = iota
	classLate
	classWorthless
)

// entry is a waiting job with its predictions, in seconds from now.
type entry struct {
	index       int
	class       int
	key         float64
	cost        float64
	work        float64
	slack       float64
	target      float64
	worthlessAt float64
	run         float64
	fastestRun  float64
}

// Plan decides about all jobs with waiting tasks. Equal arguments and earlier calls
// yield equal plans.
func (planner *Planner) Plan(now time.Time, jobs []Job, capacity Capacity) Plan {
	planner.prepare(now, jobs, capacity)
	load := planner.measureLoad(now, capacity)
	planner.load = load
	planner.updateWeight(now, load)
	planner.sort()
	plan := &planner.plan
	plan.Load = load
	plan.Order = plan.Order[:0]
	plan.Refused = plan.Refused[:0]
	plan.Deferred = resize(plan.Deferred, len(jobs))
	plan.Hold = resize(plan.Hold, len(jobs))
	if planner.weight == 0 && load < slackLoad {
		for i := range planner.entries {
			plan.Order = append(plan.Order, planner.entries[i].index)
		}
		planner.full = false
		planner.plannedAt = now
		return *plan
	}
	planner.schedule(now, jobs, capacity)
	planner.plannedAt = now
	return *plan
}

func resize(flags []bool, n int) []bool {
	if cap(flags) < n {
		return make([]bool, n)
	}
	flags = flags[:n]
	clear(flags)
	return flags
}

// prepare fills entries with the predictions for all jobs.
func (planner *Planner) prepare(now time.Time, jobs []Job, capacity Capacity) {
	speed, topSpeed := speeds(capacity)
	entries := planner.entries[:0]
	for i := range jobs {
		job := &jobs[i]
		next := entry{
			index:       i,
			work:        job.work(),
			target:      job.Target.Sub(now).Seconds(),
			worthlessAt: job.WorthlessAt.Sub(now).Seconds(),
			run:         job.Remaining.Seconds() / speed,
			fastestRun:  job.Remaining.Seconds() / topSpeed,
		}
		next.slack = next.target - next.fastestRun
		switch {
		case next.slack >= 0:
			next.class = classOnTime
		case next.fastestRun <= next.worthlessAt:
			next.class = classLate
		default:
			next.class = classWorthless
		}
		entries = append(entries, next)
	}
	planner.entries = entries
	for i := range entries {
		if entries[i].class == classOnTime {
			entries[i].key = entries[i].slack
		} else {
			entries[i].key = -now.Sub(jobs[entries[i].index].Arrival).Seconds()
		}
	}
	if planner.weight > 0 || len(entries) > 0 {
		for i := range entries {
			entries[i].cost = planner.cost(&jobs[entries[i].index])
		}
	}
}

func speeds(capacity Capacity) (speed, topSpeed float64) {
	speed, topSpeed = capacity.Speed, capacity.TopSpeed
	if speed <= 0 {
		speed = 1
	}
	return speed, max(topSpeed, speed)
}
