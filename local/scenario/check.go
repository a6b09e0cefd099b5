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
// ErrInvariant and names each violation: a task that started twice, an answer
// that is not whole or not the caller's own, a refused job that ran, two
// different final answers for one submission, a key that stood for two
// submissions.
func (run *Run) Check() error {
	starts, err := run.starts()
	if err != nil {
		return err
	}
	var faults []string
	for task, count := range starts {
		if count > 1 {
			faults = append(faults, fmt.Sprintf("task %v started %d times", task, count))
		}
	}
	for _, name := range sortedKeys(run.jobs) {
		faults = append(faults, run.jobs[name].check(starts)...)
	}
	faults = append(faults, run.checkKeys()...)
	if len(faults) > 0 {
		return eris.Wrap(ErrInvariant, strings.Join(faults, "; "))
	}
	return nil
}

// taskOf names a task regardless of its attempt.
type taskOf struct {
	key   submission.Key
	index int
}

func (run *Run) starts() (map[taskOf]int, error) {
	starts := make(map[taskOf]int)
	for _, worker := range run.System.Workers {
		for _, entry := range worker.Journal() {
			task, err := upstream.ParseTaskID(entry.TaskID)
			if err != nil {
				return nil, err
			}
			started := taskOf{
				key:   task.Key,
				index: task.Index,
			}
			starts[started]++
		}
	}
	return starts, nil
}

func (sent *Submission) check(starts map[taskOf]int) []string {
	sent.mutex.Lock()
	defer sent.mutex.Unlock()
	var faults []string
	final := ""
	for i := range sent.answers {
		answer := &sent.answers[i]
		if fault := wrongResults(sent.Name, answer); fault != "" {
			faults = append(faults, fault)
		}
		if answer.Outcome == job.Refused && sent.ran(starts) {
			faults = append(faults, sent.Name+" was refused and ran")
		}
		if answer.Started == job.StartedUnknown {
			continue
		}
		line := describe(answer, len(sent.Job.Tasks))
		if final != "" && final != line {
			faults = append(faults, fmt.Sprintf("%s has two answers: %s and %s", sent.Name, final, line))
		}
		final = line
	}
	return faults
}

func (sent *Submission) ran(starts map[taskOf]int) bool {
	for index := range sent.Job.Tasks {
		task := taskOf{
			key:   sent.Key,
			index: index,
		}
		if starts[task] > 0 {
			return true
		}
	}
	return false
}

// wrongResults says what is wrong with the results of an answer, or "".
func wrongResults(name string, answer *job.Answer) string {
	if answer.Outcome != job.Complete {
		if len(answer.Results) > 0 {
			return fmt.Sprintf("%s is %s and has %d results", name, answer.Outcome, len(answer.Results))
		}
		return ""
	}
	for i, result := range answer.Results {
		if result.Index != i || !strings.Contains(string(result.Output), echo(name, i)+`"`) {
			return fmt.Sprintf("%s has a wrong result at %d: %s", name, i, result.Output)
		}
	}
	return ""
}
