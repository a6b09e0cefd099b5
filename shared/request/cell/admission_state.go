package cell

import (
	"time"

	"tanagerfall/shared/request/admission"
)

// AdmissionState is what entry VMs have to know to refuse the jobs of a service that the
// Cell would refuse.
type AdmissionState struct {
	Digest admission.Digest `cbor:"1,keyasint"`
	// Ratios holds, by kind of the Digest, the ratio of actual to declared run times.
	Ratios map[string]float64 `cbor:"2,keyasint,omitempty"`
}

// AdmissionStates returns the states of the services that refuse jobs, by service.
func (cell *Cell) AdmissionStates() map[string]AdmissionState {
	var states map[string]AdmissionState
	for _, plan := range cell.planOrder {
		if !cell.refuses(plan) {
			continue
		}
		state := AdmissionState{
			Digest: plan.planner.Digest(cell.now),
			Ratios: make(map[string]float64),
		}
		if !state.Digest.Full {
			continue
		}
		for _, kind := range state.Digest.Kinds {
			state.Ratios[kind.Kind] = cell.config.Estimator.Ratio(kind.Kind)
		}
		if states == nil {
			states = make(map[string]AdmissionState)
		}
		states[plan.service] = state
	}
	return states
}

// Refuse returns a refusal, and true, if the Cell would refuse a new job by this state. age
// is the time since the state was that of the Cell.
func (state AdmissionState) Refuse(now time.Time, age time.Duration, submitted *Job) (admission.Refusal, bool) {
	ratio, known := state.Ratios[submitted.Kind]
	if !known || submitted.ResentAfter > 0 {
		return admission.Refusal{}, false
	}
	return state.Digest.Refuse(now, age, submitted.AdmissionJob(now, ratio))
}

// AdmissionJob describes a new job to a Planner if the run time of a task is ratio times
// its estimate.
func (job *Job) AdmissionJob(now time.Time, ratio float64) admission.Job {
	tasks, milliCores := 0, 0
	var runTime time.Duration
	for i := range job.Steps {
		step := &job.Steps[i]
		if len(step.DependsOn) > 0 {
			continue
		}
		tasks += step.Count
		milliCores += step.Count * step.Need.MilliCores
		runTime = max(runTime, time.Duration(ratio*float64(step.Estimate)))
	}
	arrival := now.Add(-job.Age)
	budget := job.LatencyBudget(ratio)
	worthlessAt := arrival.Add(LateFactor * budget)
	if deadline := now.Add(job.TimeLeft); deadline.Before(worthlessAt) {
		worthlessAt = deadline
	}
	return admission.Job{
		ID:          job.ID,
		Kind:        job.Kind,
		Domain:      job.Domain,
		Key:         job.Steps[0].NearRack,
		Priority:    job.Priority,
		Arrival:     arrival,
		Target:      arrival.Add(budget),
		WorthlessAt: worthlessAt,
		Tasks:       tasks,
		MilliCores:  milliCores / max(tasks, 1),
		RunTime:     runTime,
		Remaining:   time.Duration(ratio * float64(longestChain(job.Steps))),
	}
}
