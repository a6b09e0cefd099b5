package check

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"sync"

	"tanagerfall/shared/request/job"
	"tanagerfall/standin/worker"
	"tanagerfall/tanagerload/result"
	"tanagerfall/tanagerload/workload"
)

// task identifies a task by its job and its index in the job.
type task struct {
	jobNumber int
	index     int
}

// Checker collects and checks the answers of one run of an experiment. It is
// safe for concurrent use.
type Checker struct {
	runID string
	mutex sync.Mutex
	check result.Check
	// completeJobs holds the number of tasks of each job answered as complete.
	completeJobs map[int]int
	// jobsNotRun holds the reason for each job of which an answer said that no
	// task was started.
	jobsNotRun map[int]job.Reason
}

// New returns a Checker. It ignores tasks in the journals whose echo (see
// workload.Echo) does not carry runID.
func New(runID string) *Checker {
	return &Checker{
		runID:        runID,
		completeJobs: map[int]int{},
		jobsNotRun:   map[int]job.Reason{},
	}
}

// CheckAnswer checks one answer against its job and records what it says about
// the started tasks, which CheckJournals compares with the journals.
func (checker *Checker) CheckAnswer(arrival *workload.Arrival, answer *job.Answer) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	if answer.Outcome != job.Complete {
		if len(answer.Results) > 0 {
			checker.check.PartialAnswers++
			checker.check.AddExample(fmt.Sprintf("job %d: %s with %d results", arrival.Number, answer.Outcome, len(answer.Results)))
		}
		if answer.Outcome == job.Refused || answer.Started == job.StartedNo {
			checker.jobsNotRun[arrival.Number] = answer.Reason
		}
		return
	}
	checker.completeJobs[arrival.Number] = len(arrival.Job.Tasks)
	if len(answer.Results) != len(arrival.Job.Tasks) {
		checker.check.PartialAnswers++
		checker.check.AddExample(fmt.Sprintf("job %d: %d results for %d tasks",
			arrival.Number, len(answer.Results), len(arrival.Job.Tasks)))
		return
	}
	for i := range answer.Results {
		checker.checkResult(arrival, i, &answer.Results[i])
	}
}

// output is the output of a task on a stand-in worker.
type output struct {
	Echo string `json:"echo"`
}

// checkResult checks that the result at an index carries that index and the
// echo of its task.
func (checker *Checker) checkResult(arrival *workload.Arrival, index int, taskResult *job.Result) {
	var parsed output
	err := json.Unmarshal(taskResult.Output, &parsed)
	if err == nil && taskResult.Index == index && parsed.Echo == workload.Echo(checker.runID, arrival.Number, index) {
		return
	}
	checker.check.MismatchedResults++
	checker.check.AddExample(fmt.Sprintf("job %d: result %d has index %d and output %.80s",
		arrival.Number, index, taskResult.Index, taskResult.Output))
}

// CheckJournals checks the starts in the journals against all answers and
// returns the result. incomplete says why a journal could not be read
// completely; it is empty if all were.
func (checker *Checker) CheckJournals(journals []worker.JournalResponse, incomplete string) result.Check {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	starts := checker.countStarts(journals)
	check := &checker.check
	check.Done = incomplete == ""
	check.Detail = incomplete
	check.Starts = 0
	startedTasks := map[int]int{}
	for startedTask, count := range starts {
		check.Starts += count
		startedTasks[startedTask.jobNumber]++
		if count > 1 {
			check.StartedTwice++
			check.AddExample(fmt.Sprintf("job %d: task %d started %d times", startedTask.jobNumber, startedTask.index, count))
		}
	}
	for jobNumber, reason := range checker.jobsNotRun {
		if startedTasks[jobNumber] > 0 {
			check.FalseRefusals++
			check.AddExample(fmt.Sprintf("job %d: refused (%s), but %d tasks started", jobNumber, reason, startedTasks[jobNumber]))
		}
	}
	for jobNumber, taskCount := range checker.completeJobs {
		if check.Done && startedTasks[jobNumber] != taskCount {
			check.PartialAnswers++
			check.AddExample(fmt.Sprintf("job %d: complete, but %d of %d tasks started", jobNumber, startedTasks[jobNumber], taskCount))
		}
	}
	return *check
}

// countStarts counts the starts of each task of this run.
func (checker *Checker) countStarts(journals []worker.JournalResponse) map[task]int {
	starts := map[task]int{}
	for i := range journals {
		for _, entry := range journals[i].Entries {
			if startedTask, ok := checker.parseEcho(entry.Echo); ok {
				starts[startedTask]++
			}
		}
	}
	return starts
}

// parseEcho returns the task that an echo identifies, and false if the echo
// does not come from this run.
func (checker *Checker) parseEcho(echo json.RawMessage) (task, bool) {
	var text string
	if json.Unmarshal(echo, &text) != nil {
		return task{}, false
	}
	rest, ok := strings.CutPrefix(text, checker.runID+"/")
	if !ok {
		return task{}, false
	}
	numberText, indexText, _ := strings.Cut(rest, "/")
	jobNumber, err := strconv.Atoi(numberText)
	if err != nil {
		return task{}, false
	}
	index, err := strconv.Atoi(indexText)
	if err != nil {
		return task{}, false
	}
	return task{
		jobNumber: jobNumber,
		index:     index,
	}, true
}
