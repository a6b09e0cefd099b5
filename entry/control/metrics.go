package control

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"tanagerfall/shared/request/job"
)

// Metrics counts the jobs and tasks that ended and measures the duration of jobs.
type Metrics struct {
	set *metrics.Set
}

// NewMetrics returns Metrics that registers each metric in set when it is first
// used.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{
		set: set,
	}
}

// count records the answer of a job. The duration of the job and the number of its
// tasks are recorded only if it is complete.
func (counters *Metrics) count(answer job.Answer) {
	name := fmt.Sprintf("tanagerfall_jobs_total{outcome=%q,reason=%q}", answer.Outcome, answer.Reason)
	counters.set.GetOrCreateCounter(name).Inc()
	if answer.Outcome != job.Complete {
		return
	}
	counters.set.GetOrCreateHistogram("tanagerfall_job_seconds").Update(float64(answer.ElapsedMs) / 1000)
	counters.set.GetOrCreateCounter("tanagerfall_tasks_total").Add(len(answer.Results))
}
