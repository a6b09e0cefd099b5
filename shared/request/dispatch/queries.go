package dispatch

import (
	"time"

	"tanagerfall/shared/connection/upstream"
)

// overdueAfter returns the run time after which an attempt is overdue by its
// estimate, so that its connection may have gone silent.
func (task *task) overdueAfter(limits *Limits) time.Duration {
	return max(limits.OverdueAfter, 3*task.expectedRunTime)
}

// checkAttempt acts on an attempt of which nothing was heard for a while.
func (core *Core) checkAttempt(task *task) {
	switch {
	case !core.now.Before(task.abandonAt):
		core.expireAttempt(task)
	case task.queryPending || task.queryInFlight || !task.upstream.capabilities.Leases:
		core.arm(&task.timer, task.abandonAt)
	case core.isSilenceCheck(task) && !core.overdueBudget.Take():
		core.arm(&task.timer, task.renewAt())
	default:
		core.queryTask(task, core.config.Limits.QueryWindow)
	}
}

// expireAttempt settles an attempt whose lease and grace have passed without
// news. Workers that answer no leases keep none, so there an open connection
// is waited for while the job may still become complete.
func (core *Core) expireAttempt(task *task) {
	if !task.upstream.capabilities.Leases && !task.acceptedJob.closing {
		task.abandonAt = core.now.Add(task.lease)
		core.arm(&task.timer, task.abandonAt)
		return
	}
	core.markUnknown(task)
}

// renewAt returns when the lease has to be renewed: at half of it.
func (task *task) renewAt() time.Time {
	return task.leaseEnd.Add(-task.lease / 2)
}

// isSilenceCheck reports whether a question would only look for a silent connection.
func (core *Core) isSilenceCheck(task *task) bool {
	return task.state == running && !task.cancelling && core.now.Before(task.renewAt())
}

// queryTask collects a question about an attempt; it is sent with the other
// questions to the upstream within the window.
func (core *Core) queryTask(queried *task, window time.Duration) {
	core.arm(&queried.timer, queried.abandonAt)
	if queried.queryPending || !queried.upstream.capabilities.Leases {
		return
	}
	queried.queryPending = true
	queried.upstream.queryTasks = append(queried.upstream.queryTasks, queried)
	core.scheduleQuery(queried.upstream, window)
}

// sendQuery sends the questions that were collected for an upstream.
func (core *Core) sendQuery(upstream *upstreamState) {
	query := QueryUpstream{
		Upstream:  upstream.declared.ID,
		Lease:     core.config.Limits.MinLease,
		ListTasks: upstream.listTasks,
	}
	if len(upstream.queryTasks) > 0 {
		core.addEarlyRenewals(upstream)
	}
	var firstJob *jobState
	for _, queried := range upstream.queryTasks {
		if !queried.queryPending || !queried.active() || queried.upstream != upstream {
			continue
		}
		if firstJob == nil {
			firstJob = queried.acceptedJob
		}
		core.addToQuery(&query, queried)
	}
	upstream.queryTasks = nil
	upstream.listTasks = false
	if firstJob == nil && !query.ListTasks {
		return
	}
	core.countQuery(firstJob)
	core.emit(query)
}

func (core *Core) addToQuery(query *QueryUpstream, queried *task) {
	queried.queryPending = false
	queried.queryInFlight = true
	queried.queriedAt = core.now
	queried.queryCount++
	if queried.cancelling {
		query.Cancel = append(query.Cancel, queried.id())
		return
	}
	query.Renew = append(query.Renew, queried.id())
	// What a task ran already counts as its estimate, so that the number of
	// renewals grows with the logarithm of its run time.
	elapsed := core.now.Sub(queried.startedAt)
	query.Lease = max(query.Lease, queried.lease, 3*elapsed)
}

// addEarlyRenewals adds the questions that would come soon to those that are about
// to be sent: a task that outlived a quarter of its lease has a fair chance to
// outlive half of it.
func (core *Core) addEarlyRenewals(upstream *upstreamState) {
	for _, activeTask := range upstream.active {
		if activeTask.queryPending || activeTask.queryInFlight || activeTask.cancelling {
			continue
		}
		if core.now.Before(activeTask.leaseEnd.Add(-activeTask.lease * 3 / 4)) {
			continue
		}
		activeTask.queryPending = true
		upstream.queryTasks = append(upstream.queryTasks, activeTask)
		core.arm(&activeTask.timer, activeTask.abandonAt)
	}
}

// countQuery counts the two messages of an ask for the first job that it names,
// so that the sum over all jobs is the number of messages.
func (core *Core) countQuery(acceptedJob *jobState) {
	core.counters.StatusQueries++
	core.counters.Messages += 2
	if acceptedJob != nil {
		acceptedJob.messages += 2
	}
}

// handleQueryAnswer handles an upstream's answer.
func (core *Core) handleQueryAnswer(event QueryAnswered) {
	if event.Response.Draining {
		core.drainUpstream(event.Upstream)
	}
	for _, report := range event.Response.Tasks {
		id, err := upstream.ParseTask(report.TaskID)
		if err != nil {
			core.counters.MalformedReports++
			continue
		}
		if reportedTask, ok := core.findAttempt(id); ok && reportedTask.active() {
			core.applyReport(reportedTask, report, event)
		}
	}
	core.rescheduleQueries(event.Query)
	if queried, exists := core.upstreams[event.Upstream]; exists && event.Query.ListTasks {
		core.applyOccupancy(queried, event.Response.Occupancy)
	}
}

func (core *Core) applyReport(reported *task, report upstream.TaskReport, event QueryAnswered) {
	reported.queryInFlight = false
	reported.failedQueries = 0
	switch report.State {
	case upstream.Finished:
		core.finishTask(reported, report.RunMs, report.Output)
	case upstream.TaskFailed:
		if report.Reason == upstream.ReasonRestarted {
			core.markUnknown(reported)
			return
		}
		core.failTask(reported, report.Reason)
	case upstream.StillRunning:
		core.extendLease(reported, event.Query.Lease)
	case upstream.Stopped:
		core.stopTask(reported)
	case upstream.NeverStarted:
		if core.provesNeverStarted(reported, event.Response) {
			core.settleNotStarted(reported)
			return
		}
		core.markUnknown(reported)
	default:
		core.counters.MalformedReports++
		reported.queryInFlight = true
	}
}

// provesNeverStarted reports whether a "never started" is a proof. A worker
// that restarted after the attempt was sent has forgotten what it ran before,
// so the worker must have been up since before then. The time that the answer
// took to arrive only makes the comparison stricter.
func (core *Core) provesNeverStarted(reported *task, response upstream.LeaseResponse) bool {
	uptime := time.Duration(response.UptimeMs) * time.Millisecond
	return reported.upstream.capabilities.Tombstones && uptime >= core.now.Sub(reported.startedAt)
}

// extendLease goes on watching an attempt that is running.
func (core *Core) extendLease(renewed *task, lease time.Duration) {
	acceptedJob := renewed.acceptedJob
	acceptedJob.started = true
	core.observeStraggler(renewed)
	if renewed.cancelling {
		core.arm(&renewed.timer, core.dueTime(core.config.Limits.QueryBackoff.Bound(renewed.queryCount), renewed.abandonAt))
		core.finalizeJob(acceptedJob)
		return
	}
	renewed.lease = lease
	renewed.leaseEnd = renewed.queriedAt.Add(lease)
	renewed.abandonAt = renewed.leaseEnd.Add(core.config.Limits.LeaseGrace)
	renewed.expiredInPause = false
	core.arm(&renewed.timer, core.dueTime(core.nextQueryDelay(renewed), renewed.renewAt()))
}

// nextQueryDelay returns the time until the next question about a running attempt.
// With a connection, the connection brings the end, so the interval doubles
// with the run time. Without one, only a question brings the end.
func (core *Core) nextQueryDelay(renewed *task) time.Duration {
	elapsed := core.now.Sub(renewed.startedAt)
	if renewed.state == running {
		return elapsed
	}
	return max(renewed.expectedRunTime-elapsed, core.config.Limits.QueryBackoff.Bound(renewed.queryCount-1))
}

func (core *Core) dueTime(delay time.Duration, latest time.Time) time.Time {
	due := core.now.Add(delay)
	if latest.Before(due) && latest.After(core.now) {
		return latest
	}
	return due
}

// observeStraggler lets the estimator know of a straggler before its task ends.
func (core *Core) observeStraggler(straggler *task) {
	elapsed := core.now.Sub(straggler.startedAt)
	if elapsed < 2*straggler.expectedRunTime || straggler.queryCount > 1 {
		return
	}
	core.config.Estimator.Observe(straggler.acceptedJob.spec.Kind, straggler.upstream.declared.ID,
		float64(straggler.spec().RunMs), float64(elapsed.Milliseconds()))
}

// handleQueryFailure handles an ask that got no answer.
func (core *Core) handleQueryFailure(event QueryFailed) {
	core.counters.FailedQueries++
	if upstream, exists := core.upstreams[event.Upstream]; exists {
		core.recordFailure(upstream)
		if event.Query.ListTasks {
			core.assumeFree(upstream)
		}
	}
	core.rescheduleQueries(event.Query)
}

// rescheduleQueries plans the next question about each task of an ask that is still
// without a report.
func (core *Core) rescheduleQueries(query QueryUpstream) {
	for _, id := range query.Renew {
		core.rescheduleQuery(id)
	}
	for _, id := range query.Cancel {
		core.rescheduleQuery(id)
	}
}

func (core *Core) rescheduleQuery(id upstream.Task) {
	queried, ok := core.findAttempt(id)
	if !ok || !queried.active() || !queried.queryInFlight {
		return
	}
	queried.queryInFlight = false
	queried.failedQueries++
	delay := core.config.Limits.QueryBackoff.Delay(queried.failedQueries-1, core.config.Random)
	core.arm(&queried.timer, core.dueTime(delay, queried.abandonAt))
}
