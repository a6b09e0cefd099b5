package cell_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/cell"
)

// Load: an overload whose callers all leave, and 30 s later a burst that can be served. Guards
// against refusals in the first moments of the burst, as if the overload had lasted until then.
func TestOverloadEndsWhenNoJobWaits(t *testing.T) {
	loaded := newLoadedCell(t, 20, 0)
	loaded.play(time.Second, func(step int) {
		if step%2 == 0 {
			loaded.submitLoaded("long", 4, 500*time.Millisecond)
		}
	})
	assert.Assert(t, loaded.cell.Loads()[service].Overloaded)
	left := len(loaded.jobs)
	for id := range loaded.jobs {
		loaded.apply(loaded.handle(cell.JobWithdrawn{
			EntryVM: entryVM,
			ID:      id,
		}))
	}
	loaded.play(30*time.Second, func(int) {})
	assert.Assert(t, !loaded.cell.Loads()[service].Overloaded, "no job waits")
	loaded.play(2*time.Second, func(step int) {
		if step == 0 {
			for range 60 {
				loaded.submitLoaded("quick", 2, 60*time.Millisecond)
			}
		}
	})
	completed := 0
	for id, answer := range loaded.answers {
		if loaded.jobs[id].Kind == "quick" && answer.result == cell.Completed {
			completed++
		}
	}
	assert.Equal(t, completed, 60, "of %d jobs after the first %d", len(loaded.jobs)-left, left)
}

// Load: twice the capacity, and jobs of 8 tasks of which an upstream takes one each, at 6
// upstreams. Guards against jobs that wait to be started whole and never can be.
func TestJobsThatCannotStartWholeAreServedUnderOverload(t *testing.T) {
	loaded := newLoadedCell(t, 6, 0)
	started := 0
	loaded.play(4*time.Second, func(step int) {
		if step%2 == 0 {
			loaded.submitLoaded("quick", 2, 100*time.Millisecond)
		}
		if step%100 == 0 {
			job := testJob(fmt.Sprintf("wide-%03d", step), 8)
			job.Kind = "wide"
			job.Steps[0].Need.MilliCores = 1000
			job.Steps[0].MaxPerUpstream = 1
			job.Steps[0].Estimate = 50 * time.Millisecond
			job.Objective = time.Second
			job.TimeLeft = 3 * time.Second
			loaded.jobs[job.ID] = job
			loaded.arrivals[job.ID] = loaded.now
			loaded.apply(loaded.handle(cell.JobSubmitted{
				EntryVM: entryVM,
				Job:     job,
			}))
		}
	})
	loaded.play(3*time.Second, func(int) {})
	for id := range loaded.jobs {
		if loaded.jobs[id].Kind == "wide" && loaded.answers[id].result == cell.Completed {
			started++
		}
	}
	assert.Assert(t, started >= 4, "%d of 8 completed", started)
}

// Load: twice the capacity of a small service, in jobs of one task and some that need 3/8 of all
// upstreams. Guards against large jobs of small services whose capacity is never kept for them.
func TestLargeJobsOfSmallServicesAreServedUnderOverload(t *testing.T) {
	loaded := newLoadedCell(t, 4, 0)
	loaded.play(4*time.Second, func(step int) {
		if step%2 == 0 {
			loaded.submitLoaded("quick", 1, 120*time.Millisecond)
		}
		if step%20 == 0 {
			loaded.submitLoaded("large", 3, 120*time.Millisecond)
		}
	})
	loaded.play(2*time.Second, func(int) {})
	served, asked := make(map[string]int), make(map[string]int)
	for id, job := range loaded.jobs {
		asked[job.Kind]++
		if loaded.answers[id].result == cell.Completed {
			served[job.Kind]++
		}
	}
	assert.Assert(t, 2*served["large"]*asked["quick"] >= served["quick"]*asked["large"], "%v of %v", served, asked)
}

// Load: an overloaded service with a cold upstream. Guards against a job that starts whole
// and so exceeds the limit on starts at a cold upstream, or never starts by that limit.
func TestWholeJobsRespectTheLimitOfColdUpstreams(t *testing.T) {
	harness := newColdHarness(t)
	for number := range 40 {
		job := testJob(fmt.Sprint(number), 4)
		job.Steps[0].Need.MilliCores = 1000
		job.TimeLeft = 10 * time.Second
		job.Objective = 3 * time.Second
		harness.submit(job)
	}
	most, all := 0, 0
	for range 40 {
		starts := len(decisionsOf[cell.StartRun](harness.advance(10 * time.Millisecond)))
		most = max(most, starts)
		all += starts
	}
	assert.Assert(t, harness.cell.Loads()[service].Overloaded, "%v", harness.cell.Loads())
	assert.Equal(t, most, 1)
	assert.Equal(t, all, 4, "10 a second")
}

// Guards against a started job that is given up because a task which is nearly done counts as
// if it had yet to start: the task that waits would end in time.
func TestRunningTaskIsNoReasonToGiveUp(t *testing.T) {
	harness := newHarness(t)
	harness.listUpstreams(nil, "u1")
	job := testJob("job", 1)
	job.TimeLeft = 800 * time.Millisecond
	job.Steps[0].Estimate = 500 * time.Millisecond
	short := job.Steps[0]
	short.Estimate = 20 * time.Millisecond
	job.Steps = append(job.Steps, short)
	starts := harness.submit(job)
	assert.Equal(t, len(starts), 2)
	harness.confirm(starts[0])
	assert.Equal(t, len(decisionsOf[cell.AnswerJob](harness.advance(450*time.Millisecond))), 0)
	decisions := harness.handle(cell.StartReplied{
		Reply: harness.reply(starts[1].Order, cell.OutcomeFull),
		Run:   starts[1].Run,
	})
	decisions = append(decisions, harness.advance(25*time.Millisecond)...)
	assert.Equal(t, len(decisionsOf[cell.AnswerJob](decisions)), 0)
}

// Load: twice the capacity from the start of a scheduler. Guards against refusals by the jobs that
// it has while entry VMs still submit those of the previous one.
func TestNewSchedulerRefusesNoneForOthers(t *testing.T) {
	loaded := newLoadedCell(t, 20, 0)
	window := cell.DefaultLimits().AdoptionWindow - cell.DefaultLimits().StopGrace
	loaded.play(window-10*time.Millisecond, func(step int) {
		if step%2 == 0 {
			loaded.submitLoaded("long", 4, 300*time.Millisecond)
		}
	})
	assert.Assert(t, loaded.cell.Loads()[service].Overloaded)
	assert.Equal(t, len(loaded.refusalTimes()), 0)
	loaded.play(time.Second, func(step int) {
		if step%2 == 0 {
			loaded.submitLoaded("long", 4, 300*time.Millisecond)
		}
	})
	assert.Assert(t, len(loaded.refusalTimes()) > 0)
}
