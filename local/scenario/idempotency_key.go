package scenario

import (
	"bytes"
	"context"
	cryptorand "crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"tanagerfall/local/system"
	"tanagerfall/shared/request/binding"
	"tanagerfall/shared/request/job"
)

// EnsureKey creates an Idempotency-Key with the given timestamp under a name
// unless the name already has a key.
func (scenario *Scenario) EnsureKey(name string, timestamp time.Time) {
	if scenario.keys[name] != "" {
		return
	}
	var random [10]byte
	_, _ = cryptorand.Read(random[:])
	scenario.keys[name] = binding.NewUUID(timestamp, random).String()
}

// SubmitWithKey sends a job to all listed entry VMs at the same time, in the
// background, under the idempotency key with the name key. If a job with this name
// was already sent, that job is sent again and submitted is ignored. The error
// wraps system.ErrUnknownVM if a VM doesn't exist.
func (scenario *Scenario) SubmitWithKey(name, key string, vms []string, submitted job.Job) error {
	submission := scenario.jobs[name]
	if submission == nil {
		submission = &Submission{
			Name:           name,
			IdempotencyKey: scenario.keys[key],
			Job:            submitted,
		}
		scenario.jobs[name] = submission
	}
	body, err := json.Marshal(submission.Job)
	if err != nil {
		return eris.Wrap(err, "encoding a job")
	}
	var entryVMs []*system.EntryVM
	for _, vm := range vms {
		entryVM, err := scenario.System.EntryVM(vm)
		if err != nil {
			return err
		}
		entryVMs = append(entryVMs, entryVM)
	}
	start := make(chan struct{})
	defer close(start)
	for _, entryVM := range entryVMs {
		submission.pending.Go(func() {
			<-start
			submission.record(scenario.postWithKey(entryVM, submission.IdempotencyKey, body))
		})
	}
	return nil
}

func (scenario *Scenario) postWithKey(entryVM *system.EntryVM, key string, body []byte) (job.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, entryVM.CallerURL()+"/v1/jobs", bytes.NewReader(body))
	if err != nil {
		return job.Answer{}, err
	}
	request.Header.Set("Idempotency-Key", key)
	data, err := scenario.send(request)
	if err != nil {
		return job.Answer{}, err
	}
	var answer job.Answer
	err = json.Unmarshal(data, &answer)
	return answer, err
}

// checkIdempotencyKeys returns a violation for each key that was bound to two
// submission IDs, and for each task sent under a key that started twice under
// any ID or started although the job was refused. Tasks are identified by their
// payloads, because each submission ID gives a task another ID.
func (scenario *Scenario) checkIdempotencyKeys() []string {
	starts := make(map[string]int)
	for _, worker := range scenario.System.Workers {
		for _, start := range worker.Starts() {
			starts[string(start.Echo)]++
		}
	}
	var violations []string
	for _, name := range sortedKeys(scenario.jobs) {
		submission := scenario.jobs[name]
		if submission.IdempotencyKey != "" {
			violations = append(violations, submission.checkIdempotencyKey(starts)...)
		}
	}
	return violations
}

func (submission *Submission) checkIdempotencyKey(starts map[string]int) []string {
	submission.mutex.Lock()
	defer submission.mutex.Unlock()
	var violations []string
	refused := false
	id := ""
	for i := range submission.answers {
		answer := &submission.answers[i]
		refused = refused || answer.Outcome == job.Refused
		if answer.SubmissionID == "" {
			continue
		}
		if id != "" && id != answer.SubmissionID {
			violations = append(violations, submission.Name+" ran under two submission IDs for one key")
		}
		id = answer.SubmissionID
	}
	for i := range submission.Job.Tasks {
		startCount := starts[fmt.Sprintf("%q", taskOutput(submission.Name, i))]
		if startCount > 1 {
			violations = append(violations, fmt.Sprintf("task %s of a key started %d times", taskOutput(submission.Name, i), startCount))
		}
		if refused && startCount > 0 {
			violations = append(violations, fmt.Sprintf("task %s of a key was refused but ran", taskOutput(submission.Name, i)))
		}
	}
	return violations
}
