package dispatcher

import (
	"tanagerfall/shared/process/logevent"
	"tanagerfall/shared/request/admission"
	"tanagerfall/shared/request/cell"
)

// reportOverload logs the services whose overload began or ended, and tells the entry VMs at
// once: until their next heartbeat they would refuse jobs that can be served again. Regular
// heartbeats follow as if it had not: they alone carry the members and the estimates.
func (loop *loop) reportOverload() {
	changed := false
	for service, load := range loop.cell.Loads() {
		if load.Overloaded == loop.overloaded[service] {
			continue
		}
		event := logevent.OverloadEnded
		if load.Overloaded {
			event = logevent.OverloadBegan
		}
		changed = true
		loop.overloaded[service] = load.Overloaded
		loop.log(event, "service", service, "load", load.Load, "waiting", load.Waiting, "deferred", load.Deferred,
			"packing", load.Packing)
	}
	if changed && loop.now.Sub(loop.overloadSentAt) >= loop.view.HeartbeatInterval() {
		loop.overloadSentAt = loop.now
		regularAt := loop.heartbeatsSentAt
		loop.sendHeartbeats(false)
		loop.heartbeatsSentAt = regularAt
	}
}

// shed refuses a job of a caller if the scheduler's processor can't start all that arrives
// and the job is among those that cost callers least to lose. It reports whether it did.
func (loop *loop) shed(heldJob *heldJob, answer chan<- cell.Answer) bool {
	job := &heldJob.job
	if len(job.Steps) == 0 {
		return false
	}
	planner, known := loop.shedding[job.Service]
	if !known {
		planner = admission.New(admission.Config{})
		loop.shedding[job.Service] = planner
	}
	described := job.AdmissionJob(loop.now, loop.estimator.Ratio(job.Kind))
	planner.Arrived(loop.now, described)
	share := loop.shedShare()
	if share == 0 || job.ResentAfter > 0 || heldJob.foreignScheduler != "" || !loop.isShed(planner, described, share) || loop.chooseForeignScheduler(heldJob) {
		return false
	}
	loop.log(logevent.JobGivenUp, "job", job.ID, "kind", job.Kind, "result", string(cell.NotRun),
		"reason", "scheduler full", "share", share)
	answer <- cell.Answer{
		ID:         job.ID,
		Result:     cell.NotRun,
		Reason:     "scheduler full",
		RetryAfter: callerRetryAfter,
	}
	return true
}

// isShed reports whether a job is among the share that costs callers least to lose.
func (loop *loop) isShed(planner *admission.Planner, described admission.Job, share float64) bool {
	return planner.Rank(loop.now, described) > 1-share
}

// refuseEarly answers a job of a caller that the scheduler would refuse by its last
// heartbeat, and reports whether it did. A job that another cell has room for goes there.
func (loop *loop) refuseEarly(heldJob *heldJob, answer chan<- cell.Answer) bool {
	if loop.cell != nil || loop.leader == "" {
		return false
	}
	heartbeat, known := loop.view.LastHeartbeat(loop.leader)
	if !known {
		return false
	}
	job := &heldJob.job
	age := loop.view.HeartbeatAge(loop.leader)
	refusal, refused := heartbeat.Admission[job.Service].Refuse(loop.now, age, job)
	if !refused || loop.chooseForeignScheduler(heldJob) {
		return false
	}
	loop.dispatcher.instruments.increment(metricEarlyRefusals)
	loop.log(logevent.JobRefusedEarly, "job", job.ID, "kind", job.Kind, "reason", refusal.Reason,
		"load", heartbeat.Admission[job.Service].Digest.Load, "age", age, "retry-after", refusal.RetryAfter)
	answer <- cell.Answer{
		ID:         job.ID,
		Result:     cell.NotRun,
		Reason:     refusal.Reason,
		RetryAfter: refusal.RetryAfter,
	}
	return true
}
