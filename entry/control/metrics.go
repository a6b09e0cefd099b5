package control

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"tanagerfall/shared/request/job"
)

// Metrics counts what the Loop does.
type Metrics struct {
	set *metrics.Set
}

// NewMetrics registers the Loop's metrics in set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{
		set: set,
	}
}

func (counters *Metrics) count(answer job.Answer) {
	name := fmt.Sprintf("tanagerfall_jobs_total{outcome=%q,reason=%q}", answer.Outcome, answer.Reason)
	counters.set.GetOrCreateCounter(name).Inc()
	if answer.Outcome != job.Complete {
		return
	}
	counters.set.GetOrCreateHistogram("tanagerfall_job_seconds").Update(float64(answer.ElapsedMs) / 1000)
	counters.set.GetOrCreateCounter("tanagerfall_tasks_total").Add(len(answer.Results))
}
