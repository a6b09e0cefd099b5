package dispatcher

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/connection/link"
	"tanagerfall/shared/request/estimate"
)

// digestOf returns what a scheduler has learned that observed a kind on u1.
func digestOf(loop *loop, ratio float64) *estimate.Digest {
	estimator := estimate.New()
	for range 100 {
		estimator.Observe("quote", "u1", 100, 100*ratio)
	}
	digest := estimator.Digest(loop.knownIncarnations())
	return &digest
}

// Guards against a process that learns from a scheduler that it does not follow (one that
// was paused or cut off), from a delayed digest, or while it schedules itself.
func TestEstimatesOfTheSchedulerOnlyAreAdopted(t *testing.T) {
	for _, test := range []struct {
		name      string
		leader    string
		delay     time.Duration
		schedules bool
		want      float64
	}{
		{"scheduler", entryVMAddress, 0, false, 3},
		{"not followed", schedulerAddress, 0, false, 1},
		{"delayed", entryVMAddress, 2 * time.Second, false, 1},
		{"schedules itself", entryVMAddress, 0, true, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			loop := newEntryVMLoop(t)
			if test.schedules {
				loop = newSchedulerLoop(t)
			}
			loop.leader = test.leader
			loop.receiveDelayed(test.delay, link.Message{
				Estimates: digestOf(loop, 3),
			})
			ratio := loop.estimator.Ratio("quote")
			assert.Assert(t, math.Abs(ratio-test.want) < 0.1, "%.2f", ratio)
		})
	}
}

// Guards against a scheduler that does not pass on what it has learned.
func TestSchedulerSendsItsEstimates(t *testing.T) {
	scheduler := newSchedulerLoop(t)
	sent := make(sentMessages)
	scheduler.dispatcher.links = sent
	scheduler.receiveHeartbeat()
	for range 100 {
		scheduler.estimator.Observe("quote", "u1", 100, 300)
	}
	for range 2 * estimatesInterval / time.Second {
		scheduler.advance(500 * time.Millisecond)
		scheduler.receiveHeartbeat()
	}
	var digests []*estimate.Digest
	for _, message := range sent[entryVMAddress] {
		if message.Estimates != nil {
			digests = append(digests, message.Estimates)
		}
	}
	assert.Assert(t, len(digests) >= 1)
	successor := estimate.New()
	assert.Assert(t, successor.Adopt(*digests[0], 0, scheduler.knownIncarnations()))
	assert.Assert(t, math.Abs(successor.Ratio("quote")-3) < 0.2)
}

// Guards against a successor that trusts what it learned from the scheduler long before it
// takes over as if it were new.
func TestInheritedEstimatesAge(t *testing.T) {
	ratioAfter := func(age time.Duration) float64 {
		loop := newEntryVMLoop(t)
		loop.leader = entryVMAddress
		loop.receive(link.Message{
			Estimates: digestOf(loop, 3),
		})
		loop.now = loop.now.Add(age)
		loop.startScheduling()
		loop.estimator.Observe("quote", "u1", 100, 100)
		return loop.estimator.Ratio("quote")
	}
	fresh, old := ratioAfter(0), ratioAfter(10*time.Minute)
	assert.Assert(t, fresh > 2.5 && old < 2, "%.2f after a fresh digest, %.2f after an old one", fresh, old)
}
