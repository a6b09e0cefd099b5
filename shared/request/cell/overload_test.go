package cell_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/cell"
)

// loadedCell plays arrivals against a Cell whose upstreams run each task for its estimate
// over their speed. Each upstream has room for two tasks.
type loadedCell struct {
	*harness
	upstreams []string
	sequences map[string]int64
	runs      map[cell.RunName]loadedRun
	jobs      map[string]cell.Job
	arrivals  map[string]time.Time
	answers   map[string]loadedAnswer
	// started counts the tasks of each job that were started, startedAt holds when the last
	// was, and inParts the jobs of which tasks were started at different times.
	started   map[string]int
	startedAt map[string]time.Time
	inParts   map[string]bool
	// refusedWithRoom holds the refused jobs for which slow upstreams were free.
	refusedWithRoom []string
}

type loadedRun struct {
	upstream  string
	startedAt time.Time
	endsAt    time.Time
}

type loadedAnswer struct {
	result cell.Result
	after  time.Duration
}

// newLoadedCell returns a Cell with upstreams of speed 1 and slow ones of speed 0.5.
func newLoadedCell(t *testing.T, upstreams, slow int) *loadedCell {
	loaded := &loadedCell{
		harness:   newHarness(t),
		sequences: make(map[string]int64),
		runs:      make(map[cell.RunName]loadedRun),
		jobs:      make(map[string]cell.Job),
		arrivals:  make(map[string]time.Time),
		answers:   make(map[string]loadedAnswer),
		started:   make(map[string]int),
		startedAt: make(map[string]time.Time),
		inParts:   make(map[string]bool),
	}
	loaded.speeds = make(map[string]float64)
	for number := range upstreams + slow {
		id := fmt.Sprintf("u%02d", number)
		loaded.upstreams = append(loaded.upstreams, id)
		loaded.speeds[id] = 1
		if number >= upstreams {
			loaded.speeds[id] = 0.5
		}
	}
	loaded.cell = loaded.newCell()
	loaded.listUpstreams(nil, loaded.upstreams...)
	loaded.passStopGrace(nil, loaded.upstreams...)
	return loaded
}

// submitLoaded submits a job of a kind.
func (loaded *loadedCell) submitLoaded(kind string, tasks int, estimate time.Duration) {
	job := testJob(fmt.Sprintf("%s-%03d", kind, len(loaded.jobs)), tasks)
	job.Kind = kind
	job.Steps[0].Estimate = estimate
	job.TimeLeft = 1500 * time.Millisecond
	loaded.jobs[job.ID] = job
	loaded.arrivals[job.ID] = loaded.now
	loaded.apply(loaded.handle(cell.JobSubmitted{
		EntryVM: entryVM,
		Job:     job,
	}))
}

// apply carries out decisions.
func (loaded *loadedCell) apply(decisions []cell.Decision) {
	for _, decision := range decisions {
		switch decision := decision.(type) {
		case cell.StartRun:
			id := decision.Run.Task.Job
			if loaded.started[id] > 0 && !loaded.now.Equal(loaded.startedAt[id]) {
				loaded.inParts[id] = true
			}
			loaded.started[id]++
			loaded.startedAt[id] = loaded.now
			runTime := float64(loaded.jobs[id].Steps[0].Estimate) / loaded.speeds[decision.Order.Upstream]
			loaded.runs[decision.Run] = loadedRun{
				upstream:  decision.Order.Upstream,
				startedAt: loaded.now,
				endsAt:    loaded.now.Add(time.Duration(runTime)),
			}
			loaded.apply(loaded.confirm(decision))
		case cell.AnswerJob:
			id := decision.Answer.ID
			loaded.answers[id] = loadedAnswer{
				result: decision.Answer.Result,
				after:  loaded.now.Sub(loaded.arrivals[id]),
			}
			if decision.Answer.Result == cell.NotRun && loaded.freeSlow() >= loaded.jobs[id].Steps[0].Count {
				loaded.refusedWithRoom = append(loaded.refusedWithRoom, id)
			}
		}
	}
}

// freeSlow returns how many tasks the slow upstreams have room for.
func (loaded *loadedCell) freeSlow() int {
	free := 0
	for _, speed := range loaded.speeds {
		if speed < 1 {
			free += 2
		}
	}
	for _, run := range loaded.runs {
		if loaded.speeds[run.upstream] < 1 {
			free--
		}
	}
	return free
}

// play lets time pass, with arrivals every 5 ms.
func (loaded *loadedCell) play(duration time.Duration, arrive func(step int)) {
	const stepTime = 5 * time.Millisecond
	for step := range int(duration / stepTime) {
		loaded.now = loaded.now.Add(stepTime)
		arrive(step)
		for _, id := range loaded.upstreams {
			ends, running := loaded.endRuns(id)
			if len(ends) > 0 || step%20 == 0 {
				loaded.apply(loaded.answerPoll(id, running, ends...))
			}
		}
		if step%5 == 0 {
			loaded.apply(loaded.handle(cell.Tick{}))
		}
	}
}

// endRuns ends the runs of an upstream that are over, and returns them and the others.
func (loaded *loadedCell) endRuns(id string) ([]cell.EndedRun, []cell.RunningRun) {
	var names []cell.RunName
	for name, run := range loaded.runs {
		if run.upstream == id {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b cell.RunName) int {
		return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), a.Task.Index-b.Task.Index)
	})
	var ends []cell.EndedRun
	var running []cell.RunningRun
	for _, name := range names {
		run := loaded.runs[name]
		if !loaded.now.Before(run.endsAt) {
			delete(loaded.runs, name)
			loaded.sequences[id]++
			ends = append(ends, endedRun(loaded.sequences[id], name, cell.EndDone))
			continue
		}
		running = append(running, cell.RunningRun{
			Run:     name,
			Percent: int(100 * loaded.now.Sub(run.startedAt) / run.endsAt.Sub(run.startedAt)),
		})
	}
	return ends, running
}

// refusalTimes returns how long the refused jobs waited, the shortest first.
func (loaded *loadedCell) refusalTimes() []time.Duration {
	var times []time.Duration
	for _, answer := range loaded.answers {
		if answer.result == cell.NotRun {
			times = append(times, answer.after)
		}
	}
	slices.Sort(times)
	return times
}

// playOverload plays 4 s of twice the work that 20 upstreams can do, in two kinds, and lets
// the last jobs end.
func playOverload(t *testing.T) *loadedCell {
	loaded := newLoadedCell(t, 20, 0)
	loaded.play(4*time.Second, func(step int) {
		if step%2 == 0 {
			loaded.submitLoaded("quick", 4+step%3, 60*time.Millisecond)
		}
		if step%4 == 0 {
			loaded.submitLoaded("long", 1+step%3, 500*time.Millisecond)
		}
	})
	loaded.play(2*time.Second, func(int) {})
	return loaded
}

// Load: twice the capacity for 4 s. Guards against capacity that goes to tasks of jobs whose
// other tasks miss, and so against callers that are told "may have run" for work that was
// thrown away: 1,813 jobs of an overload day ended that way.
func TestOverloadedCellStartsJobsWholeOrNotAtAll(t *testing.T) {
	loaded := playOverload(t)
	interrupted := 0
	for id, answer := range loaded.answers {
		if answer.result == cell.Interrupted {
			interrupted++
		}
		if answer.result == cell.NotRun {
			assert.Equal(t, loaded.started[id], 0, "%s was refused as not run", id)
		}
	}
	assert.Equal(t, len(loaded.answers), len(loaded.jobs), "every job is answered")
	assert.Assert(t, len(loaded.inParts) <= len(loaded.started)/20, "%d of %d started jobs started in parts",
		len(loaded.inParts), len(loaded.started))
	assert.Assert(t, interrupted <= len(loaded.jobs)/100, "%d of %d jobs were given up halfway", interrupted, len(loaded.jobs))
	assert.Assert(t, loaded.cell.Counters().DiscardedStarts <= int64(len(loaded.jobs)/50), "%d starts were discarded",
		loaded.cell.Counters().DiscardedStarts)
}

// Load: twice the capacity for 4 s. Guards against an order that serves nobody: by least
// slack each job starts when it is about to miss.
func TestOverloadedCellServesWhatItCan(t *testing.T) {
	loaded := playOverload(t)
	served, asked := make(map[string]int), make(map[string]int)
	for id, job := range loaded.jobs {
		asked[job.Kind]++
		answer := loaded.answers[id]
		if answer.result == cell.Completed && answer.after <= job.LatencyBudget(1) {
			served[job.Kind]++
		}
	}
	for kind, count := range asked {
		assert.Assert(t, 100*served[kind] >= 40*count, "%s: %d of %d on time", kind, served[kind], count)
	}
}

// Load: twice the capacity for 4 s. Guards against refusals that come seconds late: the
// caller can't go elsewhere meanwhile, and the job takes part in each decision.
func TestOverloadedCellRefusesEarly(t *testing.T) {
	times := playOverload(t).refusalTimes()
	assert.Assert(t, len(times) > 100)
	assert.Assert(t, times[len(times)/2] <= 100*time.Millisecond, "median %v", times[len(times)/2])
	assert.Assert(t, times[len(times)*9/10] <= 250*time.Millisecond, "90%% within %v", times[len(times)*9/10])
}

// Load: twice the capacity for 4 s, of a kind that slow upstreams end late but not too
// late. Guards against refusals while such upstreams are free.
func TestOverloadedCellRefusesNothingThatFits(t *testing.T) {
	loaded := newLoadedCell(t, 15, 5)
	loaded.play(4*time.Second, func(step int) {
		if step%3 == 0 {
			loaded.submitLoaded("long", 1+step%4, 500*time.Millisecond)
		}
	})
	assert.Assert(t, len(loaded.refusalTimes()) > 50)
	assert.Equal(t, len(loaded.refusedWithRoom), 0, "%v", loaded.refusedWithRoom)
}

// Load: a burst of jobs that all can be served in time one after the other. Guards against
// refusals by the rate of a burst that is over.
func TestShortBurstIsServed(t *testing.T) {
	loaded := newLoadedCell(t, 20, 0)
	loaded.play(1500*time.Millisecond, func(step int) {
		if step == 0 {
			for range 60 {
				loaded.submitLoaded("quick", 2, 60*time.Millisecond)
			}
		}
	})
	for id, answer := range loaded.answers {
		assert.Equal(t, answer.result, cell.Completed, "%s", id)
	}
	assert.Equal(t, len(loaded.answers), 60)
}

// Load: many jobs at a scheduler that has no upstreams yet, as after a takeover. Guards
// against refusals by a capacity that is not known: the upstreams may answer in time.
func TestNothingIsRefusedWhileNoUpstreamIsKnown(t *testing.T) {
	harness := newHarness(t)
	harness.claim = cell.ClaimNone
	harness.listUpstreams(nil, "u1", "u2")
	for number := range 50 {
		job := testJob(fmt.Sprint(number), 2)
		job.Objective = 3 * time.Second
		job.TimeLeft = 3 * time.Second
		harness.submit(job)
	}
	for range 60 {
		assert.Equal(t, len(decisionsOf[cell.AnswerJob](harness.advance(25*time.Millisecond))), 0)
	}
}
