package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Step is a step of a job as clients send it.
type Step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu,omitempty"`
	Mem          int    `json:"mem-mb,omitempty"`
	GPU          int    `json:"gpu,omitempty"`
	EstimateMs   int    `json:"estimate-ms"`
	DependsOn    []int  `json:"depends-on,omitempty"`
	Requirements string `json:"requirements,omitempty"`
	AntiAffinity int    `json:"anti-affinity,omitempty"`
}

// Job is a job that a client sent.
type Job struct {
	ID    string
	Spec  string
	Steps []Step
	// The following belong to the Checker.
	starts      int
	attempts    []int
	cancelledAt time.Time
	done        map[string]bool
}

func (job *Job) step(task string) *Step {
	parts := strings.Split(task, ".")
	index, _ := strconv.Atoi(parts[2])
	if index >= len(job.Steps) {
		return nil
	}
	return &job.Steps[index]
}

func (job *Job) need(task string) resources {
	step := job.step(task)
	if step == nil {
		return resources{}
	}
	return resources{step.CPU, step.Mem, step.GPU}
}

func (job *Job) body() []byte {
	data, _ := json.Marshal(map[string]any{"spec": job.Spec, "steps": job.Steps, "best-effort": true})
	return data
}

func newJob(spec string, steps ...Step) *Job {
	return &Job{ID: fmt.Sprintf("%016x", rand.Uint64()), Spec: spec, Steps: steps, done: map[string]bool{}}
}

type activeRun struct {
	worker *Worker
	run    *workerRun
}

// Checker checks the rules by what clients and workers see.
type Checker struct {
	world  *World
	mutex  sync.Mutex
	jobs   map[string]*Job
	active map[string][]activeRun
	breaks []string
	counts map[string]int
}

func newChecker(world *World) *Checker {
	return &Checker{world: world, jobs: map[string]*Job{}, active: map[string][]activeRun{}, counts: map[string]int{}}
}

func (checker *Checker) add(job *Job) {
	checker.mutex.Lock()
	checker.jobs[job.ID] = job
	checker.mutex.Unlock()
}

func (checker *Checker) job(id string) *Job {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	return checker.jobs[id]
}

func (checker *Checker) broken(rule, format string, args ...any) {
	text := rule + " broken: " + fmt.Sprintf(format, args...)
	checker.breaks = append(checker.breaks, text)
	checker.world.record("%s", text)
}

// started records and checks a start. over says that it brings the worker over its capacity.
func (checker *Checker) started(worker *Worker, run *workerRun, order orderBody, caller int, over bool, now time.Time) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.counts["starts"]++
	checker.world.record("%s start of %s run %d by p%d token %d", worker.id, run.task, run.number, caller, order.Token)
	inTouch := caller >= 0 && checker.world.procs[caller].inTouch(now) && !checker.world.storeCut(caller)
	job := checker.jobs[jobOf(run.task)]
	if job == nil {
		checker.broken("UNASKED", "no client sent the job of %s", run.task)
		return
	}
	job.starts++
	if order.Spec != job.Spec {
		checker.broken("UNASKED", "spec of %s differs", run.task)
	}
	if !job.cancelledAt.IsZero() && now.Sub(job.cancelledAt) > cancelTime && inTouch {
		checker.broken("UNASKED", "%s starts %.3f s after its cancelling was acknowledged", run.task, now.Sub(job.cancelledAt).Seconds())
	}
	for _, other := range checker.active[run.task] {
		checker.broken("TWICE", "%s runs on %s (run %d) and %s (run %d)", run.task, other.worker.id, other.run.number, worker.id, run.number)
	}
	checker.active[run.task] = append(checker.active[run.task], activeRun{worker, run})
	step := job.step(run.task)
	if step == nil {
		checker.broken("UNASKED", "no such step: %s", run.task)
		return
	}
	for _, dependency := range step.DependsOn {
		for index := range job.Steps[dependency].Count {
			if name := fmt.Sprintf("%s.0.%d.%d", job.ID, dependency, index); !job.done[name] {
				checker.broken("ORDER", "%s starts before %s is done", run.task, name)
			}
		}
	}
	if step.Requirements != "" {
		found := false
		for _, label := range worker.labels {
			found = found || label == step.Requirements
		}
		if !found {
			checker.broken("ROUTE", "%s starts on %s without label %s", run.task, worker.id, step.Requirements)
		}
	}
	if step.AntiAffinity > 0 {
		prefix := run.task[:strings.LastIndex(run.task, ".")+1]
		count := 1
		for name, other := range worker.running {
			if strings.HasPrefix(name, prefix) && other.stopAt.IsZero() {
				count++
			}
		}
		if count > step.AntiAffinity {
			checker.broken("ROUTE", "%s is number %d of its step on %s", run.task, count, worker.id)
		}
	}
	if over && !worker.guards {
		checker.broken("LIMIT", "%s brings %s over its capacity", run.task, worker.id)
	}
	if !worker.drainedAt.IsZero() && now.Sub(worker.drainedAt) > drainTime && inTouch {
		checker.broken("DRAIN", "%s starts on %s %.3f s after it drained", run.task, worker.id, now.Sub(worker.drainedAt).Seconds())
	}
}

// ended records the end of a run.
func (checker *Checker) ended(worker *Worker, run *workerRun, how string, now time.Time) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.counts["ended "+how]++
	checker.world.record("%s end of %s run %d: %s", worker.id, run.task, run.number, how)
	remaining := checker.active[run.task][:0]
	for _, other := range checker.active[run.task] {
		if other.run != run {
			remaining = append(remaining, other)
		}
	}
	checker.active[run.task] = remaining
	if job := checker.jobs[jobOf(run.task)]; job != nil && how == "done" {
		job.done[run.task] = true
	}
}

// answered records the answer to an attempt of a client.
func (checker *Checker) answered(job *Job, proc, status int, body string) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.counts[fmt.Sprintf("answer %d", status)]++
	checker.world.record("client of %s gets %d from p%d: %s", job.ID, status, proc, strings.TrimSpace(body))
	job.attempts = append(job.attempts, status)
	if status == 200 && strings.Contains(body, "completed") {
		for step := range job.Steps {
			for index := range job.Steps[step].Count {
				if name := fmt.Sprintf("%s.0.%d.%d", job.ID, step, index); !job.done[name] {
					checker.broken("MIXED", "%s completed, and %s is not done", job.ID, name)
				}
			}
		}
	}
}

// result checks what can be judged at the end only, and returns the broken rules.
func (checker *Checker) result() []string {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	for _, job := range checker.jobs {
		rejected := len(job.attempts) > 0
		for _, status := range job.attempts {
			rejected = rejected && (status == 503 || status == 429 || status == 404)
		}
		if rejected && job.starts > 0 {
			checker.broken("REFUSED", "%s was rejected %v and has %d starts", job.ID, job.attempts, job.starts)
		}
	}
	checker.world.record("counts: %v", checker.counts)
	return checker.breaks
}

// submit sends a job like a client: after no answer, 502 or 504 again after resend-ms, at
// another process, while its time budget lasts.
func (world *World) submit(job *Job, proc int, budget time.Duration, resends int) {
	world.checker.add(job)
	began := time.Now()
	for attempt := 0; ; attempt++ {
		left := budget
		if attempt > 0 {
			left -= time.Since(began)
		}
		if left < 10*time.Millisecond {
			return
		}
		world.record("client sends %s to p%d, waits %d ms", job.ID, proc, left.Milliseconds())
		status, body := world.call("POST", proc, job.ID, left, job.body())
		world.checker.answered(job, proc, status, body)
		if attempt >= resends || (status != 0 && status != 502 && status != 504) {
			return
		}
		time.Sleep(resendTime)
		proc = rand.IntN(len(world.procs))
	}
}

// cancel cancels a job like a client, and records when that is acknowledged.
func (world *World) cancel(job *Job, proc int) int {
	world.record("client cancels %s at p%d", job.ID, proc)
	status, body := world.call("DELETE", proc, job.ID, 4*time.Second, nil)
	world.record("client gets %d for the cancel of %s: %s", status, job.ID, strings.TrimSpace(body))
	world.checker.mutex.Lock()
	if status >= 200 && status < 300 && job.cancelledAt.IsZero() {
		job.cancelledAt = time.Now()
	}
	world.checker.mutex.Unlock()
	return status
}
