package result

import "tanagerfall/standin/fault"

// Format is the version of the result's format.
const Format = 1

// Result is the result of an experiment.
type Result struct {
	Format     int    `json:"format"`
	Experiment string `json:"experiment"`
	Seed       uint64 `json:"seed"`
	Workers    int    `json:"workers"`
	Slots      int    `json:"slots"`
	EntryVms   int    `json:"entry-vms"`
	Steps      []Step `json:"steps"`
	Check      Check  `json:"check"`
}

// Step is the result of one step. Jobs of the warm-up are left out, but for
// the timeline and Messages.
type Step struct {
	// Load is the offered work as a share of the workers' speed.
	Load float64 `json:"load"`
	// DrawnLoad is the load of the jobs that were drawn; it differs from Load
	// in short steps, because few large jobs bring much of the work.
	DrawnLoad     float64 `json:"drawn-load"`
	JobsPerSecond float64 `json:"jobs-per-second"`
	DurationMs    int64   `json:"duration-ms"`
	WarmUpMs      int64   `json:"warm-up-ms"`
	Jobs          int     `json:"jobs"`
	Tasks         int     `json:"tasks"`
	Complete      int     `json:"complete"`
	// Refused, Failed and NoAnswer count the jobs without a whole result.
	Refused  []ReasonCount `json:"refused"`
	Failed   []ReasonCount `json:"failed"`
	NoAnswer int           `json:"no-answer"`
	// Response and Ratio (response over ideal) are over complete jobs, from
	// the scheduled arrival.
	ResponseMs        Quantiles `json:"response-ms"`
	ResponseOverIdeal Quantiles `json:"response-over-ideal"`
	// RefusalMs is the time to the answer of refused jobs.
	RefusalMs Quantiles `json:"refusal-ms"`
	// SendDelayMs is how late the load tool itself sent the jobs.
	SendDelayMs Quantiles `json:"late-ms"`
	// GoodputJobsPerSecond and GoodputTasks are answered complete and within their
	// deadline, per second. They count by the time of the answer, between the
	// warm-up and the end of the step, so that a queue left over at the end
	// does not count.
	GoodputJobsPerSecond  float64  `json:"goodput-jobs-per-second"`
	GoodputTasksPerSecond float64  `json:"goodput-tasks-per-second"`
	Messages              Messages `json:"messages"`
	// CpuUsPerStart is the CPU time of the entry processes per task start;
	// missing without their pids.
	CpuUsPerStart float64 `json:"cpu-us-per-start,omitempty"`
	// StartsPerSecond is over the whole step.
	StartsPerSecond float64            `json:"starts-per-second"`
	Timeline        []TimelineInterval `json:"timeline"`
	Faults          []FaultEvent       `json:"faults"`
}

// Quantiles describes a distribution; all values are 0 without a sample.
type Quantiles struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p99.9"`
	Max   float64 `json:"max"`
}

// ReasonCount counts jobs by reason.
type ReasonCount struct {
	Reason  string `json:"reason"`
	Started string `json:"started,omitempty"`
	Count   int    `json:"count"`
}

// Messages counts messages over the whole step, warm-up included. Each
// request stands for two messages, itself and its answer.
type Messages struct {
	// Submissions counts the submissions meant to be made, resubmissions included.
	Submissions int64 `json:"submissions"`
	Starts      int64 `json:"starts"`
	// CallerRequests, TaskRequests, LeaseRequests and ResultRequests count
	// the requests sent to entry VMs and received by workers.
	CallerRequests int64 `json:"caller-requests"`
	TaskRequests   int64 `json:"task-requests"`
	LeaseRequests  int64 `json:"lease-requests"`
	ResultRequests int64 `json:"result-requests"`
	// PerTask is all messages, WastedPerTask those beyond two a task and two
	// a submission, both over the starts.
	PerTask       float64 `json:"per-task"`
	WastedPerTask float64 `json:"wasted-per-task"`
}

// finish computes the shares.
func (messages *Messages) finish() {
	if messages.Starts == 0 {
		return
	}
	requests := messages.CallerRequests + messages.TaskRequests + messages.LeaseRequests + messages.ResultRequests
	starts := float64(messages.Starts)
	messages.PerTask = round(2*float64(requests)/starts, 4)
	messages.WastedPerTask = round(2*float64(requests-messages.Submissions-messages.Starts)/starts, 4)
}

// TimelineInterval is one interval of a step's timeline, by scheduled arrival.
type TimelineInterval struct {
	AtMs                 int64   `json:"at-ms"`
	Jobs                 int     `json:"jobs"`
	Complete             int     `json:"complete"`
	Refused              int     `json:"refused"`
	Failed               int     `json:"failed"`
	P50Ms                float64 `json:"p50-ms"`
	P99Ms                float64 `json:"p99-ms"`
	P99ResponseOverIdeal float64 `json:"p99-response-over-ideal"`
}

// FaultEvent is a fault and when it was commanded.
type FaultEvent struct {
	AtMs   int64      `json:"at-ms"`
	Fault  fault.Name `json:"fault,omitempty"`
	Target string     `json:"target,omitempty"`
	Note   string     `json:"note,omitempty"`
	// Error tells that the command was not carried out.
	Error string `json:"error,omitempty"`
	// TargetStarts counts the starts at the workers that the fault went to.
	TargetStarts *TargetStarts `json:"starts-at-target,omitempty"`
}

// TargetStarts counts starts at the workers that a fault went to, by the
// journals' clock. The fault lasts to its end or to the end of the step.
type TargetStarts struct {
	// LastMs is the time from the command to the last start at the workers
	// while the fault lasted; 0 means that there was none.
	LastMs int64 `json:"last-ms"`
	// ShareAfter2s is the share of the starts at all workers that went to
	// them from 2 s after the command to the end of the fault.
	ShareAfter2s float64 `json:"share-after-2s"`
}

// Check is the result of the checker over the whole experiment.
type Check struct {
	// Done is false if a journal could not be read whole; the counts then
	// prove nothing.
	Done   bool   `json:"done"`
	Detail string `json:"detail,omitempty"`
	Starts int    `json:"starts"`
	// StartedTwice, NotWhole, NotOwn and FalseRefusals count the violations
	// of start-once, whole-answer, own-answer and true-refusal.
	StartedTwice      int `json:"started-twice"`
	PartialAnswers    int `json:"not-whole"`
	MismatchedResults int `json:"not-own"`
	FalseRefusals     int `json:"false-refusals"`
	// Examples names some of the violations.
	Examples []string `json:"examples,omitempty"`
}

// Violations returns the number of violations.
func (check *Check) Violations() int {
	return check.StartedTwice + check.PartialAnswers + check.MismatchedResults + check.FalseRefusals
}

// maxExamples bounds the examples in a result.
const maxExamples = 20

// AddExample adds an example while there is room.
func (check *Check) AddExample(text string) {
	if len(check.Examples) < maxExamples {
		check.Examples = append(check.Examples, text)
	}
}
