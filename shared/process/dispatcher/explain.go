package dispatcher

import (
	"context"
	"time"

	"tanagerfall/shared/process/where"
	"tanagerfall/shared/request/admission"
	"tanagerfall/shared/request/cell"
)

// explanationRequested requests an explanation of a job.
type explanationRequested struct {
	job         cell.Job
	explanation chan<- where.Dispatch
}

func (explanationRequested) isEvent() {}

// Explain returns where a job would go now, without sending it. The error is that of ctx, or
// ErrStopped if the control loop has ended. A job without a domain is one of this process's
// callers.
func (dispatcher *Dispatcher) Explain(ctx context.Context, job cell.Job) (where.Dispatch, error) {
	explanation := make(chan where.Dispatch, 1)
	dispatcher.post(explanationRequested{
		job:         job,
		explanation: explanation,
	})
	select {
	case explained := <-explanation:
		return explained, nil
	case <-ctx.Done():
		return where.Dispatch{}, ctx.Err()
	case <-dispatcher.done:
		return where.Dispatch{}, ErrStopped
	}
}

// explain follows the decisions of acceptCallerJob without their effects.
func (loop *loop) explain(job cell.Job) where.Dispatch {
	self := loop.view.Self()
	if job.Domain == "" {
		job.Domain = self.Domain
	}
	explanation := where.Dispatch{
		EntryVM:        self.Name,
		Domain:         self.Domain,
		Leaving:        loop.view.Leaving(),
		Scheduler:      loop.leader,
		IsScheduler:    loop.cell != nil,
		HeartbeatAgeMs: -1,
		ShedShare:      loop.shedShare(),
		Evacuated:      loop.evacuations.Domains(),
		Held:           loop.heldJobs[job.ID] != nil,
	}
	if loop.cell != nil {
		explanation.HeartbeatAgeMs = 0
		explained := loop.cell.Explain(loop.now, job)
		explanation.Cell = &explained
	} else if heartbeat, known := loop.view.LastHeartbeat(loop.leader); known {
		age := loop.view.HeartbeatAge(loop.leader)
		explanation.HeartbeatAgeMs = age.Milliseconds()
		explanation.Admission = loop.explainAdmission(heartbeat.Admission[job.Service], age, &job)
	}
	if !explanation.Admission.Refused && loop.wouldShed(&job, explanation.ShedShare) {
		explanation.Admission.Refused = true
		explanation.Admission.Reason = "scheduler full"
		explanation.Admission.RetryAfterMs = callerRetryAfter.Milliseconds()
	}
	if (explanation.Admission.Refused || loop.leader == "") && loop.maySpill(&job) {
		explanation.OtherCell, _ = loop.neighbours.planner.Peek(loop.now, job.Service, spillNeed(&job))
	}
	return explanation
}

// explainAdmission says what refuseEarly would answer.
func (loop *loop) explainAdmission(state cell.AdmissionState, age time.Duration, job *cell.Job) where.Admission {
	refusal, refused := state.Refuse(loop.now, age, job)
	return where.Admission{
		Refused:      refused,
		Reason:       refusal.Reason,
		RetryAfterMs: refusal.RetryAfter.Milliseconds(),
		Load:         state.Digest.Load,
		Threshold:    state.Digest.Threshold,
		DrainMs:      state.Digest.Drain.Milliseconds(),
	}
}

// wouldShed reports whether shed would refuse a job, and records no arrival.
func (loop *loop) wouldShed(job *cell.Job, share float64) bool {
	if share == 0 || len(job.Steps) == 0 || job.ResentAfter > 0 {
		return false
	}
	planner := admission.New(admission.Config{})
	if known := loop.shedding[job.Service]; known != nil {
		planner = known.Clone()
	}
	described := job.AdmissionJob(loop.now, loop.estimator.Ratio(job.Kind))
	planner.Arrived(loop.now, described)
	return loop.isShed(planner, described, share)
}
