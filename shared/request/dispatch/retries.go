package dispatch

import (
	"tanagerfall/shared/request/limit"
)

// retryBudget returns the retry budget of a kind and creates it on first use.
func (core *Core) retryBudget(kind string) *limit.Budget {
	kindBudget, exists := core.retryBudgets[kind]
	if !exists {
		kindBudget = limit.NewBudget(core.config.Limits.RetryShare, core.config.Limits.RetryBurst)
		core.retryBudgets[kind] = kindBudget
	}
	return kindBudget
}

// scheduleRetry schedules the next attempt of a task whose present attempt did not
// start.
func (core *Core) scheduleRetry(task *task) {
	task.attempt++
	task.state = delayed
	core.load.waiting++
	core.load.workMs += task.workMs
	delay := core.config.Limits.RetryBackoff.Delay(task.attempt-1, core.config.Random)
	core.arm(&task.timer, core.now.Add(delay))
}

// retryNow queues a task after its backoff. While the budget of its kind is used
// up the task keeps waiting: it has not started, so only its deadline can fail it.
func (core *Core) retryNow(task *task) {
	if !core.mayRetry(task.acceptedJob.spec.Kind) {
		core.counters.PostponedRetries++
		core.arm(&task.timer, core.now.Add(core.config.Limits.RetryInterval))
		return
	}
	core.counters.Retries++
	core.requeue(task)
}

// mayRetry spends a token of the kind's budget. Without tokens it allows one retry
// per RetryInterval, because a kind that starts nothing else earns no tokens.
func (core *Core) mayRetry(kind string) bool {
	if core.guards.NoRetryBudget || core.retryBudget(kind).TryWithdraw() {
		return true
	}
	if core.now.Before(core.nextUnbudgetedRetry[kind]) {
		return false
	}
	core.nextUnbudgetedRetry[kind] = core.now.Add(core.config.Limits.RetryInterval)
	return true
}

func (core *Core) requeue(task *task) {
	task.state = waiting
	core.config.Scheduler.Requeue(task.acceptedJob.schedulerJob, task.forScheduler())
	core.mayPlace = true
}
