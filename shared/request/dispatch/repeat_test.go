package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/dispatch"
	"tanagerfall/shared/request/job"
	"tanagerfall/shared/request/submission"
	"tanagerfall/shared/version/plan"
)

// Guards against repeating, after an attempt with an unknown outcome, anything but
// a single request of a kind that the plan marks idempotent.
func TestOnlySingleIdempotentRequestsAreRepeated(t *testing.T) {
	cases := []struct {
		name       string
		single     bool
		idempotent bool
		repeated   bool
	}{
		{name: "single request, idempotent", single: true, idempotent: true, repeated: true},
		{name: "single request, not idempotent", single: true},
		{name: "job of an idempotent kind", idempotent: true},
	}
	for _, row := range cases {
		t.Run(row.name, func(t *testing.T) {
			workers := newWorkers(2, 1, 1)
			simulation := newSimulation(1, workers...)
			simulation.send(dispatch.PlanChanged{Plan: &plan.Plan{
				Rules: []plan.Rule{{Team: "red", Kind: "bench", Domain: "brest", Idempotent: row.idempotent}},
			}})
			key := submission.Key{Incarnation: 1, Counter: 999}
			spec := job.Job{Kind: "bench", Team: "red", Tasks: []job.Task{{RunMs: 500}}}
			simulation.jobs[key] = spec
			simulation.repeatable[key] = row.repeated
			simulation.send(dispatch.JobAccepted{Key: key, Job: spec, Single: row.single})
			simulation.runUntil(simulation.now.Add(100 * time.Millisecond))
			for _, worker := range workers {
				if len(worker.running) > 0 {
					simulation.kill(worker)
				}
			}
			simulation.runAndVerify(t)
			answer := simulation.answers[key]
			starts := simulation.startCounts[taskKey{key: key, index: 0}]
			if row.repeated {
				assert.Equal(t, answer.Outcome, job.Complete)
				assert.Equal(t, starts, 2)
				assert.Equal(t, simulation.core.Dump().Counters.Repeats, uint64(1))
				return
			}
			assert.Equal(t, answer.Outcome, job.Failed)
			assert.Equal(t, answer.Started, job.StartedUnknown)
			assert.Equal(t, starts, 1)
		})
	}
}
