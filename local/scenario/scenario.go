package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"tanagerfall/client"
	"tanagerfall/local/system"
	"tanagerfall/shared/request/job"
	"tanagerfall/shared/request/submission"
)

const (
	team = "workshop"
	// waitTimeout bounds every wait of a scenario. It is reached only by a
	// scenario that hangs.
	waitTimeout = 90 * time.Second
)

var (
	// ErrUnknownJob is wrapped if no job or load has the given name.
	ErrUnknownJob = eris.New("no job or load has that name")
	// ErrInvariantBroken is wrapped if an answer or a journal violates an
	// invariant.
	ErrInvariantBroken = eris.New("invariant broken")
)

// Scenario holds the deployment of one running script and its jobs, loads and
// idempotency keys by their names in the script. Its methods must not be called
// concurrently.
type Scenario struct {
	System     *system.System
	jobs       map[string]*Submission
	loads      map[string]*Load
	keys       map[string]string
	httpClient *http.Client
}

// New returns a Scenario for a running deployment.
func New(system *system.System) *Scenario {
	return &Scenario{
		System: system,
		jobs:   make(map[string]*Submission),
		loads:  make(map[string]*Load),
		keys:   make(map[string]string),
		httpClient: &http.Client{
			Transport: &http.Transport{
				DisableKeepAlives: true,
			},
		},
	}
}

// Submission is a job that is sent once or more under one submission ID or one
// idempotency key, with all answers to it.
type Submission struct {
	Name string
	// ID and Key are empty if the job is sent under IdempotencyKey.
	ID             string
	Key            submission.Key
	IdempotencyKey string
	Job            job.Job

	mutex   sync.Mutex
	answers []job.Answer
	errors  []error
	pending sync.WaitGroup
}

// Submit gets a submission ID from the entry VM issuer and sends the job under it
// to the entry VM target, in the background. The error wraps
// system.ErrUnknownVM if one of them doesn't exist.
func (scenario *Scenario) Submit(name, issuer, target string, submitted job.Job) error {
	entryVM, err := scenario.System.EntryVM(issuer)
	if err != nil {
		return err
	}
	id, err := scenario.issueID(entryVM)
	if err != nil {
		return err
	}
	decoded, err := scenario.System.Keyring().Decode(id)
	if err != nil {
		return err
	}
	scenario.jobs[name] = &Submission{
		Name: name,
		ID:   id,
		Key:  decoded.Key,
		Job:  submitted,
	}
	return scenario.Resubmit(name, target)
}

func (scenario *Scenario) issueID(entryVM *system.EntryVM) (string, error) {
	reply, err := scenario.do(http.MethodPost, entryVM.CallerURL()+"/v1/submission-ids?count=1", nil)
	if err != nil {
		return "", err
	}
	var issued struct {
		SubmissionIDs []string `json:"submission-ids"`
	}
	if err := json.Unmarshal(reply, &issued); err != nil || len(issued.SubmissionIDs) != 1 {
		return "", eris.Errorf("the entry VM issued no submission ID: %s", reply)
	}
	return issued.SubmissionIDs[0], nil
}

// Resubmit sends a job again under its submission ID, in the background. The error
// wraps ErrUnknownJob or system.ErrUnknownVM if the name doesn't exist.
func (scenario *Scenario) Resubmit(name, target string) error {
	submission, ok := scenario.jobs[name]
	if !ok {
		return eris.Wrap(ErrUnknownJob, name)
	}
	entryVM, err := scenario.System.EntryVM(target)
	if err != nil {
		return err
	}
	body, err := json.Marshal(submission.Job)
	if err != nil {
		return eris.Wrap(err, "encoding a job")
	}
	url := entryVM.CallerURL() + "/v1/jobs/" + submission.ID
	submission.pending.Go(func() { submission.record(scenario.fetchAnswer(http.MethodPut, url, body)) })
	return nil
}

// Cancel cancels a job through the entry VM target and waits for the answer. The
// error wraps ErrUnknownJob or system.ErrUnknownVM if the name doesn't exist.
func (scenario *Scenario) Cancel(name, target string) error {
	submission, ok := scenario.jobs[name]
	if !ok {
		return eris.Wrap(ErrUnknownJob, name)
	}
	entryVM, err := scenario.System.EntryVM(target)
	if err != nil {
		return err
	}
	submission.record(scenario.fetchAnswer(http.MethodDelete, entryVM.CallerURL()+"/v1/jobs/"+submission.ID, nil))
	return nil
}

func (scenario *Scenario) fetchAnswer(method, url string, body []byte) (job.Answer, error) {
	data, err := scenario.do(method, url, body)
	if err != nil {
		return job.Answer{}, err
	}
	var answer job.Answer
	err = json.Unmarshal(data, &answer)
	return answer, err
}

func (scenario *Scenario) do(method, url string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	return scenario.send(request)
}

func (scenario *Scenario) send(request *http.Request) ([]byte, error) {
	request.Header.Set("Tanager-Team", team)
	response, err := scenario.httpClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	return io.ReadAll(response.Body)
}

// record stores an answer to the submission, or the error of a request that got
// none.
func (submission *Submission) record(answer job.Answer, err error) {
	submission.mutex.Lock()
	defer submission.mutex.Unlock()
	if err != nil {
		submission.errors = append(submission.errors, err)
		return
	}
	submission.answers = append(submission.answers, answer)
}

// Await waits for all answers to a job and writes one line for each distinct
// answer, with the number of times it was received. The error wraps ErrUnknownJob.
func (scenario *Scenario) Await(out io.Writer, name string) error {
	submission, ok := scenario.jobs[name]
	if !ok {
		return eris.Wrap(ErrUnknownJob, name)
	}
	submission.pending.Wait()
	submission.mutex.Lock()
	defer submission.mutex.Unlock()
	counts := make(map[string]int)
	for i := range submission.answers {
		counts[summarize(&submission.answers[i], len(submission.Job.Tasks))]++
	}
	if len(submission.errors) > 0 {
		counts["no answer"] = len(submission.errors)
	}
	for _, summary := range sortedKeys(counts) {
		fmt.Fprintf(out, "%s: %s x%d\n", name, summary, counts[summary])
	}
	return nil
}

// summarize returns the text that represents an answer in the output of Await and
// StopLoad.
func summarize(answer *job.Answer, tasks int) string {
	switch answer.Outcome {
	case job.Complete:
		return fmt.Sprintf("complete %d/%d", len(answer.Results), tasks)
	case job.Failed:
		return fmt.Sprintf("failed started=%s %s", answer.Started, answer.Reason)
	case job.Refused:
		return fmt.Sprintf("refused %s", answer.Reason)
	}
	return "unknown outcome " + string(answer.Outcome)
}

func sortedKeys[Value any](values map[string]Value) []string {
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// NewJob returns a job whose run times grow from firstMs to lastMs in equal steps
// from task to task. The output of each task names the job and the task.
func NewJob(name, kind string, tasks int, firstMs, lastMs int64, deadlineMs int64) job.Job {
	submitted := job.Job{
		Kind:       kind,
		DeadlineMs: deadlineMs,
	}
	for i := range tasks {
		runMs := firstMs
		if tasks > 1 {
			runMs += (lastMs - firstMs) * int64(i) / int64(tasks-1)
		}
		submitted.Tasks = append(submitted.Tasks, job.Task{
			RunMs:   runMs,
			Payload: json.RawMessage(fmt.Sprintf(`{"echo":%q}`, taskOutput(name, i))),
		})
	}
	return submitted
}

// taskOutput returns the text that a task is asked to return, which identifies the
// job and the task.
func taskOutput(name string, index int) string { return fmt.Sprintf("%s/%d", name, index) }

// Load is a stream of jobs that the client package sends at a fixed rate.
type Load struct {
	name       string
	cancel     context.CancelFunc
	sender     sync.WaitGroup
	mutex      sync.Mutex
	counts     map[string]int
	violations []string
}

// StartLoad sends perSecond small jobs a second until StopLoad. The jobs go
// through a balancer that distributes connections over the ready entry VMs, as
// callers of a real deployment send them.
func (scenario *Scenario) StartLoad(name string, perSecond int) {
	ctx, cancel := context.WithCancel(context.Background())
	load := &Load{
		name:   name,
		cancel: cancel,
		counts: make(map[string]int),
	}
	scenario.loads[name] = load
	balancer := newBalancer(scenario.System)
	caller := client.New(client.Config{
		URL:         "http://" + balancer.address(),
		Team:        team,
		Connections: 64,
	})
	load.sender.Go(func() {
		defer balancer.close()
		load.sendJobs(ctx, caller, time.Second/time.Duration(perSecond))
		caller.Close()
	})
}

func (load *Load) sendJobs(ctx context.Context, caller *client.Client, interval time.Duration) {
	var jobs sync.WaitGroup
	defer jobs.Wait()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			jobs.Go(func() { load.runJob(caller, fmt.Sprintf("%s-%d", load.name, i)) })
		}
	}
}

func (load *Load) runJob(caller *client.Client, name string) {
	const tasks, firstMs, lastMs, deadlineMs = 3, 20, 120, 10_000
	submitted := NewJob(name, "quote", tasks, firstMs, lastMs, deadlineMs)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	answer, err := caller.Run(ctx, submitted)
	load.mutex.Lock()
	defer load.mutex.Unlock()
	if err != nil {
		load.counts["no answer"]++
		return
	}
	load.counts[summarize(&answer, tasks)]++
	if violation := resultViolation(name, &answer); violation != "" {
		load.violations = append(load.violations, violation)
	}
}

// StopLoad ends a load, waits for its jobs and writes each distinct outcome on a
// line. The error wraps ErrUnknownJob, or ErrInvariantBroken with the violations
// in the results.
func (scenario *Scenario) StopLoad(out io.Writer, name string) error {
	load, ok := scenario.loads[name]
	if !ok {
		return eris.Wrap(ErrUnknownJob, name)
	}
	load.cancel()
	load.sender.Wait()
	load.mutex.Lock()
	defer load.mutex.Unlock()
	for _, summary := range sortedKeys(load.counts) {
		fmt.Fprintf(out, "%s: %s\n", name, summary)
	}
	if len(load.violations) > 0 {
		return eris.Wrap(ErrInvariantBroken, strings.Join(load.violations, "; "))
	}
	return nil
}

// Counts returns the number of jobs with each outcome that StopLoad wrote.
func (scenario *Scenario) Counts(name string) map[string]int { return scenario.loads[name].counts }

// balancer distributes new connections over the ready entry VMs, as the platform's
// balancer does. It copies bytes without interpreting them.
type balancer struct {
	listener    net.Listener
	system      *system.System
	nextEntryVM int
	mutex       sync.Mutex
}

func newBalancer(system *system.System) *balancer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic("scenario: no port for the balancer: " + err.Error())
	}
	balancer := &balancer{
		listener: listener,
		system:   system,
	}
	go balancer.serve()
	return balancer
}

func (balancer *balancer) address() string { return balancer.listener.Addr().String() }

func (balancer *balancer) close() { balancer.listener.Close() }

func (balancer *balancer) serve() {
	for {
		conn, err := balancer.listener.Accept()
		if err != nil {
			return
		}
		go balancer.forward(conn)
	}
}

func (balancer *balancer) forward(callerConn net.Conn) {
	defer callerConn.Close()
	entryConn, err := balancer.dial()
	if err != nil {
		return
	}
	defer entryConn.Close()
	go func() {
		defer entryConn.Close()
		_, _ = io.Copy(entryConn, callerConn)
	}()
	_, _ = io.Copy(callerConn, entryConn)
}

// dial connects to the next ready entry VM that accepts a connection, in turn.
func (balancer *balancer) dial() (net.Conn, error) {
	balancer.mutex.Lock()
	balancer.nextEntryVM++
	first := balancer.nextEntryVM
	balancer.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	entryVMs := balancer.system.Ready(ctx)
	for i := range entryVMs {
		entryVM := entryVMs[(first+i)%len(entryVMs)]
		conn, err := net.DialTimeout("tcp", entryVM.Settings.CallerAddress, time.Second)
		if err == nil {
			return conn, nil
		}
	}
	return nil, eris.New("no entry VM is ready")
}
