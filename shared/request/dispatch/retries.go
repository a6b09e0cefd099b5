package dispatch

import (
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
	task.attempt++
	task.state = delayed
	core.load.waiting++
	core.load.workMs += task.workMs
	delay := core.config.Limits.RetryBackoff.Delay(task.attempt-1, core.config.Random)
	core.arm(&task.timer, core.now.Add(delay))
}

// retryDue ends the delay of a task. While the budget of its kind is used up
// the task waits on: it has not started, so only its deadline can fail it.
func (core *Core) retryDue(task *task) {
	if !core.mayRetry(task.owner.spec.Kind) {
		core.counters.HeldRetries++
		core.arm(&task.timer, core.now.Add(core.config.Limits.RetryEvery))
		return
	}
	core.counters.Retries++
	core.requeue(task)
}

// mayRetry spends a token of the kind's budget. Without tokens it allows one
// retry in each RetryEvery, because a kind that starts nothing else earns none.
func (core *Core) mayRetry(kind string) bool {
	if core.guards.NoRetryBudget || core.budget(kind).TryWithdraw() {
		return true
	}
	if core.now.Before(core.unbudgeted[kind]) {
		return false
	}
	core.unbudgeted[kind] = core.now.Add(core.config.Limits.RetryEvery)
	return true
}

func (core *Core) requeue(task *task) {
	task.state = waiting
	core.config.Scheduler.Requeue(task.owner.placing, task.placed())
	core.placeable = true
}
