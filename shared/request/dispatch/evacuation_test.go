package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/dispatch"
	"tanagerfall/shared/request/job"
	"tanagerfall/shared/version/plan"
)

// Guards against starts in an evacuated failure domain, against jobs that wait there until
// their deadline, against tasks that are stopped, and against an evacuation of another
// domain that counts here.
func TestEvacuatedDomainStartsNothing(t *testing.T) {
	simulation := newSimulation(1, newWorkers(1, 2, 1)...)
	evacuate := simulation.evacuate
	evacuate("rennes")
	simulation.runUntil(simulation.now.Add(10 * time.Millisecond))
	running := simulation.submit(newJob(0, 500, 500))
	waiting := simulation.submit(newJob(0, 500))
	simulation.runUntil(simulation.now.Add(100 * time.Millisecond))
	evacuate("brest")
	simulation.runUntil(simulation.now.Add(10 * time.Millisecond))
	refused := simulation.submit(newJob(0, 500))
	simulation.runUntil(simulation.now.Add(10 * time.Millisecond))
	for _, answer := range []job.Answer{simulation.answers[waiting], simulation.answers[refused]} {
		assert.Equal(t, answer.Outcome, job.Refused)
		assert.Equal(t, answer.Reason, job.ReasonEvacuated)
		assert.Assert(t, answer.RetryAfterMs > 0)
	}
	simulation.runUntil(simulation.now.Add(time.Second))
	assert.Equal(t, simulation.answers[running].Outcome, job.Complete)
	assert.Equal(t, len(simulation.starts), 2)
	evacuate()
	back := simulation.submit(newJob(0, 100))
	simulation.runUntil(simulation.now.Add(time.Second))
	assert.Equal(t, simulation.answers[back].Outcome, job.Complete)
	simulation.runAndVerify(t)
}

// evacuate puts a plan in force that evacuates failure domains.
func (simulation *simulation) evacuate(domains ...string) {
	simulation.send(dispatch.PlanChanged{
		Plan: &plan.Plan{
			Rules: []plan.Rule{{
				Team:   "red",
				Kind:   "bench",
				Domain: "brest",
			}},
			Evacuated: domains,
		},
	})
}

// Guards against a job that waits until its deadline although nothing of it runs, because its
// attempts were on their way when the domain was evacuated and were refused.
func TestJobWhoseAttemptsAreRefusedDoesNotWait(t *testing.T) {
	simulation := newSimulation(1, newWorkers(1, 2, 1)...)
	simulation.evacuate()
	simulation.runUntil(simulation.now.Add(10 * time.Millisecond))
	simulation.fault = func() fault { return faultDialRefused }
	key := simulation.submit(newJob(0, 500, 500))
	simulation.evacuate("brest")
	simulation.runUntil(simulation.now.Add(100 * time.Millisecond))
	assert.Equal(t, len(simulation.starts), 2)
	assert.Equal(t, simulation.answers[key].Outcome, job.Refused)
	assert.Equal(t, simulation.answers[key].Reason, job.ReasonEvacuated)
	simulation.runAndVerify(t)
}
