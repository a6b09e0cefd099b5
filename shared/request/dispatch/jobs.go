package dispatch

import (
	"time"

	"tanagerfall/shared/request/job"
	"tanagerfall/shared/request/placement"
	"tanagerfall/shared/request/submission"
	"tanagerfall/shared/version/plan"
)

// jobState is an accepted job. It is kept until the job is answered and the end
// of all its attempts is known.
type jobState struct {
	key  submission.Key
	spec job.Job
	// rule is the plan's rule for the job, if hasRule is true.
	rule    plan.Rule
	hasRule bool
	// repeatable is true for a single request of an idempotent kind.
	repeatable bool
	arrival    time.Time
	deadline   time.Time
	idealMs    int64
	tasks      []task
	// schedulerJob is the job in the scheduler's terms.
	schedulerJob placement.Job
	results      []job.Result
	// missingResults counts the tasks without a result.
	missingResults int
	// unsettledAttempts counts the attempts that may be running.
	unsettledAttempts int
	// awaitingClose counts the settled attempts whose connection is still open.
	awaitingClose int
	// messages counts the messages to and from upstreams for this job.
	messages int64
	// started is true once it is certain that a task started.
	started bool
	// ambiguous is true once an attempt ended of which it stays unknown whether
	// it started.
	ambiguous bool
	// closing is true once the job can no longer complete; reason and detail say
	// why.
	closing  bool
	reason   job.Reason
	detail   string
	answered bool
	timer    timer
}

// acceptJob admits or refuses a job. A second event for the same key changes
// nothing, because its tasks must not start twice.
func (core *Core) acceptJob(event JobAccepted) {
	if _, exists := core.jobs[event.Key]; exists {
		return
	}
	core.counters.Jobs++
	acceptedJob := core.newJobState(event)
	if answer, refused := core.admissionRefusal(acceptedJob); refused {
		core.answer(acceptedJob, answer)
		return
	}
	core.setSchedulerShare(ruleKeyOf(&event.Job), acceptedJob.rule)
	core.jobs[event.Key] = acceptedJob
	core.load.add(acceptedJob)
	core.recordUnplaceable(acceptedJob)
	core.arm(&acceptedJob.timer, acceptedJob.deadline)
	core.config.Scheduler.Enqueue(acceptedJob.schedulerJob)
	core.mayPlace = true
}

func (core *Core) newJobState(event JobAccepted) *jobState {
	rule, ok := core.rule(ruleKeyOf(&event.Job))
	acceptedJob := &jobState{
		key:            event.Key,
		spec:           event.Job,
		rule:           rule,
		hasRule:        ok,
		repeatable:     event.Single && ok && rule.Idempotent,
		arrival:        core.now,
		deadline:       core.now.Add(core.deadlineOf(&event.Job, rule)),
		tasks:          make([]task, len(event.Job.Tasks)),
		missingResults: len(event.Job.Tasks),
	}
	acceptedJob.timer.owner = acceptedJob
	for i := range acceptedJob.tasks {
		declaredMs := float64(event.Job.Tasks[i].RunMs)
		newTask := &acceptedJob.tasks[i]
		newTask.acceptedJob = acceptedJob
		newTask.index = i
		newTask.workMs = core.config.Estimator.WorkMs(event.Job.Kind, declaredMs)
		newTask.timer.owner = newTask
	}
	acceptedJob.schedulerJob = acceptedJob.forScheduler()
	acceptedJob.idealMs = core.idealResponseTime(acceptedJob).Milliseconds()
	return acceptedJob
}

// forScheduler returns the job in the scheduler's terms.
func (jobState *jobState) forScheduler() placement.Job {
	tasks := make([]placement.Task, len(jobState.tasks))
	for i := range jobState.tasks {
		tasks[i] = jobState.tasks[i].forScheduler()
	}
	return placement.Job{
		Key:      jobState.key,
		Team:     ruleKeyOf(&jobState.spec).queueName(),
		Kind:     jobState.spec.Kind,
		Arrival:  jobState.arrival,
		Deadline: jobState.deadline,
		Priority: jobState.rule.Priority,
		Tasks:    tasks,
	}
}

func (core *Core) cancelJob(event JobCancelled) {
	if acceptedJob, exists := core.jobs[event.Key]; exists {
		core.close(acceptedJob, job.ReasonCancelled, "cancelled by the caller")
	}
}

// expire closes a job at its deadline, and answers a closing job whose attempts
// did not settle within Limits.SettleTimeout.
func (jobState *jobState) expire(core *Core) {
	switch {
	case jobState.answered:
	case !jobState.closing:
		core.close(jobState, job.ReasonDeadline, "the deadline passed")
	default:
		core.answer(jobState, job.Failure(job.StartedUnknown, jobState.reason, jobState.detail))
	}
}

// close abandons a job that cannot complete: its waiting tasks are dropped and
// its running tasks are cancelled. The answer follows once it is known whether a
// task started.
func (core *Core) close(acceptedJob *jobState, reason job.Reason, detail string) {
	if acceptedJob.answered || acceptedJob.closing {
		core.finalizeJob(acceptedJob)
		return
	}
	acceptedJob.closing = true
	acceptedJob.reason = reason
	acceptedJob.detail = detail
	core.config.Scheduler.Drop(acceptedJob.key)
	for i := range acceptedJob.tasks {
		core.abandonTask(&acceptedJob.tasks[i])
	}
	core.arm(&acceptedJob.timer, core.now.Add(core.config.Limits.SettleTimeout))
	core.finalizeJob(acceptedJob)
}

// finalizeJob answers a closing job once its answer is certain, and removes an
// answered job once none of its attempts is left at an upstream.
func (core *Core) finalizeJob(acceptedJob *jobState) {
	if acceptedJob.closing && !acceptedJob.answered {
		core.answerClosing(acceptedJob)
	}
	if acceptedJob.answered && acceptedJob.unsettledAttempts == 0 && acceptedJob.awaitingClose == 0 {
		core.disarm(&acceptedJob.timer)
		delete(core.jobs, acceptedJob.key)
	}
}

func (core *Core) answerClosing(acceptedJob *jobState) {
	switch {
	case acceptedJob.started:
		core.answer(acceptedJob, job.Failure(job.StartedYes, acceptedJob.reason, acceptedJob.detail))
	case acceptedJob.unsettledAttempts > 0:
	case acceptedJob.ambiguous:
		core.answer(acceptedJob, job.Failure(job.StartedUnknown, acceptedJob.reason, acceptedJob.detail))
	case acceptedJob.reason == job.ReasonEvacuated:
		core.answer(acceptedJob, core.evacuationRefusal())
	default:
		core.answer(acceptedJob, job.Refusal(acceptedJob.reason, acceptedJob.detail))
	}
}

// complete answers a job that has all its results.
func (core *Core) complete(acceptedJob *jobState) {
	core.answer(acceptedJob, job.Answer{
		Outcome: job.Complete,
		Results: acceptedJob.results,
	})
	acceptedJob.results = nil
	core.finalizeJob(acceptedJob)
}

// answer answers a job. It is the only place that emits a FinishJob.
func (core *Core) answer(acceptedJob *jobState, answer job.Answer) {
	acceptedJob.answered = true
	delete(core.unplaceable, acceptedJob.key)
	core.disarm(&acceptedJob.timer)
	answer.ElapsedMs = core.now.Sub(acceptedJob.arrival).Milliseconds()
	answer.IdealMs = acceptedJob.idealMs
	answer.Messages = acceptedJob.messages
	core.counters.countAnswer(answer)
	core.emit(FinishJob{
		Key:    acceptedJob.key,
		Answer: answer,
	})
}
