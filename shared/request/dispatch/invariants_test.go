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

// Guards against a second start of a task, a partial answer, a false "not
// run", two answers or none, a start at a leaving upstream, and slots or jobs
// that are never freed, under random interleavings of faults.
func TestInvariantsHoldUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := newWorkers(rapid.IntRange(1, 4).Draw(t, "workers"), 2, 1)
		can := upstream.Capabilities{
			Leases:     rapid.IntRange(0, 9).Draw(t, "leases") > 0,
			Tombstones: rapid.IntRange(0, 9).Draw(t, "tombstones") > 0,
		}
		policies := []placement.Policy{placement.Greedy{}, placement.Target{Theta: 1.2}, placement.Random{}}
		world := newWorldOf(dispatch.Config{
			Capabilities: func(string) upstream.Capabilities { return can },
		}, rapid.SampledFrom(policies).Draw(t, "policy"), rapid.Uint64().Draw(t, "seed"), workers...)
		fatesDrawn := rapid.SliceOfN(rapid.SampledFrom(allFates()), 1, 12).Draw(t, "fates")
		starts := 0
		world.fate = func() fate {
			starts++
			return fatesDrawn[starts%len(fatesDrawn)]
		}
		var keys []submission.Key
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			step(t, world, &keys)
			world.run(world.now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 40, 700, 2500}).Draw(t, "gap")) * time.Millisecond))
		}
		for _, worker := range workers {
			worker.unanswered = false
		}
		world.run(world.now.Add(2 * time.Minute))
		if errors := world.verify(); len(errors) > 0 {
			t.Fatalf("%d violations, first: %s", len(errors), errors[0])
		}
	})
}

func allFates() []fate {
	all := []fate{fateNone, fateNone, fateNone, fateNone}
	for drawn := range fates {
		all = append(all, drawn)
	}
	return all
}

// step makes one random thing happen.
func step(t *rapid.T, world *world, keys *[]submission.Key) {
	worker := rapid.SampledFrom(world.workers).Draw(t, "worker")
	switch rapid.SampledFrom([]string{
		"submit", "submit", "submit", "cancel", "kill", "restart", "unanswered", "answered", "pause", "drain", "leave", "vanish", "guards",
	}).Draw(t, "step") {
	case "submit":
		spec := job.Job{Kind: "bench", DeadlineMs: rapid.SampledFrom([]int64{0, 300, 8000}).Draw(t, "deadline")}
		for range rapid.IntRange(1, 6).Draw(t, "tasks") {
			spec.Tasks = append(spec.Tasks, job.Task{RunMs: rapid.SampledFrom([]int64{30, 400, 4000}).Draw(t, "run")})
		}
		*keys = append(*keys, world.submit(spec))
	case "cancel":
		if len(*keys) > 0 {
			world.tell(dispatch.JobCancelled{Key: rapid.SampledFrom(*keys).Draw(t, "key")})
		}
	case "kill":
		world.kill(worker)
	case "restart":
		if worker.dead {
			world.restart(worker)
		}
	case "unanswered":
		worker.unanswered = true
	case "answered":
		worker.unanswered = false
	case "pause":
		world.pausedUntil = world.now.Add(time.Duration(rapid.IntRange(1, 9).Draw(t, "seconds")) * time.Second)
	case "drain":
		world.tell(dispatch.UpstreamDraining{Upstream: worker.ID})
		if !world.now.Before(world.pausedUntil) {
			world.closed[worker.ID] = true
		}
	case "leave":
		if !world.now.Before(world.pausedUntil) {
			world.fleet(worker.ID)
			world.fleet()
		}
	case "vanish":
		if !world.now.Before(world.pausedUntil) {
			world.absent[worker.ID] = !world.absent[worker.ID]
			world.closed[worker.ID] = world.absent[worker.ID]
			world.fleet()
		}
	case "guards":
		bits := rapid.IntRange(0, 15).Draw(t, "guards")
		world.tell(dispatch.PlanChanged{Plan: &plan.Plan{
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
