package check

import (
	"fmt"
	"time"
)

// Rule is a part of the rule TWICE. Its text is also the name of a counter.
type Rule string

// The rules. The last three hold only for jobs that are kept.
const (
	// SameTime: two runs of a task at the same time, on workers that are up.
	SameTime Rule = "runs-at-the-same-time"
	// AfterDone: a start after a run has ended done, if that end is noted then or later.
	AfterDone Rule = "starts-after-done"
	// LongAfterNote: a start over noteSlack after such an end was noted.
	LongAfterNote Rule = "starts-long-after-note"
	// LongAfterCompleted: a start over noteSlack after the job was shown as completed.
	LongAfterCompleted Rule = "starts-long-after-completed"
)

// noteSlack is the time after a note, or after the job was shown as completed, from
// which a start breaks a rule even if its sender may not have known. The rules of the
// platform set it.
const noteSlack = time.Second

// timeFormat is that of times in violations.
const timeFormat = "15:04:05.000000"

// outcomeDone is the outcome of a run that completed its task.
const outcomeDone = "done"

// Worker identifies one process of a worker. A worker that restarts, or is replaced
// under its ID, is another Worker.
type Worker struct {
	ID string
	// Boot is the start of the process in Unix milliseconds.
	Boot int64
}

// Run is a run of a task on a worker.
type Run struct {
	Worker Worker
	Job    string
	Task   string
	// Number is that of the run among those of its task.
	Number       int
	FencingToken int64
	StartTime    time.Time
	// ExecutedLate is set if the worker held the order back and then executed it.
	ExecutedLate bool
	// Sender is the address of the process that sent the order; empty if not known.
	Sender string
	// SenderOutOfTouch exempts the start from the rules with noteSlack.
	SenderOutOfTouch bool
	// DrainedTooLong is set if the worker has been draining for longer than the bound.
	DrainedTooLong bool
	// IsOver reports whether the run has ended by the worker's clock at a time. A busy
	// stand-in records the end of a run late. If it is nil, only a recorded end counts.
	IsOver func(at time.Time) bool
}

// String returns all that a trace of the run needs.
func (run Run) String() string {
	text := fmt.Sprintf("run %d on %s (boot %d, fencing token %d, started %s", run.Number, run.Worker.ID, run.Worker.Boot,
		run.FencingToken, run.StartTime.Format(timeFormat))
	if run.ExecutedLate {
		text += ", executed late"
	}
	if run.Sender != "" {
		text += ", sent by " + run.Sender
	}
	return text + ")"
}

// End is the end of a run as its worker lists it.
type End struct {
	Worker Worker
	Job    string
	Task   string
	Number int
	// Sequence is the number of the end among those of the Worker, from 1.
	Sequence int
	Outcome  string
	Time     time.Time
}

// Finding is a start that breaks a rule, whether or not the rule holds for its job.
type Finding struct {
	Rule Rule
	Run  Run
	// Text is that of a violation.
	Text string
}

func newFinding(rule Rule, run Run, conflict string) Finding {
	return Finding{
		Rule: rule,
		Run:  run,
		Text: fmt.Sprintf("%s: task %s: %s; %s", rule, run.Task, run, conflict),
	}
}

// start is a start after an end that a note can still reach.
type start struct {
	run         Run
	isAfterDone bool
}

// endedRun is a run that ended.
type endedRun struct {
	run      Run
	end      End
	noteTime time.Time
	// laterStarts holds the starts of the task between an end done and its note.
	laterStarts []*start
}

func (endedRun *endedRun) String() string {
	text := fmt.Sprintf("%s ended %s at %s", endedRun.run, endedRun.end.Outcome, endedRun.end.Time.Format(timeFormat))
	if !endedRun.noteTime.IsZero() {
		text += ", noted at " + endedRun.noteTime.Format(timeFormat)
	}
	return text
}

// Runs finds the starts that break the rules. It has no clock: the caller
// passes the events in the order of their times. It is not safe for concurrent use.
type Runs struct {
	// running holds the runs that have not ended, by task.
	running map[string][]Run
	// done holds the runs that ended done, by task, and unnoted the ended runs of each
	// Worker that a note can still reach.
	done    map[string][]*endedRun
	unnoted map[Worker][]*endedRun
	// lastNoted holds the outcome of the run of each task whose end was noted last.
	lastNoted map[string]string
	// completed holds the times at which jobs were first shown as completed.
	completed map[string]time.Time
}

// NewRuns returns Runs without events.
func NewRuns() *Runs {
	return &Runs{
		running:   make(map[string][]Run),
		done:      make(map[string][]*endedRun),
		unnoted:   make(map[Worker][]*endedRun),
		lastNoted: make(map[string]string),
		completed: make(map[string]time.Time),
	}
}

// Start adds a start and returns the rules that it breaks.
func (runs *Runs) Start(run Run) []Finding {
	var findings []Finding
	for _, other := range runs.running[run.Task] {
		if other.IsOver == nil || !other.IsOver(run.StartTime) {
			findings = append(findings, newFinding(SameTime, run, other.String()))
		}
	}
	runs.running[run.Task] = append(runs.running[run.Task], run)
	// A rule with a time bound does not hold for orders that were executed late.
	hasBound := !run.ExecutedLate && !run.SenderOutOfTouch
	start := &start{
		run: run,
	}
	isLongAfterNote := false
	for _, ended := range runs.done[run.Task] {
		if ended.noteTime.IsZero() {
			ended.laterStarts = append(ended.laterStarts, start)
			continue
		}
		if !start.isAfterDone {
			start.isAfterDone = true
			findings = append(findings, newFinding(AfterDone, run, ended.String()))
		}
		if !isLongAfterNote && hasBound && run.StartTime.Sub(ended.noteTime) > noteSlack {
			isLongAfterNote = true
			findings = append(findings, newFinding(LongAfterNote, run, ended.String()))
		}
	}
	if shown, ok := runs.completed[run.Job]; ok && hasBound && run.StartTime.Sub(shown) > noteSlack {
		findings = append(findings, newFinding(LongAfterCompleted, run, "job shown as completed at "+shown.Format(timeFormat)))
	}
	return findings
}

// LastNoted returns the outcome of the run of a task whose end was noted last, or an
// empty string if none was.
func (runs *Runs) LastNoted(task string) string { return runs.lastNoted[task] }

// End adds the end of a run.
func (runs *Runs) End(end End) {
	ended := &endedRun{
		end: end,
	}
	ended.run = runs.remove(end.Task, func(run Run) bool { return run.Worker == end.Worker && run.Number == end.Number })
	runs.unnoted[end.Worker] = append(runs.unnoted[end.Worker], ended)
	if end.Outcome == outcomeDone {
		runs.done[end.Task] = append(runs.done[end.Task], ended)
	}
}

// remove removes the running runs of a task that match, and returns the last of them.
func (runs *Runs) remove(task string, matches func(Run) bool) Run {
	var removed Run
	var kept []Run
	for _, run := range runs.running[task] {
		if matches(run) {
			removed = run
		} else {
			kept = append(kept, run)
		}
	}
	if runs.running[task] = kept; kept == nil {
		delete(runs.running, task)
	}
	return removed
}

// Note adds that a Worker accepted a hold with the given last-seen, and returns the
// starts that break AfterDone by it.
func (runs *Runs) Note(worker Worker, lastSeen int, at time.Time) []Finding {
	var findings []Finding
	var left []*endedRun
	for _, ended := range runs.unnoted[worker] {
		if ended.end.Sequence > lastSeen {
			left = append(left, ended)
			continue
		}
		ended.noteTime = at
		runs.lastNoted[ended.end.Task] = ended.end.Outcome
		for _, start := range ended.laterStarts {
			if !start.isAfterDone {
				start.isAfterDone = true
				findings = append(findings, newFinding(AfterDone, start.run, ended.String()))
			}
		}
	}
	runs.unnoted[worker] = left
	return findings
}

// Lapse adds that the lease of a Worker has expired. Ends up to now that are not
// noted never will be; those that are noted stay so. It precedes the ends of the runs
// that the lapse kills.
func (runs *Runs) Lapse(worker Worker) { delete(runs.unnoted, worker) }

// Stop adds that the process of a Worker has ended, and with it all its runs.
func (runs *Runs) Stop(worker Worker) {
	for task := range runs.running {
		runs.remove(task, func(run Run) bool { return run.Worker == worker })
	}
	delete(runs.unnoted, worker)
}

// Complete adds that a job was shown as completed.
func (runs *Runs) Complete(job string, at time.Time) {
	if _, ok := runs.completed[job]; !ok {
		runs.completed[job] = at
	}
}
