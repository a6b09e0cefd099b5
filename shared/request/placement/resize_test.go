package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tanagerfall/shared/request/estimate"
	"tanagerfall/shared/request/submission"
)

// TestIdleSlotsAreUsedAfterResizes guards against idle slots that get no task after
// an upstream was closed, reopened or changed its number of slots while tasks ran, as
// it happens when slots are lent. Waiting tasks must be placed on idle slots within
// two seconds.
func TestIdleSlotsAreUsedAfterResizes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		scheduler := New(Target{Theta: 1.2}, estimate.New(), rand.New(rand.NewPCG(1, 2)))
		names := []string{"a", "b"}
		slots := map[string]int{}
		var running []Assignment
		now := time.Unix(1_000_000, 0)
		counter := uint64(0)
		place := func() {
			for {
				assignment, placed := scheduler.Next(now)
				if !placed {
					return
				}
				running = append(running, assignment)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			name := rapid.SampledFrom(names).Draw(t, "upstream")
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				slots[name] = rapid.IntRange(1, 8).Draw(t, "slots")
				scheduler.SetUpstream(Upstream{ID: name, Slots: slots[name], Speed: 1})
			case 1:
				slots[name] = 0
				scheduler.CloseUpstream(name)
			case 2, 3:
				counter++
				scheduler.Enqueue(Job{
					Key:      submission.Key{Incarnation: 1, Counter: counter},
					Kind:     "quote",
					Arrival:  now,
					Deadline: now.Add(time.Minute),
					Tasks:    []Task{{Index: 0, DeclaredMs: 20}, {Index: 1, DeclaredMs: 120}},
				})
			case 4:
				if len(running) > 0 {
					scheduler.Finish(running[0].Upstream, running[0].Key, running[0].Index)
					running = running[1:]
				}
			}
			place()
		}
		for _, assignment := range running {
			scheduler.Finish(assignment.Upstream, assignment.Key, assignment.Index)
		}
		running = nil
		for range 20 {
			place()
			now = now.Add(100 * time.Millisecond)
		}
		openSlots := slots["a"] + slots["b"]
		assert.Assert(t, scheduler.Waiting() == 0 || len(running) >= openSlots,
			"%d tasks are waiting although only %d run on %d open slots", scheduler.Waiting(), len(running), openSlots)
	})
}
