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

// EnsureKey makes the Idempotency-Key of a name with the given time, unless
// there is one.
func (run *Scenario) EnsureKey(name string, at time.Time) {
	if run.keys[name] != "" {
		return
	}
	var random [10]byte
	_, _ = cryptorand.Read(random[:])
	run.keys[name] = binding.NewUUID(at, random).String()
}

// SubmitWithKey sends a job under a named key to each of the entry VMs at the
// same time, in the background.
func (run *Scenario) SubmitWithKey(name, key string, vms []string, submitted job.Job) error {
	sent := run.jobs[name]
	if sent == nil {
		sent = &Submission{
			Name:           name,
			IdempotencyKey: run.keys[key],
			Job:            submitted,
		}
		run.jobs[name] = sent
	}
	body, err := json.Marshal(sent.Job)
	if err != nil {
		return eris.Wrap(err, "encoding a job")
	}
	var entries []*system.EntryVM
	for _, vm := range vms {
		entry, err := run.System.EntryVM(vm)
		if err != nil {
			return err
		}
		entries = append(entries, entry)
	}
	start := make(chan struct{})
	defer close(start)
	for _, entry := range entries {
		sent.pending.Go(func() {
			<-start
			sent.record(run.postWithKey(entry, sent.IdempotencyKey, body))
		})
	}
	return nil
}

func (run *Scenario) postWithKey(entry *system.EntryVM, key string, body []byte) (job.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, entry.CallerURL()+"/v1/jobs", bytes.NewReader(body))
	if err != nil {
		return job.Answer{}, err
	}
	request.Header.Set("Idempotency-Key", key)
	data, err := run.send(request)
	if err != nil {
		return job.Answer{}, err
	}
	var answer job.Answer
	err = json.Unmarshal(data, &answer)
	return answer, err
}

// checkIdempotencyKeys names each key that stood for two submission IDs, and each task
// sent under a key that started twice under any ID or started although the job
// was refused. The tasks are known by their payloads.
func (run *Scenario) checkIdempotencyKeys() []string {
	starts := make(map[string]int)
	for _, worker := range run.System.Workers {
		for _, entry := range worker.Starts() {
			starts[string(entry.Echo)]++
		}
	}
	var violations []string
	for _, name := range sortedKeys(run.jobs) {
		sent := run.jobs[name]
		if sent.IdempotencyKey != "" {
			violations = append(violations, sent.checkIdempotencyKey(starts)...)
		}
	}
	return violations
}

func (sent *Submission) checkIdempotencyKey(starts map[string]int) []string {
	sent.mutex.Lock()
	defer sent.mutex.Unlock()
	var violations []string
	refused := false
	id := ""
	for i := range sent.answers {
		answer := &sent.answers[i]
		refused = refused || answer.Outcome == job.Refused
		if answer.SubmissionID == "" {
			continue
		}
		if id != "" && id != answer.SubmissionID {
			violations = append(violations, sent.Name+" ran under two submission IDs for one key")
		}
		id = answer.SubmissionID
	}
	for i := range sent.Job.Tasks {
		count := starts[fmt.Sprintf("%q", taskOutput(sent.Name, i))]
		if count > 1 {
			violations = append(violations, fmt.Sprintf("task %s of a key started %d times", taskOutput(sent.Name, i), count))
		}
		if refused && count > 0 {
			violations = append(violations, fmt.Sprintf("task %s of a key was refused and ran", taskOutput(sent.Name, i)))
		}
	}
	return violations
}
