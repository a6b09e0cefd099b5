package result

import "tanagerfall/standin/fault"

// Format is the version of the result's JSON format.
const Format = 1

// Result is the result of an experiment.
type Result struct {
	Format int `json:"format"`
	// Experiment is the name of the experiment.
	Experiment string `json:"experiment"`
	Seed       uint64 `json:"seed"`
	Workers    int    `json:"workers"`
	// Slots is the number of slots of all workers.
	Slots    int    `json:"slots"`
	EntryVMs int    `json:"entry-vms"`
	Steps    []Step `json:"steps"`
	Check    Check  `json:"check"`
}

// Step is the result of one step. Jobs that arrive during the warm-up count only
// in DrawnLoad, Messages, Timeline and the values per second and per start.
type Step struct {
	// Load is the arriving work as a share of the workers' total speed.
	Load float64 `json:"load"`
	// DrawnLoad is the load of the jobs that were actually drawn. It differs
	// from Load in short steps, because a few large jobs make up much of the
	// work.
	DrawnLoad     float64 `json:"drawn-load"`
	JobsPerSecond float64 `json:"jobs-per-second"`
	DurationMs    int64   `json:"duration-ms"`
	WarmUpMs      int64   `json:"warm-up-ms"`
	// Jobs and Tasks count the jobs and their tasks, Complete the jobs that were
	// answered as complete.
	Jobs     int `json:"jobs"`
	Tasks    int `json:"tasks"`
	Complete int `json:"complete"`
	// Refused, Failed and NoAnswer count the jobs without a whole result.
	// Refused and Failed are sorted by reason.
	Refused  []ReasonCount `json:"refused"`
	Failed   []ReasonCount `json:"failed"`
	NoAnswer int           `json:"no-answer"`
	// ResponseMs and ResponseOverIdeal are the response times of complete jobs,
	// from their scheduled arrival, in ms and as a multiple of their ideal
	// response times.
	ResponseMs        Quantiles `json:"response-ms"`
	ResponseOverIdeal Quantiles `json:"response-over-ideal"`
	// RefusalMs is the response time of refused jobs, in ms.
	RefusalMs Quantiles `json:"refusal-ms"`
	// SendDelayMs is the delay, in ms, with which the load tool itself sent the
	// jobs after their scheduled arrival.
	SendDelayMs Quantiles `json:"late-ms"`
	// GoodputJobsPerSecond and GoodputTasksPerSecond are the rates of jobs, and
	// of their tasks, that are answered as complete within their deadline. Jobs
	// count by the time of their answer, which must be between the warm-up and
	// the end of the step, so that a queue left over at the end does not count.
	GoodputJobsPerSecond  float64  `json:"goodput-jobs-per-second"`
	GoodputTasksPerSecond float64  `json:"goodput-tasks-per-second"`
	Messages              Messages `json:"messages"`
	// CpuUsPerStart is the CPU time of the measured entry processes per task
	// start, in us; it is left out if no process is measured.
	CpuUsPerStart float64 `json:"cpu-us-per-start,omitempty"`
	// StartsPerSecond is the rate of task starts over the whole step.
	StartsPerSecond float64            `json:"starts-per-second"`
	Timeline        []TimelineInterval `json:"timeline"`
	Faults          []FaultEvent       `json:"faults"`
}

// Quantiles summarizes a distribution: the number of its values, their mean, the
// 50th, 99th and 99.9th percentile and the maximum. All fields are 0 if it is
// empty.
type Quantiles struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p99.9"`
	Max   float64 `json:"max"`
}

// ReasonCount counts the jobs that were answered with the same reason and the
// same statement about whether tasks were started.
type ReasonCount struct {
	Reason  string `json:"reason"`
	Started string `json:"started,omitempty"`
	Count   int    `json:"count"`
}

// Messages counts messages over the whole step, including the warm-up. Each
// request counts as two messages, itself and its answer.
type Messages struct {
	// Submissions counts the intended submissions, including resubmissions.
	Submissions int64 `json:"submissions"`
	// Starts counts the task starts at all workers.
	Starts int64 `json:"starts"`
	// CallerRequests counts the requests sent to entry VMs. TaskRequests,
	// LeaseRequests and ResultRequests count those received by workers.
	CallerRequests int64 `json:"caller-requests"`
	TaskRequests   int64 `json:"task-requests"`
	LeaseRequests  int64 `json:"lease-requests"`
	ResultRequests int64 `json:"result-requests"`
	// PerTask is the number of messages per task start. WastedPerTask counts
	// only the messages beyond two for each start and two for each submission.
	PerTask       float64 `json:"per-task"`
	WastedPerTask float64 `json:"wasted-per-task"`
}

// finish computes PerTask and WastedPerTask; both stay 0 without a start.
func (messages *Messages) finish() {
	if messages.Starts == 0 {
		return
	}
	requests := messages.CallerRequests + messages.TaskRequests + messages.LeaseRequests + messages.ResultRequests
	starts := float64(messages.Starts)
	messages.PerTask = round(2*float64(requests)/starts, 4)
	messages.WastedPerTask = round(2*float64(requests-messages.Submissions-messages.Starts)/starts, 4)
}

// TimelineInterval counts the jobs whose scheduled arrival is in an interval of
// one second. Failed includes the jobs without an answer. P50Ms and P99Ms are
// percentiles of the response times of complete jobs, in ms, and
// P99ResponseOverIdeal is that of their response times as a multiple of the ideal
// ones; they are 0 if there is none.
type TimelineInterval struct {
	// AtMs is the start of the interval, in ms from the start of the step.
	AtMs                 int64   `json:"at-ms"`
	Jobs                 int     `json:"jobs"`
	Complete             int     `json:"complete"`
	Refused              int     `json:"refused"`
	Failed               int     `json:"failed"`
	P50Ms                float64 `json:"p50-ms"`
	P99Ms                float64 `json:"p99-ms"`
	P99ResponseOverIdeal float64 `json:"p99-response-over-ideal"`
}

// FaultEvent is a fault that was injected in a step, or a note that marks a
// time.
type FaultEvent struct {
	// AtMs is the planned time of the command, in ms from the start of the step.
	AtMs  int64      `json:"at-ms"`
	Fault fault.Name `json:"fault,omitempty"`
	// Target is "platform", "note" or the number of workers, for example
	// "3 workers".
	Target string `json:"target,omitempty"`
	Note   string `json:"note,omitempty"`
	// Error is the last error of sending the command to a target; it is empty if
	// all targets accepted it.
	Error string `json:"error,omitempty"`
	// TargetStarts is nil if the fault does not apply to workers.
	TargetStarts *TargetStarts `json:"starts-at-target,omitempty"`
}

// TargetStarts describes the starts at the workers that a fault applies to, by
// the times in the journals, from the command until the end of the fault or of
// the step, whichever is earlier.
type TargetStarts struct {
	// LastMs is the time, in ms, from the command to the last start at these
	// workers during the fault; 0 means that there was none.
	LastMs int64 `json:"last-ms"`
	// ShareAfter2s is the share that these workers have in the starts at all
	// workers, from 2 s after the command until the end of the fault.
	ShareAfter2s float64 `json:"share-after-2s"`
}

// Check is the result of checking all answers of the experiment against the
// workers' journals. The invariants start-once, whole-answer, own-answer and
// true-refusal are named as in docs/design.md.
type Check struct {
	// Done is false if a journal could not be read completely. The counts then
	// prove nothing.
	Done bool `json:"done"`
	// Detail says why a journal could not be read completely.
	Detail string `json:"detail,omitempty"`
	// Starts counts the task starts of this run in all journals.
	Starts int `json:"starts"`
	// StartedTwice counts the tasks that started more than once, which violates
	// the invariant start-once.
	StartedTwice int `json:"started-twice"`
	// PartialAnswers counts the answers that have results but are not whole, and
	// the complete jobs of which not all tasks started, which violates the
	// invariant whole-answer.
	PartialAnswers int `json:"not-whole"`
	// MismatchedResults counts the results whose index or echo is not that of
	// their task, which violates the invariant own-answer.
	MismatchedResults int `json:"not-own"`
	// FalseRefusals counts the jobs of which tasks started although an answer
	// said that none did, which violates the invariant true-refusal.
	FalseRefusals int `json:"false-refusals"`
	// Examples describes up to 20 of the violations.
	Examples []string `json:"examples,omitempty"`
}

// Violations returns the number of violations of all invariants.
func (check *Check) Violations() int {
	return check.StartedTwice + check.PartialAnswers + check.MismatchedResults + check.FalseRefusals
}

// maxExamples bounds Check.Examples.
const maxExamples = 20

// AddExample adds the description of a violation, unless Examples is full.
func (check *Check) AddExample(text string) {
	if len(check.Examples) < maxExamples {
		check.Examples = append(check.Examples, text)
	}
}
