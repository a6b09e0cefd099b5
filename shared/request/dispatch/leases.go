package dispatch

import (
	"time"

	"tanagerfall/shared/connection/upstream"
)

// overdueAfter returns the run time after which an attempt is overdue by its
// estimate, so that its connection may have gone silent.
func (task *task) overdueAfter(limits *Limits) time.Duration {
	return max(limits.OverdueAfter, 3*task.expected)
}

// check acts on an attempt of which nothing was heard for a while.
func (core *Core) check(task *task) {
	switch {
	case !core.now.Before(task.giveUpAt):
		core.giveUpWaiting(task)
	case task.pending || task.asking || !task.at.capabilities.Leases:
		core.arm(&task.timer, task.giveUpAt)
	case core.early(task) && !core.overdue.TryWithdraw():
		core.arm(&task.timer, task.renewAt())
	default:
		core.ask(task, core.config.Limits.AskWindow)
	}
}

// giveUpWaiting settles an attempt whose lease and grace have passed without
// news. Workers that answer no leases keep none, so there an open connection
// is waited for while the job may still become complete.
func (core *Core) giveUpWaiting(task *task) {
	if !task.at.capabilities.Leases && !task.owner.closing {
		task.giveUpAt = core.now.Add(task.lease)
		core.arm(&task.timer, task.giveUpAt)
		return
	}
	core.loseTask(task)
}

// renewAt returns when the lease has to be renewed: at half of it.
func (task *task) renewAt() time.Time {
	return task.leaseEnd.Add(-task.lease / 2)
}

// early reports whether a question would only look for a silent connection.
func (core *Core) early(task *task) bool {
	return task.state == running && !task.cancel && core.now.Before(task.renewAt())
}

// ask collects a question about an attempt; it is sent with the other
// questions to the upstream within the window.
func (core *Core) ask(asked *task, window time.Duration) {
	core.arm(&asked.timer, asked.giveUpAt)
	if asked.pending || !asked.at.capabilities.Leases {
		return
	}
	asked.pending = true
	asked.at.asks = append(asked.at.asks, asked)
	core.askUpstream(asked.at, window)
}

// sendAsks sends the questions that were collected for an upstream.
func (core *Core) sendAsks(at *upstreamState) {
	ask := AskUpstream{
		Upstream: at.declared.ID,
		Lease:    core.config.Limits.FirstLease,
		List:     at.list,
	}
	if len(at.asks) > 0 {
		core.joinRenewals(at)
	}
	var first *run
	for _, asked := range at.asks {
		if !asked.pending || !asked.active() || asked.at != at {
			continue
		}
		if first == nil {
			first = asked.owner
		}
		core.addQuestion(&ask, asked)
	}
	at.asks = nil
	at.list = false
	if first == nil && !ask.List {
		return
	}
	core.countAsk(first)
	core.decide(ask)
}

func (core *Core) addQuestion(ask *AskUpstream, asked *task) {
	asked.pending = false
	asked.asking = true
	asked.askedAt = core.now
	asked.asks++
	if asked.cancel {
		ask.Cancel = append(ask.Cancel, asked.name())
		return
	}
	ask.Renew = append(ask.Renew, asked.name())
	// What a task ran already counts as its estimate, so that the number of
	// renewals grows with the logarithm of its run time.
	elapsed := core.now.Sub(asked.startedAt)
	ask.Lease = max(ask.Lease, asked.lease, 3*elapsed)
}

// joinRenewals adds the questions that would come soon to those that are about
// to be sent: a task that outlived a quarter of its lease has a fair chance to
// outlive half of it.
func (core *Core) joinRenewals(at *upstreamState) {
	for _, each := range at.active {
		if each.pending || each.asking || each.cancel {
			continue
		}
		if core.now.Before(each.leaseEnd.Add(-each.lease * 3 / 4)) {
			continue
		}
		each.pending = true
		at.asks = append(at.asks, each)
		core.arm(&each.timer, each.giveUpAt)
	}
}

// countAsk counts the two messages of an ask for the first job that it names,
// so that the sum over all jobs is the number of messages.
func (core *Core) countAsk(owner *run) {
	core.counters.Asks++
	core.counters.Messages += 2
	if owner != nil {
		owner.messages += 2
	}
}

// applyLeases handles an upstream's answer.
func (core *Core) applyLeases(event LeaseAnswered) {
	if event.Response.Draining {
		core.drainUpstream(event.Upstream)
	}
	for _, report := range event.Response.Tasks {
		name, err := upstream.ParseTask(report.TaskID)
		if err != nil {
			core.counters.MalformedReports++
			continue
		}
		if reported, found := core.find(name); found && reported.active() {
			core.applyReport(reported, report, event)
		}
	}
	core.askAgain(event.Ask)
	if at, known := core.upstreams[event.Upstream]; known && event.Ask.List {
		core.applyOccupancy(at, event.Response.Occupancy)
	}
}

func (core *Core) applyReport(reported *task, report upstream.TaskReport, event LeaseAnswered) {
	reported.asking = false
	reported.failures = 0
	switch report.State {
	case upstream.Finished:
		core.finishTask(reported, report.RunMs, report.Output)
	case upstream.TaskFailed:
		if report.Reason == upstream.ReasonRestarted {
			core.loseTask(reported)
			return
		}
		core.failTask(reported, report.Reason)
	case upstream.StillRunning:
		core.keepTask(reported, event.Ask.Lease)
	case upstream.Stopped:
		core.stopTask(reported)
	case upstream.NeverStarted:
		if core.provesNeverStarted(reported, event.Response) {
			core.withdrawTask(reported)
			return
		}
		core.loseTask(reported)
	default:
		core.counters.MalformedReports++
		reported.asking = true
	}
}

// provesNeverStarted reports whether a "never started" is a proof. A worker
// that restarted after the attempt was sent has forgotten what it ran before,
// so the worker must have been up since before then. The time that the answer
// took to arrive only makes the comparison stricter.
func (core *Core) provesNeverStarted(reported *task, response upstream.LeaseResponse) bool {
	uptime := time.Duration(response.UptimeMs) * time.Millisecond
	return reported.at.capabilities.Tombstones && uptime >= core.now.Sub(reported.startedAt)
}

// keepTask goes on watching an attempt that is running.
func (core *Core) keepTask(kept *task, lease time.Duration) {
	owner := kept.owner
	owner.started = true
	core.derate(kept)
	if kept.cancel {
		core.arm(&kept.timer, core.later(core.config.Limits.AskBackoff.Bound(kept.asks), kept.giveUpAt))
		core.conclude(owner)
		return
	}
	kept.lease = lease
	kept.leaseEnd = kept.askedAt.Add(lease)
	kept.giveUpAt = kept.leaseEnd.Add(core.config.Limits.LeaseGrace)
	kept.paused = false
	core.arm(&kept.timer, core.later(core.nextLook(kept), kept.renewAt()))
}

// nextLook returns the time until the next question about a running attempt.
// With a connection, the connection brings the end, so the interval doubles
// with the run time. Without one, only a question brings the end.
func (core *Core) nextLook(kept *task) time.Duration {
	elapsed := core.now.Sub(kept.startedAt)
	if kept.state == running {
		return elapsed
	}
	return max(kept.expected-elapsed, core.config.Limits.AskBackoff.Bound(kept.asks-1))
}

func (core *Core) later(delay time.Duration, limit time.Time) time.Time {
	at := core.now.Add(delay)
	if limit.Before(at) && limit.After(core.now) {
		return limit
	}
	return at
}

// derate lets the estimator know of a straggler before its task ends.
func (core *Core) derate(straggler *task) {
	elapsed := core.now.Sub(straggler.startedAt)
	if elapsed < 2*straggler.expected || straggler.asks > 1 {
		return
	}
	core.config.Estimator.Observe(straggler.owner.spec.Kind, straggler.at.declared.ID,
		float64(straggler.spec().RunMs), float64(elapsed.Milliseconds()))
}

// retryLeases handles an ask that got no answer.
func (core *Core) retryLeases(event LeaseFailed) {
	core.counters.FailedAsks++
	if at, known := core.upstreams[event.Upstream]; known {
		core.recordFailure(at)
		if event.Ask.List {
			core.missOccupancy(at)
		}
	}
	core.askAgain(event.Ask)
}

// askAgain plans the next question about each task of an ask that is still
// without a report.
func (core *Core) askAgain(ask AskUpstream) {
	for _, name := range ask.Renew {
		core.askTaskAgain(name)
	}
	for _, name := range ask.Cancel {
		core.askTaskAgain(name)
	}
}

func (core *Core) askTaskAgain(name upstream.Task) {
	asked, found := core.find(name)
	if !found || !asked.active() || !asked.asking {
		return
	}
	asked.asking = false
	asked.failures++
	delay := core.config.Limits.AskBackoff.Delay(asked.failures-1, core.config.Random)
	core.arm(&asked.timer, core.later(delay, asked.giveUpAt))
}
