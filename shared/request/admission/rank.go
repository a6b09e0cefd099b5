package admission

import "time"

// RetryAfter returns when the caller of a job should come back, by the last Plan.
func (planner *Planner) RetryAfter(id string) time.Duration {
	return planner.config.retryAfter(id, planner.drain)
}

// Rank returns the share, from 0 to 1, of the work that arrived lately and costs less than
// the job. Jobs of about the same cost are ranked by their ID, so that a job that is sent
// again has the same rank. It answers a scheduler that can't start all that arrives: the
// jobs of the highest rank are shed, which are those that the Planner would defer.
func (planner *Planner) Rank(now time.Time, job Job) float64 {
	planner.arrivals.decay(now)
	step := costStep(planner.cost(&job))
	below, total := 0.0, 0.0
	for i, work := range planner.arrivals.work {
		if i < step {
			below += work
		}
		total += work
	}
	if total == 0 {
		return draw(job.ID)
	}
	return (below + draw(job.ID)*planner.arrivals.work[step]) / total
}
