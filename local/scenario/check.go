package scenario

import (
	"fmt"
	"strings"

	"github.com/rotisserie/eris"

	"tanagerfall/shared/connection/upstream"
	"tanagerfall/shared/request/job"
	"tanagerfall/shared/request/submission"
)

// Check reads the journals of all workers and returns an error that wraps
// ErrInvariantBroken and lists each violation: a task that started twice, an
// answer that is incomplete or belongs to another job, a refused job that ran,
// two different final answers for one submission, an idempotency key that was
// bound to two submissions.
func (scenario *Scenario) Check() error {
	starts, err := scenario.countStarts()
	if err != nil {
		return err
	}
	var violations []string
	for task, count := range starts {
		if count > 1 {
			violations = append(violations, fmt.Sprintf("task %v started %d times", task, count))
		}
	}
	for _, name := range sortedKeys(scenario.jobs) {
		violations = append(violations, scenario.jobs[name].check(starts)...)
	}
	violations = append(violations, scenario.checkIdempotencyKeys()...)
	if len(violations) > 0 {
		return eris.Wrap(ErrInvariantBroken, strings.Join(violations, "; "))
	}
	return nil
}

// taskKey identifies a task regardless of the attempt that runs it.
type taskKey struct {
	submissionKey submission.Key
	index         int
}

// countStarts returns how often each task started on any worker.
func (scenario *Scenario) countStarts() (map[taskKey]int, error) {
	starts := make(map[taskKey]int)
	for _, worker := range scenario.System.Workers {
		for _, journalEntry := range worker.Journal() {
			task, err := upstream.ParseTaskID(journalEntry.TaskID)
			if err != nil {
				return nil, err
			}
			taskKey := taskKey{
				submissionKey: task.Key,
				index:         task.Index,
			}
			starts[taskKey]++
		}
	}
	return starts, nil
}

// check returns the violations in the answers to a submission. An answer whose
// start is unknown isn't final and may be followed by another one.
func (submission *Submission) check(starts map[taskKey]int) []string {
	submission.mutex.Lock()
	defer submission.mutex.Unlock()
	var violations []string
	finalSummary := ""
	for i := range submission.answers {
		answer := &submission.answers[i]
		if violation := resultViolation(submission.Name, answer); violation != "" {
			violations = append(violations, violation)
		}
		if answer.Outcome == job.Refused && submission.hasStarted(starts) {
			violations = append(violations, submission.Name+" was refused but ran")
		}
		if answer.Started == job.StartedUnknown {
			continue
		}
		summary := summarize(answer, len(submission.Job.Tasks))
		if finalSummary != "" && finalSummary != summary {
			violations = append(violations, fmt.Sprintf("%s has two different final answers: %s and %s", submission.Name, finalSummary, summary))
		}
		finalSummary = summary
	}
	return violations
}

func (submission *Submission) hasStarted(starts map[taskKey]int) bool {
	for index := range submission.Job.Tasks {
		taskKey := taskKey{
			submissionKey: submission.Key,
			index:         index,
		}
		if starts[taskKey] > 0 {
			return true
		}
	}
	return false
}

// resultViolation describes the first violation in the results of an answer; it
// is empty if there is none.
func resultViolation(name string, answer *job.Answer) string {
	if answer.Outcome != job.Complete {
		if len(answer.Results) > 0 {
			return fmt.Sprintf("%s is %s and has %d results", name, answer.Outcome, len(answer.Results))
		}
		return ""
	}
	for i, result := range answer.Results {
		if result.Index != i || !strings.Contains(string(result.Output), taskOutput(name, i)+`"`) {
			return fmt.Sprintf("%s has a wrong result at index %d: %s", name, i, result.Output)
		}
	}
	return ""
}
