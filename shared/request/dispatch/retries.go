package dispatch

import (
	"tanagerfall/shared/request/job"
	"tanagerfall/shared/request/limit"
)

// budget returns the retry budget of a kind.
func (core *Core) budget(kind string) *limit.Budget {
	held, known := core.budgets[kind]
	if !known {
		held = limit.NewBudget(core.config.Limits.RetryShare, core.config.Limits.RetryBurst)
		core.budgets[kind] = held
	}
	return held
}

// retry plans the next attempt of a task whose present attempt did not start.
func (core *Core) retry(task *task) {
	owner := task.owner
	task.attempt++
	task.state = delayed
	core.load.waiting++
	core.load.workMs += task.workMs
	if !core.guards.NoRetryBudget && !core.budget(owner.spec.Kind).Take() {
		core.close(owner, job.ReasonRetriesUsedUp, "the retry budget of the kind is used up")
		return
	}
	core.counters.Retries++
	delay := core.config.Limits.RetryBackoff.Delay(task.attempt-1, core.config.Random)
	core.arm(&task.timer, core.now.Add(delay))
}

func (core *Core) requeue(task *task) {
	task.state = waiting
	core.config.Scheduler.Requeue(task.owner.placing, task.placed())
	core.placeable = true
}
