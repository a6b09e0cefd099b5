package dispatch

import (
	"time"

	"tanagerfall/shared/request/job"
	"tanagerfall/shared/request/placement"
	"tanagerfall/shared/request/submission"
	"tanagerfall/shared/version/plan"
)

// run is one accepted job, kept until it is answered and the end of all its
// tasks is known.
type run struct {
	key  submission.Key
	spec job.Job
	// rule is the plan's, if ruled is true.
	rule  plan.Rule
	ruled bool
	// repeatable is true for a single request of an idempotent kind.
	repeatable bool
	arrival    time.Time
	deadline   time.Time
	idealMs    int64
	tasks      []task
	// placing is the job as the scheduler sees it.
	placing placement.Job
	results []job.Result
	// missing counts the tasks without a result.
	missing int
	// unsettled counts the attempts that may be running.
	unsettled int
	// lingering counts the settled attempts whose connection is still open.
	lingering int
	messages  int64
	// started is true once it is certain that a task started.
	started bool
	// ambiguous is true once it will never be known whether a task started.
	ambiguous bool
	// closing is true once the job can no longer become complete; reason and
	// detail say why.
	closing  bool
	reason   job.Reason
	detail   string
	answered bool
	timer    timer
}

// acceptJob admits or refuses a job. A second event for a key changes nothing:
// its tasks must not start twice.
func (core *Core) acceptJob(event JobAccepted) {
	if _, known := core.jobs[event.Key]; known {
		return
	}
	core.counters.Jobs++
	accepted := core.newRun(event)
	if answer, refused := core.refusal(accepted); refused {
		core.answer(accepted, answer)
		return
	}
	core.shareOut(keyOf(&event.Job), accepted.rule)
	core.jobs[event.Key] = accepted
	core.load.add(accepted)
	core.noteUnfit(accepted)
	core.arm(&accepted.timer, accepted.deadline)
	core.config.Scheduler.Enqueue(accepted.placing)
	core.placeable = true
}

func (core *Core) newRun(event JobAccepted) *run {
	rule, ruled := core.rule(keyOf(&event.Job))
	accepted := &run{
		key:        event.Key,
		spec:       event.Job,
		rule:       rule,
		ruled:      ruled,
		repeatable: event.Single && ruled && rule.Idempotent,
		arrival:    core.now,
		deadline:   core.now.Add(core.deadlineOf(&event.Job, rule)),
		tasks:      make([]task, len(event.Job.Tasks)),
		missing:    len(event.Job.Tasks),
	}
	accepted.timer.owner = accepted
	for i := range accepted.tasks {
		declaredMs := float64(event.Job.Tasks[i].RunMs)
		added := &accepted.tasks[i]
		added.owner = accepted
		added.index = i
		added.workMs = core.config.Estimator.WorkMs(event.Job.Kind, declaredMs)
		added.timer.owner = added
	}
	accepted.placing = accepted.placed()
	accepted.idealMs = core.ideal(accepted).Milliseconds()
	return accepted
}

// placed returns the job as the scheduler sees it.
func (run *run) placed() placement.Job {
	tasks := make([]placement.Task, len(run.tasks))
	for i := range run.tasks {
		tasks[i] = run.tasks[i].placed()
	}
	return placement.Job{
		Key:      run.key,
		Team:     keyOf(&run.spec).queue(),
		Kind:     run.spec.Kind,
		Arrival:  run.arrival,
		Deadline: run.deadline,
		Priority: run.rule.Priority,
		Tasks:    tasks,
	}
}

func (core *Core) cancelJob(event JobCancelled) {
	if owner, known := core.jobs[event.Key]; known {
		core.close(owner, job.ReasonCancelled, "cancelled by the caller")
	}
}

// expire closes a job at its deadline, and answers a closing job whose tasks
// did not settle in time.
func (run *run) expire(core *Core) {
	switch {
	case run.answered:
	case !run.closing:
		core.close(run, job.ReasonDeadline, "the deadline passed")
	default:
		core.answer(run, job.Failure(job.StartedUnknown, run.reason, run.detail))
	}
}

// close gives up a job that cannot become complete: its waiting tasks are
// dropped and its running tasks are cancelled. The answer follows as soon as
// it is known whether a task started.
func (core *Core) close(owner *run, reason job.Reason, detail string) {
	if owner.answered || owner.closing {
		core.conclude(owner)
		return
	}
	owner.closing = true
	owner.reason = reason
	owner.detail = detail
	core.config.Scheduler.Drop(owner.key)
	for i := range owner.tasks {
		core.giveUp(&owner.tasks[i])
	}
	core.arm(&owner.timer, core.now.Add(core.config.Limits.SettleWithin))
	core.conclude(owner)
}

// conclude answers a closing job once its answer is certain, and forgets an
// answered job once nothing of it is left at an upstream.
func (core *Core) conclude(owner *run) {
	if owner.closing && !owner.answered {
		core.answerClosing(owner)
	}
	if owner.answered && owner.unsettled == 0 && owner.lingering == 0 {
		core.disarm(&owner.timer)
		delete(core.jobs, owner.key)
	}
}

func (core *Core) answerClosing(owner *run) {
	switch {
	case owner.started:
		core.answer(owner, job.Failure(job.StartedYes, owner.reason, owner.detail))
	case owner.unsettled > 0:
	case owner.ambiguous:
		core.answer(owner, job.Failure(job.StartedUnknown, owner.reason, owner.detail))
	default:
		core.answer(owner, job.Refusal(owner.reason, owner.detail))
	}
}

// complete answers a job that has all its results.
func (core *Core) complete(owner *run) {
	core.answer(owner, job.Answer{
		Outcome: job.Complete,
		Results: owner.results,
	})
	owner.results = nil
	core.conclude(owner)
}

// answer is the only place that makes a FinishJob.
func (core *Core) answer(owner *run, answer job.Answer) {
	owner.answered = true
	delete(core.unfit, owner.key)
	core.disarm(&owner.timer)
	answer.ElapsedMs = core.now.Sub(owner.arrival).Milliseconds()
	answer.IdealMs = owner.idealMs
	answer.Messages = owner.messages
	core.counters.countAnswer(answer)
	core.decide(FinishJob{
		Key:    owner.key,
		Answer: answer,
	})
}
