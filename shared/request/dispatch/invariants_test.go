package dispatch_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"tanagerfall/shared/connection/upstream"
	"tanagerfall/shared/request/dispatch"
	"tanagerfall/shared/request/job"
	"tanagerfall/shared/request/placement"
	"tanagerfall/shared/request/submission"
	"tanagerfall/shared/version/plan"
)

// Guards against a second start of a task, a partial answer, a refusal of a job
// that started, two answers or none, a start at a leaving upstream, and slots or
// jobs that are never freed, under random interleavings of faults.
func TestInvariantsHoldUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := newWorkers(rapid.IntRange(1, 4).Draw(t, "workers"), 2, 1)
		capabilities := upstream.Capabilities{
			Leases:     rapid.IntRange(0, 9).Draw(t, "leases") > 0,
			Tombstones: rapid.IntRange(0, 9).Draw(t, "tombstones") > 0,
		}
		policies := []placement.Policy{placement.Greedy{}, placement.Target{Theta: 1.2}, placement.Random{}}
		simulation := newSimulationWith(dispatch.Config{
			Capabilities: func(string) upstream.Capabilities { return capabilities },
		}, rapid.SampledFrom(policies).Draw(t, "policy"), rapid.Uint64().Draw(t, "seed"), workers...)
		drawnFaults := rapid.SliceOfN(rapid.SampledFrom(allFaults()), 1, 12).Draw(t, "fates")
		starts := 0
		simulation.fault = func() fault {
			starts++
			return drawnFaults[starts%len(drawnFaults)]
		}
		var keys []submission.Key
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			step(t, simulation, &keys)
			simulation.runUntil(simulation.now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 40, 700, 2500}).Draw(t, "gap")) * time.Millisecond))
		}
		for _, worker := range workers {
			worker.dropsAnswers = false
		}
		simulation.runUntil(simulation.now.Add(2 * time.Minute))
		if errors := simulation.verify(); len(errors) > 0 {
			t.Fatalf("%d violations, first: %s", len(errors), errors[0])
		}
	})
}

// allFaults returns the faults to draw from, several faultNone among them.
func allFaults() []fault {
	all := []fault{faultNone, faultNone, faultNone, faultNone}
	for drawnFault := range faultCount {
		all = append(all, drawnFault)
	}
	return all
}

// step performs one random action.
func step(t *rapid.T, simulation *simulation, keys *[]submission.Key) {
	worker := rapid.SampledFrom(simulation.workers).Draw(t, "worker")
	switch rapid.SampledFrom([]string{
		"submit", "submit", "submit", "cancel", "kill", "restart", "unanswered", "answered", "pause", "drain", "leave", "vanish", "guards",
	}).Draw(t, "step") {
	case "submit":
		spec := job.Job{Kind: "bench", DeadlineMs: rapid.SampledFrom([]int64{0, 300, 8000}).Draw(t, "deadline")}
		for range rapid.IntRange(1, 6).Draw(t, "tasks") {
			spec.Tasks = append(spec.Tasks, job.Task{RunMs: rapid.SampledFrom([]int64{30, 400, 4000}).Draw(t, "run")})
		}
		*keys = append(*keys, simulation.submit(spec))
	case "cancel":
		if len(*keys) > 0 {
			simulation.send(dispatch.JobCancelled{Key: rapid.SampledFrom(*keys).Draw(t, "key")})
		}
	case "kill":
		simulation.kill(worker)
	case "restart":
		if worker.dead {
			simulation.restart(worker)
		}
	case "unanswered":
		worker.dropsAnswers = true
	case "answered":
		worker.dropsAnswers = false
	case "pause":
		simulation.pausedUntil = simulation.now.Add(time.Duration(rapid.IntRange(1, 9).Draw(t, "seconds")) * time.Second)
	case "drain":
		simulation.send(dispatch.UpstreamDraining{Upstream: worker.ID})
		if !simulation.now.Before(simulation.pausedUntil) {
			simulation.closed[worker.ID] = true
		}
	case "leave":
		if !simulation.now.Before(simulation.pausedUntil) {
			simulation.updateFleet(worker.ID)
			simulation.updateFleet()
		}
	case "vanish":
		if !simulation.now.Before(simulation.pausedUntil) {
			simulation.unlisted[worker.ID] = !simulation.unlisted[worker.ID]
			simulation.closed[worker.ID] = simulation.unlisted[worker.ID]
			simulation.updateFleet()
		}
	case "guards":
		bits := rapid.IntRange(0, 15).Draw(t, "guards")
		simulation.send(dispatch.PlanChanged{Plan: &plan.Plan{
			Rules: []plan.Rule{{Kind: "bench"}},
			Guards: plan.Guards{
				NoAdmission:      bits&1 > 0,
				NoRetryBudget:    bits&2 > 0,
				NoEjection:       bits&4 > 0,
				NoOccupancyCheck: bits&8 > 0,
			},
		}})
	}
}
