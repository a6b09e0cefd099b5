package dispatch

import (
	"time"

	"tanagerfall/shared/connection/upstream"
	"tanagerfall/shared/request/job"
	"tanagerfall/shared/request/placement"
	"tanagerfall/shared/request/submission"
)

const firstLease = 3 * time.Second

// run is one accepted job that has no answer yet.
type run struct {
	key      submission.Key
	spec     job.Job
	arrival  time.Time
	deadline time.Time
	results  []job.Result
	// open counts the tasks without a result.
	open     int
	messages int64
}

func (core *Core) acceptJob(event JobAccepted) {
	deadlineMs := event.Job.DeadlineMs
	if deadlineMs <= 0 {
		deadlineMs = core.config.Team.DeadlineMs
	}
	accepted := &run{
		key:      event.Key,
		spec:     event.Job,
		arrival:  core.now,
		deadline: core.now.Add(time.Duration(deadlineMs) * time.Millisecond),
		results:  make([]job.Result, len(event.Job.Tasks)),
		open:     len(event.Job.Tasks),
	}
	core.jobs[event.Key] = accepted
	core.config.Scheduler.Enqueue(accepted.placed())
}

// placed returns the job as the scheduler sees it.
func (run *run) placed() placement.Job {
	tasks := make([]placement.Task, len(run.spec.Tasks))
	for i, task := range run.spec.Tasks {
		tasks[i] = placement.Task{
			Index:      i,
			DeclaredMs: float64(task.RunMs),
			Need:       needOf(task),
		}
	}
	return placement.Job{
		Key:      run.key,
		Team:     run.spec.Team,
		Kind:     run.spec.Kind,
		Arrival:  run.arrival,
		Deadline: run.deadline,
		Tasks:    tasks,
	}
}

func needOf(task job.Task) placement.Need {
	return placement.Need{
		Cores:        task.Cores,
		MemoryMb:     task.MemoryMb,
		Accelerators: task.Accelerators,
	}
}

func (core *Core) place() {
	for {
		assignment, placed := core.config.Scheduler.Next(core.now)
		if !placed {
			return
		}
		core.start(assignment)
	}
}

func (core *Core) start(assignment placement.Assignment) {
	owner := core.jobs[assignment.Key]
	owner.messages++
	core.decide(StartTask{
		Task: upstream.Task{
			Key:   assignment.Key,
			Index: assignment.Index,
		},
		Upstream: assignment.Upstream,
		Kind:     owner.spec.Kind,
		Spec:     owner.spec.Tasks[assignment.Index],
		Lease:    firstLease,
		Deadline: owner.deadline,
	})
}

func (core *Core) endTask(event TaskEnded) {
	owner, known := core.jobs[event.Task.Key]
	if !known {
		return
	}
	spec := owner.spec.Tasks[event.Task.Index]
	core.config.Scheduler.Release(event.Upstream, needOf(spec))
	core.config.Estimator.Observe(owner.spec.Kind, event.Upstream, float64(spec.RunMs), float64(event.RunMs))
	owner.messages++
	owner.open--
	owner.results[event.Task.Index] = job.Result{
		Index:    event.Task.Index,
		Upstream: event.Upstream,
		RunMs:    event.RunMs,
		Output:   event.Output,
	}
	if owner.open == 0 {
		core.finish(owner, job.Answer{
			Outcome: job.Complete,
			Results: owner.results,
		})
	}
}

func (core *Core) finish(owner *run, answer job.Answer) {
	delete(core.jobs, owner.key)
	answer.ElapsedMs = core.now.Sub(owner.arrival).Milliseconds()
	answer.Messages = owner.messages
	core.decide(FinishJob{
		Key:    owner.key,
		Answer: answer,
	})
}
