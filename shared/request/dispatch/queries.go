package dispatch

import (
	"time"

	"tanagerfall/shared/connection/upstream"
)

// overdueAfter returns the run time after which an attempt exceeds its estimate
// so far that its connection may have gone silent.
func (task *task) overdueAfter(limits *Limits) time.Duration {
	return max(limits.OverdueAfter, 3*task.expectedRunTime)
}

// checkAttempt acts on an attempt without an event when its timer expires: it queries
// the status, which also renews the lease, or ends the attempt once abandonAt has
// passed.
func (core *Core) checkAttempt(task *task) {
	switch {
	case !core.now.Before(task.abandonAt):
		core.expireAttempt(task)
	case task.queryPending || task.queryInFlight || !task.upstream.capabilities.Leases:
		core.arm(&task.timer, task.abandonAt)
	case core.isSilenceCheck(task) && !core.overdueBudget.TryWithdraw():
		core.arm(&task.timer, task.renewAt())
	default:
		core.queryTask(task, core.config.Limits.QueryWindow)
	}
}

// expireAttempt settles an attempt whose lease and grace have passed without
// news. Upstreams without lease support enforce no lease; there the Core keeps
// waiting for the open connection as long as the job may still complete.
func (core *Core) expireAttempt(task *task) {
	if !task.upstream.capabilities.Leases && !task.acceptedJob.closing {
		task.abandonAt = core.now.Add(task.lease)
		core.arm(&task.timer, task.abandonAt)
		return
	}
	core.markUnknown(task)
}

// renewAt returns when the lease is renewed: after half of it.
func (task *task) renewAt() time.Time {
	return task.leaseEnd.Add(-task.lease / 2)
}

// isSilenceCheck reports whether a status query would only check for a silent
// connection.
func (core *Core) isSilenceCheck(task *task) bool {
	return task.state == running && !task.cancelling && core.now.Before(task.renewAt())
}

// queryTask adds an attempt to the next status query to its upstream, which is
// sent within the window.
func (core *Core) queryTask(task *task, window time.Duration) {
	core.arm(&task.timer, task.abandonAt)
	if task.queryPending || !task.upstream.capabilities.Leases {
		return
	}
	task.queryPending = true
	task.upstream.queryTasks = append(task.upstream.queryTasks, task)
	core.scheduleQuery(task.upstream, window)
}

// sendQuery sends the status query about the attempts that were collected for an
// upstream.
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
	for _, task := range upstream.queryTasks {
		if !task.queryPending || !task.active() || task.upstream != upstream {
			continue
		}
		if firstJob == nil {
			firstJob = task.acceptedJob
		}
		core.addToQuery(&query, task)
	}
	upstream.queryTasks = nil
	upstream.listTasks = false
	if firstJob == nil && !query.ListTasks {
		return
	}
	core.countQuery(firstJob)
	core.emit(query)
}

// addToQuery adds an attempt to a status query and lengthens the query's lease as
// needed.
func (core *Core) addToQuery(query *QueryUpstream, task *task) {
	task.queryPending = false
	task.queryInFlight = true
	task.queriedAt = core.now
	task.queryCount++
	if task.cancelling {
		query.Cancel = append(query.Cancel, task.id())
		return
	}
	query.Renew = append(query.Renew, task.id())
	// The time that a task already ran counts as its estimate, so that the number
	// of renewals grows with the logarithm of its run time.
	elapsed := core.now.Sub(task.startedAt)
	query.Lease = max(query.Lease, task.lease, 3*elapsed)
}

// addEarlyRenewals adds the renewals that would be due soon to a status query that
// is about to be sent: a task that ran for a quarter of its lease is likely to run
// for half of it, too.
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

// countQuery counts the two messages of a status query for the first job in it, so
// that the sum over all jobs is the number of messages.
func (core *Core) countQuery(acceptedJob *jobState) {
	core.counters.StatusQueries++
	core.counters.Messages += 2
	if acceptedJob != nil {
		acceptedJob.messages += 2
	}
}

// handleQueryAnswer applies an upstream's answer to a status query.
func (core *Core) handleQueryAnswer(event QueryAnswered) {
	if event.Response.Draining {
		core.drainUpstream(event.Upstream)
	}
	for _, report := range event.Response.Tasks {
		id, err := upstream.ParseTaskID(report.TaskID)
		if err != nil {
			core.counters.MalformedReports++
			continue
		}
		if reportedTask, ok := core.findAttempt(id); ok && reportedTask.active() {
			core.applyReport(reportedTask, report, event)
		}
	}
	core.rescheduleQueries(event.Query)
	if queriedUpstream, exists := core.upstreams[event.Upstream]; exists && event.Query.ListTasks {
		core.applyOccupancy(queriedUpstream, event.Response.Occupancy)
	}
}

// applyReport applies an upstream's report about one attempt.
func (core *Core) applyReport(task *task, report upstream.TaskReport, event QueryAnswered) {
	task.queryInFlight = false
	task.failedQueries = 0
	switch report.State {
	case upstream.Finished:
		core.finishTask(task, report.RunMs, report.Output)
	case upstream.TaskFailed:
		if report.Reason == upstream.ReasonRestarted {
			core.markUnknown(task)
			return
		}
		core.failTask(task, report.Reason)
	case upstream.StillRunning:
		core.extendLease(task, event.Query.Lease)
	case upstream.Stopped:
		core.stopTask(task)
	case upstream.NeverStarted:
		if core.provesNeverStarted(task, event.Response) {
			core.settleNotStarted(task)
			return
		}
		core.markUnknown(task)
	default:
		core.counters.MalformedReports++
		task.queryInFlight = true
	}
}

// provesNeverStarted reports whether the state NeverStarted is a proof. A worker
// that restarted after the attempt was sent no longer knows what it ran before,
// so it must have been up since before the attempt was sent. The time that the
// answer took to arrive only makes the comparison stricter.
func (core *Core) provesNeverStarted(task *task, response upstream.LeaseResponse) bool {
	uptime := time.Duration(response.UptimeMs) * time.Millisecond
	return task.upstream.capabilities.Tombstones && uptime >= core.now.Sub(task.startedAt)
}

// extendLease records that an attempt is still running and extends its lease,
// unless the attempt is being cancelled.
func (core *Core) extendLease(task *task, lease time.Duration) {
	acceptedJob := task.acceptedJob
	acceptedJob.started = true
	core.observeStraggler(task)
	if task.cancelling {
		core.arm(&task.timer, core.dueTime(core.config.Limits.QueryBackoff.Bound(task.queryCount), task.abandonAt))
		core.finalizeJob(acceptedJob)
		return
	}
	task.lease = lease
	task.leaseEnd = task.queriedAt.Add(lease)
	task.abandonAt = task.leaseEnd.Add(core.config.Limits.LeaseGrace)
	task.expiredInPause = false
	core.arm(&task.timer, core.dueTime(core.nextQueryDelay(task), task.renewAt()))
}

// nextQueryDelay returns the time until the next status query about a running
// attempt. While the connection is open, it delivers the end, so the interval
// doubles with the run time. Without it, only a status query reports the end.
func (core *Core) nextQueryDelay(task *task) time.Duration {
	elapsed := core.now.Sub(task.startedAt)
	if task.state == running {
		return elapsed
	}
	return max(task.expectedRunTime-elapsed, core.config.Limits.QueryBackoff.Bound(task.queryCount-1))
}

// dueTime returns the time after the delay, but no later than latest if that is
// still to come.
func (core *Core) dueTime(delay time.Duration, latest time.Time) time.Time {
	due := core.now.Add(delay)
	if latest.Before(due) && latest.After(core.now) {
		return latest
	}
	return due
}

// observeStraggler passes the run time so far to the estimator, so that a slow
// upstream is known before its task ends.
func (core *Core) observeStraggler(task *task) {
	elapsed := core.now.Sub(task.startedAt)
	if elapsed < 2*task.expectedRunTime || task.queryCount > 1 {
		return
	}
	core.config.Estimator.Observe(task.acceptedJob.spec.Kind, task.upstream.declared.ID,
		float64(task.spec().RunMs), float64(elapsed.Milliseconds()))
}

// handleQueryFailure handles a status query that got no answer.
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

// rescheduleQueries schedules the next query about each attempt of a status query
// that still has no report.
func (core *Core) rescheduleQueries(query QueryUpstream) {
	for _, id := range query.Renew {
		core.rescheduleQuery(id)
	}
	for _, id := range query.Cancel {
		core.rescheduleQuery(id)
	}
}

func (core *Core) rescheduleQuery(id upstream.TaskID) {
	task, ok := core.findAttempt(id)
	if !ok || !task.active() || !task.queryInFlight {
		return
	}
	task.queryInFlight = false
	task.failedQueries++
	delay := core.config.Limits.QueryBackoff.Delay(task.failedQueries-1, core.config.Random)
	core.arm(&task.timer, core.dueTime(delay, task.abandonAt))
}
