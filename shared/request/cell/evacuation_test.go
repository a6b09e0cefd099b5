package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/cell"
)

// listDomains lists an upstream in each of the failure domains a and b, named after
// them, and answers their first polls.
func (harness *harness) listDomains(running map[string][]cell.RunningRun) {
	inB := testUpstream("b")
	inB.Domain = "b"
	for _, poll := range decisionsOf[cell.Poll](harness.handle(cell.UpstreamsListed{
		Upstreams: []cell.Upstream{testUpstream("a"), inB},
	})) {
		harness.handle(harness.pollReply(poll, running[poll.Order.Upstream], nil))
	}
}

func (harness *harness) evacuate(domains ...string) []cell.StartRun {
	event := cell.DomainsEvacuated{
		Domains: domains,
	}
	if len(domains) == 2 {
		event.Unserved = []string{service}
	}
	return decisionsOf[cell.StartRun](harness.handle(event))
}

// Guards against starts in an evacuated domain: of new tasks, of tasks that wait when the
// evacuation begins, and of tasks that failed elsewhere; and against one that never ends.
func TestEvacuatedDomainGetsNoStarts(t *testing.T) {
	harness := newHarness(t)
	harness.listDomains(nil)
	harness.evacuate("a")
	starts := harness.submit(testJob("j", 6))
	assert.Equal(t, len(starts), 2, "b has room for two tasks")
	for _, start := range starts {
		assert.Equal(t, start.Order.Upstream, "b")
		harness.confirm(start)
	}
	assert.Equal(t, harness.cell.Headroom()[service], -28_000, "an evacuated domain reports no room")
	harness.now = harness.now.Add(20 * time.Millisecond)
	retries := decisionsOf[cell.StartRun](harness.answerPoll("b", runningRuns(starts[1].Run, 10), endedRun(1, starts[0].Run, cell.EndFailed)))
	for _, start := range append(retries, decisionsOf[cell.StartRun](harness.advance(25*time.Millisecond))...) {
		assert.Equal(t, start.Order.Upstream, "b")
	}
	// A later list must not end the evacuation.
	harness.listDomains(nil)
	for _, start := range harness.submit(testJob("k", 3)) {
		assert.Equal(t, start.Order.Upstream, "b")
	}
	starts = harness.evacuate()
	assert.Assert(t, len(starts) > 0, "taken back")
	assert.Equal(t, starts[0].Order.Upstream, "a")
}

// Guards against predictions that count on evacuated upstreams: a job is kept that only they
// could serve in time, and callers are told to come back too early.
func TestPredictionsLeaveEvacuatedUpstreamsOut(t *testing.T) {
	for _, test := range []struct {
		evacuated []string
		refused   bool
		minRetry  time.Duration
	}{
		{evacuated: nil, refused: false},
		{evacuated: []string{"a"}, refused: true, minRetry: 2 * time.Second},
	} {
		harness := newHarness(t)
		harness.warmUp.Duration = time.Hour
		harness.cell = harness.newCell()
		slow := testUpstream("b")
		slow.Domain = "b"
		slow.ColdUntil = harness.now.Add(time.Hour)
		for _, poll := range decisionsOf[cell.Poll](harness.handle(cell.UpstreamsListed{
			Upstreams: []cell.Upstream{testUpstream("a"), slow},
		})) {
			harness.handle(harness.pollReply(poll, nil, nil))
		}
		harness.evacuate(test.evacuated...)
		long := testJob("long", 30)
		long.Objective = 3 * time.Second
		long.TimeLeft = 10 * time.Second
		harness.submit(long)
		urgent := testJob("urgent", 1)
		urgent.Stretch = 0.1
		urgent.Objective = 30 * time.Millisecond
		harness.submit(urgent)
		answers := decisionsOf[cell.AnswerJob](harness.decisions)
		answers = append(answers, decisionsOf[cell.AnswerJob](harness.advance(5*time.Millisecond))...)
		assert.Equal(t, len(answers) == 1, test.refused)
		if test.refused {
			assert.Equal(t, answers[0].Answer.ID, "urgent")
			assert.Assert(t, answers[0].Answer.RetryAfter > test.minRetry, "%v", answers[0].Answer.RetryAfter)
		}
	}
}

// Guards against the ejection of all upstreams that serve, because evacuated ones count
// among those of which a third may be ejected.
func TestEvacuatedUpstreamsDoNotAllowEjections(t *testing.T) {
	harness := newHarness(t)
	upstreams := []cell.Upstream{testUpstream("a1"), testUpstream("a2"), testUpstream("a3"), testUpstream("b")}
	upstreams[3].Domain = "b"
	harness.handle(cell.UpstreamsListed{
		Upstreams: upstreams,
	})
	for _, upstream := range upstreams {
		harness.answerPoll(upstream.ID, nil)
	}
	harness.evacuate("a")
	for number, id := range []string{"j", "k"} {
		starts := harness.submit(testJob(id, 1))
		assert.Equal(t, len(starts), 1)
		harness.confirm(starts[0])
		harness.answerPoll("b", nil, endedRun(int64(number+1), starts[0].Run, cell.EndFailed))
	}
	for _, upstream := range harness.cell.Dump().Upstreams {
		assert.Assert(t, !upstream.Ejected, upstream.ID)
	}
}

// Guards against runs that are stopped, or started a second time, because their domain is
// evacuated when another process takes over.
func TestRunsInAnEvacuatedDomainAreAdopted(t *testing.T) {
	harness := newHarness(t)
	run := cell.RunName{
		Task: cell.TaskName{
			Job: "j",
		},
		Number: 1,
	}
	harness.evacuate("a")
	harness.listDomains(map[string][]cell.RunningRun{
		"a": runningRuns(run, 50),
	})
	job := testJob("j", 1)
	job.Generation = 1
	job.Quarantine = time.Second
	assert.Equal(t, len(harness.submit(job)), 0)
	harness.now = harness.now.Add(30 * time.Millisecond)
	answers := decisionsOf[cell.AnswerJob](harness.answerPoll("a", nil, endedRun(1, run, cell.EndDone)))
	assert.Equal(t, len(answers), 1)
	assert.Equal(t, answers[0].Answer.Result, cell.Completed)
	assert.Equal(t, harness.cell.Counters().Stops, int64(0))
}

// Guards against callers that wait until their deadline when all domains are evacuated,
// and against an untrue refusal of a job that has started.
func TestJobsAreRefusedWhenAllDomainsAreEvacuated(t *testing.T) {
	harness := newHarness(t)
	harness.listDomains(nil)
	started := harness.submit(testJob("started", 5))
	assert.Equal(t, len(started), 4)
	harness.confirm(started[0])
	harness.evacuate("a", "b")
	assert.Equal(t, len(harness.submit(testJob("waits", 1))), 0)
	answers := decisionsOf[cell.AnswerJob](harness.advance(25 * time.Millisecond))
	assert.Equal(t, len(answers), 1)
	assert.Equal(t, answers[0].Answer.ID, "waits")
	assert.Equal(t, answers[0].Answer.Result, cell.NotRun)
	assert.Equal(t, answers[0].Answer.Reason, "evacuated")
	assert.Assert(t, answers[0].Answer.RetryAfter > 0)
	// The fifth task may start once a domain is back.
	assert.Equal(t, len(harness.evacuate("a")), 0, "b is full")
	assert.Equal(t, len(decisionsOf[cell.StartRun](harness.answerPoll("b", nil, endedRun(1, findRun(started, "b"), cell.EndDone)))), 1)
}

// Guards against callers that wait until their deadline on the side of a cut that has only
// evacuated upstreams, and against refusals by a Cell that has not claimed its upstreams
// yet.
func TestJobsAreRefusedInAnEvacuatedDomainThatIsCutOff(t *testing.T) {
	harness := newHarness(t)
	harness.claims = func(upstream cell.Upstream) cell.Claim {
		if upstream.Domain == "b" {
			return cell.ClaimNone
		}
		return cell.ClaimFirm
	}
	harness.cell = harness.newCell()
	harness.evacuate("a")
	harness.listDomains(nil)
	job := testJob("early", 1)
	job.Objective = time.Second
	harness.submit(job)
	assert.Equal(t, len(decisionsOf[cell.AnswerJob](harness.advance(25*time.Millisecond))), 0)
	answers := decisionsOf[cell.AnswerJob](harness.advance(cell.DefaultLimits().IsolatedAfter))
	assert.Equal(t, len(answers), 1)
	assert.Equal(t, answers[0].Answer.Result, cell.NotRun)

	harness.claims = nil
	harness.advance(25 * time.Millisecond)
	harness.answerPoll("b", nil)
	job.ID = "served"
	starts := harness.submit(job)
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Order.Upstream, "b")
}

func findRun(starts []cell.StartRun, upstream string) cell.RunName {
	for _, start := range starts {
		if start.Order.Upstream == upstream {
			return start.Run
		}
	}
	return cell.RunName{}
}

// Guards against jobs that wait in an evacuated cell for the time after which a busy cell
// hands them over, and against one that a cell which was evacuated first has handed over
// and that stays in the second.
func TestEvacuatedCellHandsJobsOverAtOnce(t *testing.T) {
	harness := newHarness(t)
	harness.listUpstreams(nil, "u1")
	harness.evacuate("a")
	job := testJob("j", 1)
	job.Spilled = true
	harness.submit(job)
	assert.Equal(t, len(harness.cell.Surplus()), 1)
	harness.evacuate()
	job.ID = "k"
	job.Steps[0].Count = 3
	harness.submit(job)
	harness.now = harness.now.Add(time.Second)
	assert.Equal(t, len(harness.cell.Surplus()), 0, "it stays in a busy cell")
}
