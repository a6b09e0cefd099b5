package cell_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/cell"
)

// explainedJob returns the job that the next call of submitLoaded submits.
func explainedJob(loaded *loadedCell, kind string, tasks int, estimate time.Duration) cell.Job {
	probe := testJob(fmt.Sprintf("%s-%03d", kind, len(loaded.jobs)), tasks)
	probe.Kind = kind
	probe.Steps[0].Estimate = estimate
	probe.TimeLeft = 1500 * time.Millisecond
	return probe
}

// Load: twice the capacity for 4 s. Guards against explanations that differ from the decision
// that is then taken, and against a Cell that decides otherwise after it was asked.
func TestExplanationsAgreeWithDecisionsAndChangeNothing(t *testing.T) {
	verdicts := make(map[cell.Verdict]int)
	play := func(ask bool) (*loadedCell, []time.Duration) {
		loaded := newLoadedCell(t, 20, 4)
		var slacks []time.Duration
		submit := func(kind string, tasks int, estimate time.Duration) {
			if !ask {
				loaded.submitLoaded(kind, tasks, estimate)
				return
			}
			job := explainedJob(loaded, kind, tasks, estimate)
			explanation := loaded.cell.Explain(loaded.now, job)
			loaded.submitLoaded(kind, tasks, estimate)
			verdicts[explanation.Verdict]++
			answer, answered := loaded.answers[job.ID]
			assert.Equal(t, answered && answer.result == cell.NotRun, explanation.Verdict == cell.VerdictRefused, "%s: %+v", job.ID, explanation)
			assert.Equal(t, loaded.started[job.ID], explanation.Starts, job.ID)
			for name, run := range loaded.runs {
				if name.Task.Job == job.ID && name.Task.Index == 0 {
					assert.Equal(t, run.upstream, explanation.Upstream, job.ID)
				}
			}
		}
		loaded.play(4*time.Second, func(step int) {
			slacks = append(slacks, loaded.cell.TightestSlack())
			if ask {
				// A job that is not submitted, and so not learned of.
				loaded.cell.Explain(loaded.now, explainedJob(loaded, "quick", 9, time.Duration(step)*time.Millisecond))
			}
			switch {
			case step%4 == 1:
				submit("long", 1+step%3, 500*time.Millisecond)
			case step%2 == 0:
				submit("quick", 4+step%3, 60*time.Millisecond)
			}
		})
		loaded.play(2*time.Second, func(int) {})
		return loaded, slacks
	}
	asked, askedSlacks := play(true)
	other, otherSlacks := play(false)
	assert.DeepEqual(t, askedSlacks, otherSlacks)
	for _, verdict := range []cell.Verdict{cell.VerdictStarts, cell.VerdictWaits, cell.VerdictRefused} {
		assert.Assert(t, verdicts[verdict] > 0, "%s: %v", verdict, verdicts)
	}
	assert.DeepEqual(t, asked.cell.Dump(), other.cell.Dump())
	assert.DeepEqual(t, asked.started, other.started)
	assert.Equal(t, len(asked.answers), len(other.answers))
	for id, answer := range other.answers {
		assert.Equal(t, asked.answers[id], answer, id)
	}
}

// Guards against a reason that is not the one by which an upstream gets no task.
func TestExplanationNamesTheReasonOfEachUpstream(t *testing.T) {
	harness := newHarness(t)
	upstreams := []cell.Upstream{testUpstream("u1"), testUpstream("u2"), testUpstream("u3"), testUpstream("u4")}
	upstreams[1].Leaving = true
	upstreams[2].Labels = []string{"avx"}
	upstreams[3].Domain = "b"
	for _, poll := range decisionsOf[cell.Poll](harness.handle(cell.UpstreamsListed{
		Upstreams: upstreams,
	})) {
		harness.handle(harness.pollReply(poll, nil, nil))
	}
	harness.handle(cell.DomainsEvacuated{
		Domains: []string{"b"},
	})
	harness.advance(25 * time.Millisecond)
	job := testJob("j", 1)
	job.Steps[0].Label = "avx"
	explanation := harness.cell.Explain(harness.now, job)
	reasons := make(map[string]string)
	for _, upstream := range explanation.Upstreams {
		reasons[upstream.ID] = upstream.Reason
	}
	assert.DeepEqual(t, reasons, map[string]string{
		"u1": "label",
		"u2": "draining",
		"u3": "",
		"u4": "evacuated",
	})
	assert.Equal(t, explanation.Upstream, "u3")
}
