package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/cell"
)

// Guards against a second run of a job that its caller has sent again, to another entry VM,
// while the first run goes on under a scheduler that was lost: the new Cell starts the job on
// the first upstream that answers, before the upstream with the run has.
func TestResentJobWaitsForTheRunsOfTheEarlierScheduler(t *testing.T) {
	harness := newHarness(t)
	polls := decisionsOf[cell.Poll](harness.handle(cell.UpstreamsListed{
		Upstreams: []cell.Upstream{testUpstream("u1"), testUpstream("u2")},
	}))
	assert.Equal(t, len(polls), 2)
	job := testJob("j", 1)
	job.Quarantine = 500 * time.Millisecond
	job.Stretch = 20
	harness.submit(job)
	starts := decisionsOf[cell.StartRun](harness.handle(harness.pollReply(polls[0], nil, nil)))
	assert.Equal(t, len(starts), 0, "u2 has not listed its runs")
	harness.now = harness.now.Add(3 * time.Millisecond)
	earlierRun := cell.RunName{
		Task: cell.TaskName{
			Job: "j",
		},
		Number: 1,
	}
	harness.handle(harness.pollReply(polls[1], runningRuns(earlierRun, 50), nil))
	assert.Equal(t, harness.cell.Counters().AdoptedRuns, int64(1))
	assert.Equal(t, harness.cell.Counters().Starts, int64(0))
}

// Guards against a false refusal: a job that its caller has sent again was answered as not
// run because nothing started it here, although its first request may have run it.
func TestResentJobIsNeverAnsweredAsNotRun(t *testing.T) {
	harness := newHarness(t)
	harness.listUpstreams(nil, "u1")
	for _, start := range harness.submit(testJob("running", 2)) {
		harness.confirm(start)
	}
	resent := testJob("resent", 1)
	resent.ResentAfter = time.Second
	assert.Equal(t, len(harness.submit(resent)), 0)
	harness.advance(20 * time.Millisecond)
	assert.Equal(t, len(harness.cell.Surplus()), 0, "its first run may be in this cell")
	known, decisions := harness.cell.Cancel(harness.now, "resent")
	assert.Assert(t, known)
	assert.Equal(t, harness.onlyAnswer(decisions).Result, cell.Interrupted)
}

// Guards against two runs of a job that its caller has sent again into another cell of a
// divided region, as the polls of this cell's upstreams don't show the first run, and against
// callers that wait for an answer that is certain once these polls are answered.
func TestResentJobWaitsIfAnotherCellMayRunIt(t *testing.T) {
	for _, isTooLate := range []bool{false, true} {
		harness := newHarness(t)
		harness.listUpstreams(nil, "u1")
		harness.passStopGrace(nil, "u1")
		harness.unknownUpstreams = true
		job := testJob("j", 1)
		job.ResentAfter = 1300 * time.Millisecond
		job.Quarantine = 600 * time.Millisecond
		job.EarlierSets = []uint64{cell.AnyUpstreams}
		job.Stretch = 20
		if isTooLate {
			job.TimeLeft = 700 * time.Millisecond
		}
		assert.Equal(t, len(harness.submit(job)), 0)
		assert.Equal(t, len(decisionsOf[cell.AnswerJob](harness.advance(20*time.Millisecond))), 0, "u1 may run it")
		assert.Equal(t, len(decisionsOf[cell.StartRun](harness.answerPoll("u1", nil))), 0, "u1 does not run it")
		if isTooLate {
			assert.Equal(t, harness.onlyAnswer(harness.advance(20*time.Millisecond)).Result, cell.Interrupted)
			continue
		}
		assert.Equal(t, len(decisionsOf[cell.StartRun](harness.advance(600*time.Millisecond))), 1)
	}
}
