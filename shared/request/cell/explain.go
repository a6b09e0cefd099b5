package cell

import (
	"time"

	"tanagerfall/shared/request/admission"
)

// Verdict is what a Cell would do with a new job at its next round.
type Verdict string

// Values of Verdict.
const (
	// VerdictStarts means that tasks of the job would start.
	VerdictStarts Verdict = "starts"
	// VerdictWaits means that the job would wait for capacity.
	VerdictWaits Verdict = "waits"
	// VerdictRefused means that the job would be refused as not run.
	VerdictRefused Verdict = "refused"
	// VerdictKnown means that the Cell has the job already.
	VerdictKnown Verdict = "known"
)

// Explanation says what a Cell would do with a new job, and why. Times are in ms.
type Explanation struct {
	Verdict      Verdict `json:"verdict"`
	Reason       string  `json:"reason,omitempty"`
	RetryAfterMs int64   `json:"retry-after-ms,omitempty"`
	// Load and DrainMs are those of the service with the job.
	Load    ServiceLoad `json:"load"`
	DrainMs int64       `json:"drain-ms"`
	// MuchIdle says that the fastest upstream is chosen, and not the slowest one that
	// meets the objective.
	MuchIdle bool `json:"much-idle"`
	// Tasks is the number of tasks that need no other one, and Starts that of those that
	// would start. Upstream, Speed and RunTimeMs are those of the first start.
	Tasks     int     `json:"tasks"`
	Starts    int     `json:"starts"`
	Upstream  string  `json:"upstream,omitempty"`
	Speed     float64 `json:"speed,omitempty"`
	RunTimeMs int64   `json:"run-time-ms,omitempty"`
	// Upstreams holds the upstreams of the service.
	Upstreams []UpstreamExplanation `json:"upstreams"`
}

// UpstreamExplanation says whether a task of a job may start on an upstream. Reason says why
// not; it is empty if it may.
type UpstreamExplanation struct {
	ID             string  `json:"id"`
	Domain         string  `json:"domain"`
	Speed          float64 `json:"speed"`
	FreeMilliCores int     `json:"free-milli-cores"`
	Reason         string  `json:"reason,omitempty"`
}

// Explain returns what the Cell would do with a new job. It changes nothing.
func (cell *Cell) Explain(now time.Time, submitted Job) Explanation {
	if _, known := cell.jobs[submitted.ID]; known || cell.completed.contains(submitted.ID) {
		return Explanation{
			Verdict: VerdictKnown,
		}
	}
	explanation := Explanation{
		Verdict:  VerdictWaits,
		MuchIdle: cell.muchIdle(),
	}
	trial := cell.try(now, submitted, func(plan *servicePlan) {
		explanation.Load = plan.describe()
		explanation.DrainMs = plan.planner.Digest(cell.now).Drain.Milliseconds()
	})
	explanation.Tasks = trial.job.waitingTasks
	explanation.Starts = len(trial.starts)
	explanation.Upstreams = trial.considered
	switch {
	case !cell.admitsCost(&submitted):
		explanation.Verdict = VerdictRefused
		explanation.Reason = "memory"
		explanation.RetryAfterMs = cell.config.Limits.MinRetryAfter.Milliseconds()
		explanation.Starts = 0
	case len(cell.evacuatedDomains) > 0 && cell.unserved(submitted.Service):
		explanation.Verdict = VerdictRefused
		explanation.Reason = "evacuated"
		explanation.RetryAfterMs = cell.config.Limits.MaxRetryAfter.Milliseconds()
	case trial.refused != nil:
		explanation.Verdict = VerdictRefused
		explanation.Reason = trial.refused.Reason
		explanation.RetryAfterMs = trial.refused.RetryAfterMs
	case len(trial.starts) > 0:
		first := trial.starts[0]
		explanation.Verdict = VerdictStarts
		explanation.Upstream = first.upstream.listing.ID
		explanation.Speed = first.upstream.speed
		explanation.RunTimeMs = first.runTime.Milliseconds()
	}
	return explanation
}

// refuse records the refusal of the explained job.
func (trial *trial) refuse(job *jobState, refusal admission.Refusal) {
	if job != trial.job {
		return
	}
	trial.refused = &Explanation{
		Reason:       refusal.Reason,
		RetryAfterMs: refusal.RetryAfter.Milliseconds(),
	}
}

// explainUpstreams describes the upstreams of the service for the first waiting task.
func (cell *Cell) explainUpstreams(job *jobState) []UpstreamExplanation {
	var task *taskState
	for _, candidate := range job.tasks {
		if candidate.status == taskWaiting {
			task = candidate
			break
		}
	}
	explanations := []UpstreamExplanation{}
	if task == nil {
		return explanations
	}
	step := &job.submitted.Steps[task.name.Step]
	for _, upstream := range cell.upstreamOrder {
		if upstream.listing.Service != job.submitted.Service {
			continue
		}
		explanation := UpstreamExplanation{
			ID:             upstream.listing.ID,
			Domain:         upstream.listing.Domain,
			Speed:          upstream.speed,
			FreeMilliCores: upstream.free.MilliCores,
		}
		if !cell.suitable(upstream, job, task, step) {
			explanation.Reason = cell.unsuitableBecause(upstream, step)
		}
		explanations = append(explanations, explanation)
	}
	return explanations
}

// unsuitableBecause returns the first reason why an upstream that is not suitable isn't.
func (cell *Cell) unsuitableBecause(upstream *upstreamState, step *Step) string {
	switch {
	case !upstream.present:
		return "not listed"
	case upstream.listing.Leaving:
		return "draining"
	case upstream.evacuated:
		return "evacuated"
	case upstream.status != upstreamOpen:
		return "not open: " + upstream.status.String()
	case upstream.ejectedUntil.After(cell.now):
		return "ejected"
	case cell.now.Before(upstream.listing.UsableAt), upstream.entryState() == entryAhead:
		return "not usable yet"
	case upstream.missedPolls > 0, cell.now.Sub(upstream.clockAt) >= maxClockAge:
		return "silent"
	case upstream.orphanCount > 0:
		return "unknown runs"
	case upstream.nextColdStartAt.After(cell.now):
		return "cold"
	case upstream.probing && upstream.usedSlots > 0:
		return "probing"
	case !cell.entryAllows(upstream, step):
		return "label"
	default:
		return "full"
	}
}
