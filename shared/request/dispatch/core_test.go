package dispatch_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"tanagerfall/shared/request/dispatch"
	"tanagerfall/shared/request/estimate"
	"tanagerfall/shared/request/job"
	"tanagerfall/shared/request/placement"
	"tanagerfall/shared/request/submission"
)

// Guards against a job that gets no answer, two answers, or results out of order.
func TestJobFinishesCompleteWithResultsInOrder(t *testing.T) {
	estimator := estimate.New()
	random := rand.New(rand.NewPCG(1, 2))
	core := dispatch.New(dispatch.Config{
		Scheduler: placement.New(placement.Greedy{}, estimator, random),
		Estimator: estimator,
		Random:    random,
	})
	now := time.Unix(1_700_000_000, 0)
	core.Handle(now, dispatch.FleetChanged{
		Upstreams: []placement.Upstream{{ID: "w1", Slots: 8, Speed: 1}},
	})
	key := submission.Key{Incarnation: 1, Counter: 1}
	decisions := core.Handle(now, dispatch.JobAccepted{
		Key: key,
		Job: job.Job{Kind: "bench", Tasks: []job.Task{{RunMs: 50}, {RunMs: 100}, {RunMs: 70}}},
	})
	var finished []dispatch.FinishJob
	for _, decision := range decisions {
		start := decision.(dispatch.StartTask)
		for _, next := range core.Handle(now.Add(time.Second), dispatch.TaskEnded{
			Task:     start.Task,
			Upstream: start.Upstream,
			OK:       true,
			RunMs:    start.Spec.RunMs,
		}) {
			finished = append(finished, next.(dispatch.FinishJob))
		}
	}
	if len(finished) != 1 || finished[0].Answer.Outcome != job.Complete || len(finished[0].Answer.Results) != 3 {
		t.Fatalf("answers: %+v", finished)
	}
	for i, result := range finished[0].Answer.Results {
		if result.Index != i {
			t.Errorf("result %d has index %d", i, result.Index)
		}
	}
}
