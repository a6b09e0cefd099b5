package check

import (
	"fmt"
	"sync"
	"time"
)

// Checker records the events of a soak and the violations of the guarantees. It is
// safe for concurrent use.
type Checker struct {
	mutex sync.Mutex
	runs  *Runs
	// keptJobs holds the IDs of the jobs that are to be stored. Others are best-effort.
	keptJobs map[string]bool
	// doneTasks holds the IDs of the tasks that ran to completion, by job ID.
	doneTasks map[string]map[string]bool
	// submissions holds, by job ID, what is known from the attempts to submit it.
	submissions map[string]*submission
	violations  []string
	counts      map[string]int
}

// New returns a Checker without events.
func New() *Checker {
	return &Checker{
		runs:        NewRuns(),
		keptJobs:    make(map[string]bool),
		doneTasks:   make(map[string]map[string]bool),
		submissions: make(map[string]*submission),
		counts:      make(map[string]int),
	}
}

func (checker *Checker) addViolation(format string, args ...any) {
	checker.violations = append(checker.violations, fmt.Sprintf(format, args...))
}

// addFindings adds those findings as violations whose rules hold for their jobs, and
// counts the others.
func (checker *Checker) addFindings(findings []Finding) {
	for _, finding := range findings {
		if finding.Rule == SameTime || checker.keptJobs[finding.Run.Job] {
			checker.addViolation("%s", finding.Text)
		} else {
			checker.counts[string(finding.Rule)]++
		}
	}
}

// RecordKept records, before a job is submitted, that it is to be stored. Other jobs
// are best-effort.
func (checker *Checker) RecordKept(job string) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.keptJobs[job] = true
}

// RecordStart records that a worker started a task. It is a violation if it breaks a
// Rule, if every attempt to submit its job was or will be rejected, or if the worker has
// been draining for longer than the bound.
func (checker *Checker) RecordStart(run Run) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.counts["starts"]++
	if run.ExecutedLate {
		checker.counts["starts-executed-late"]++
	}
	if outcome := checker.runs.LastNoted(run.Task); outcome != "" {
		checker.counts["starts-after-noted-"+outcome]++
	}
	checker.addFindings(checker.runs.Start(run))
	checker.recordSubmissionStart(run)
	if run.DrainedTooLong {
		checker.addViolation("task %s starts on a worker that has drained for too long: %s", run.Task, run)
	}
}

// RecordEnd records that a run ended.
func (checker *Checker) RecordEnd(end End) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.runs.End(end)
	if end.Outcome != outcomeDone {
		return
	}
	if checker.doneTasks[end.Job] == nil {
		checker.doneTasks[end.Job] = make(map[string]bool)
	}
	checker.doneTasks[end.Job][end.Task] = true
}

// RecordNote records that a worker accepted a hold with the given last-seen. It is a
// violation if a task has started again after an end done that is noted by it.
func (checker *Checker) RecordNote(worker Worker, lastSeen int, at time.Time) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.addFindings(checker.runs.Note(worker, lastSeen, at))
}

// RecordLapse records that the lease of a worker has expired.
func (checker *Checker) RecordLapse(worker Worker) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.runs.Lapse(worker)
}

// RecordStop records that the process of a worker has ended.
func (checker *Checker) RecordStop(worker Worker) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.runs.Stop(worker)
}

// RecordShownCompleted records the time at which a job was reported to its caller as
// complete.
func (checker *Checker) RecordShownCompleted(job string, at time.Time) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.runs.Complete(job, at)
}

// RecordCompleted records that a job of the given number of tasks was reported to
// its caller as complete. It is a violation if some of them were not completed.
func (checker *Checker) RecordCompleted(job string, tasks int) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.counts["completed"]++
	if len(checker.doneTasks[job]) != tasks {
		checker.addViolation("job %s was reported as completed with %d of %d tasks done", job, len(checker.doneTasks[job]), tasks)
	}
}

// RecordConfigRollback records the violation that a process no longer serves a
// version of the configuration that it served before.
func (checker *Checker) RecordConfigRollback(process string, version int) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.addViolation("%s no longer serves configuration version %d", process, version)
}

// Count adds one to the counter with the given name.
func (checker *Checker) Count(name string) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.counts[name]++
}

// AddViolation records a violation that the caller of this method detected.
func (checker *Checker) AddViolation(text string) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.addViolation("%s", text)
}

// Result returns copies of the counters, by name, and of the violations.
func (checker *Checker) Result() (map[string]int, []string) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	counts := make(map[string]int, len(checker.counts))
	for name, count := range checker.counts {
		counts[name] = count
	}
	return counts, append([]string(nil), checker.violations...)
}
