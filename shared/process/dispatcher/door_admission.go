package dispatcher

import (
	"tanagerfall/shared/process/logevent"
	"tanagerfall/shared/request/cell"
)

// logOverload logs the services whose overload began or ended.
func (loop *loop) logOverload() {
	for service, load := range loop.cell.Loads() {
		if load.Overloaded == loop.overloaded[service] {
			continue
		}
		event := logevent.OverloadEnded
		if load.Overloaded {
			event = logevent.OverloadBegan
		}
		loop.overloaded[service] = load.Overloaded
		loop.log(event, "service", service, "load", load.Load, "waiting", load.Waiting, "deferred", load.Deferred,
			"packing", load.Packing)
	}
}

// refuseAtDoor answers a job of a caller that the scheduler would refuse by its last
// heartbeat, and reports whether it did. A job that another cell has room for goes there.
func (loop *loop) refuseAtDoor(heldJob *heldJob, answer chan<- cell.Answer) bool {
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
	loop.dispatcher.instruments.increment(metricDoorRefusals)
	loop.log(logevent.JobRefusedAtDoor, "job", job.ID, "kind", job.Kind, "reason", refusal.Reason,
		"load", heartbeat.Admission[job.Service].Digest.Load, "age", age, "retry-after", refusal.RetryAfter)
	answer <- cell.Answer{
		ID:         job.ID,
		Result:     cell.NotRun,
		Reason:     refusal.Reason,
		RetryAfter: refusal.RetryAfter,
	}
	return true
}
