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

// task names a task of a run.
type task struct {
	number int
	index  int
}

// Checker gathers answers and checks them. It is safe for concurrent use.
type Checker struct {
	run   string
	mutex sync.Mutex
	check result.Check
	// complete holds the sizes of complete jobs, notRun those jobs for which
	// an answer said that no task ran.
	complete map[int]int
	notRun   map[int]job.Reason
}

// New returns a checker of a run.
func New(run string) *Checker {
	return &Checker{
		run:      run,
		complete: map[int]int{},
		notRun:   map[int]job.Reason{},
	}
}

// Answered checks one answer against its job and keeps what the journals
// have to confirm.
func (checker *Checker) Answered(arrival *workload.Arrival, answer *job.Answer) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	if answer.Outcome != job.Complete {
		if len(answer.Results) > 0 {
			checker.check.NotWhole++
			checker.check.Example(fmt.Sprintf("job %d: %s with %d results", arrival.Number, answer.Outcome, len(answer.Results)))
		}
		if answer.Outcome == job.Refused || answer.Started == job.StartedNo {
			checker.notRun[arrival.Number] = answer.Reason
		}
		return
	}
	checker.complete[arrival.Number] = len(arrival.Job.Tasks)
	if len(answer.Results) != len(arrival.Job.Tasks) {
		checker.check.NotWhole++
		checker.check.Example(fmt.Sprintf("job %d: %d results for %d tasks",
			arrival.Number, len(answer.Results), len(arrival.Job.Tasks)))
		return
	}
	for i := range answer.Results {
		checker.checkResult(arrival, i, &answer.Results[i])
	}
}

// output is what a stand-in worker returns.
type output struct {
	Echo string `json:"echo"`
}

func (checker *Checker) checkResult(arrival *workload.Arrival, index int, found *job.Result) {
	var parsed output
	err := json.Unmarshal(found.Output, &parsed)
	if err == nil && found.Index == index && parsed.Echo == workload.Echo(checker.run, arrival.Number, index) {
		return
	}
	checker.check.NotOwn++
	checker.check.Example(fmt.Sprintf("job %d: result %d has index %d and output %.80s",
		arrival.Number, index, found.Index, found.Output))
}

// Journals checks the starts of the run and returns the result. Incomplete is
// why a journal could not be read whole, or "".
func (checker *Checker) Journals(journals []worker.JournalResponse, incomplete string) result.Check {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	starts := checker.startsOf(journals)
	check := &checker.check
	check.Done = incomplete == ""
	check.Detail = incomplete
	check.Starts = 0
	ran := map[int]int{}
	for started, times := range starts {
		check.Starts += times
		ran[started.number]++
		if times > 1 {
			check.StartedTwice++
			check.Example(fmt.Sprintf("job %d: task %d started %d times", started.number, started.index, times))
		}
	}
	for number, reason := range checker.notRun {
		if ran[number] > 0 {
			check.FalseRefusals++
			check.Example(fmt.Sprintf("job %d: refused (%s), but %d tasks started", number, reason, ran[number]))
		}
	}
	for number, tasks := range checker.complete {
		if check.Done && ran[number] != tasks {
			check.NotWhole++
			check.Example(fmt.Sprintf("job %d: complete, but %d of %d tasks started", number, ran[number], tasks))
		}
	}
	return *check
}

// startsOf counts the starts of the run by task.
func (checker *Checker) startsOf(journals []worker.JournalResponse) map[task]int {
	starts := map[task]int{}
	for i := range journals {
		for _, entry := range journals[i].Entries {
			if started, ok := checker.parse(entry.Echo); ok {
				starts[started]++
			}
		}
	}
	return starts
}

// parse returns the task of an echo of this run.
func (checker *Checker) parse(echo json.RawMessage) (task, bool) {
	var text string
	if json.Unmarshal(echo, &text) != nil {
		return task{}, false
	}
	rest, ok := strings.CutPrefix(text, checker.run+"/")
	if !ok {
		return task{}, false
	}
	numberText, indexText, _ := strings.Cut(rest, "/")
	number, err := strconv.Atoi(numberText)
	if err != nil {
		return task{}, false
	}
	index, err := strconv.Atoi(indexText)
	if err != nil {
		return task{}, false
	}
	return task{
		number: number,
		index:  index,
	}, true
}
