package cell_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/cell"
	"tanagerfall/shared/request/estimate"
	"tanagerfall/shared/version/routing"
)

// harness runs a Cell on virtual time and holds its latest decisions.
type harness struct {
	t     *testing.T
	now   time.Time
	cell  *cell.Cell
	claim cell.Claim
	// claims, if set, replaces claim.
	claims    func(cell.Upstream) cell.Claim
	token     int64
	decisions []cell.Decision
	// guardsCapacity is set if the upstreams refuse what exceeds their capacity.
	guardsCapacity bool
	// speeds holds the declared speeds of upstreams other than 1.
	speeds map[string]float64
	// unknownUpstreams is set if an earlier scheduler knew upstreams that are not listed.
	unknownUpstreams bool
	// idleRemoved is set if earlier schedulers reported no runs on upstreams that left the list.
	idleRemoved bool
	// warmUp is how the upstreams start.
	warmUp routing.WarmUp
	// lastDecisions holds the decisions on the last immediate poll of
	// listUpstreams.
	lastDecisions []cell.Decision
}

const (
	service = "orders"
	entryVM = "vm-1#a"
)

func newHarness(t *testing.T) *harness {
	testHarness := &harness{
		t:     t,
		now:   time.Unix(1_000_000, 0),
		claim: cell.ClaimFirm,

		guardsCapacity: true,
	}
	testHarness.cell = testHarness.newCell()
	return testHarness
}

func (harness *harness) newCell() *cell.Cell {
	estimator := estimate.New()
	for id, speed := range harness.speeds {
		estimator.Declare(id, speed)
	}
	return cell.New(harness.now, cell.Config{
		Estimator: estimator,
		Claims: func(upstream cell.Upstream) cell.Claim {
			if harness.claims != nil {
				return harness.claims(upstream)
			}
			return harness.claim
		},
		NextToken: func() int64 {
			harness.token += 1024
			return harness.token
		},
		GuardsCapacity: func(string) bool { return harness.guardsCapacity },
		WarmUp:         func(string) routing.WarmUp { return harness.warmUp },
		KnowsUpstreams: func([]uint64) bool { return !harness.unknownUpstreams },
		MayHoldRuns:    func(string, []uint64) bool { return !harness.idleRemoved },
		Limits:         cell.DefaultLimits(),
	})
}

// handle passes an event to the Cell and returns its decisions.
func (harness *harness) handle(event cell.Event) []cell.Decision {
	harness.decisions = harness.cell.Handle(harness.now, event)
	return harness.decisions
}

func (harness *harness) advance(duration time.Duration) []cell.Decision {
	harness.now = harness.now.Add(duration)
	return harness.handle(cell.Tick{})
}

func decisionsOf[Decision cell.Decision](decisions []cell.Decision) []Decision {
	var filtered []Decision
	for _, decision := range decisions {
		if match, ok := decision.(Decision); ok {
			filtered = append(filtered, match)
		}
	}
	return filtered
}

func testUpstream(id string) cell.Upstream {
	return cell.Upstream{
		ID:      id,
		Address: id + ":80",
		Service: service,
		Domain:  "a",
		Slots:   8,
		Capacity: cell.Resources{
			MilliCores: 16_000,
			MemoryMb:   32_000,
		},
		Incarnation: 1,
	}
}

// clock returns the upstreams' clock in ms, which advances with the harness's
// time.
func (harness *harness) clock() int64 { return harness.now.UnixMilli() - 999_000_000 }

func (harness *harness) reply(order cell.Order, outcome cell.Outcome) cell.Reply {
	return cell.Reply{
		Order:      order,
		Outcome:    outcome,
		Clock:      harness.clock(),
		SentAt:     harness.now,
		ReceivedAt: harness.now,
	}
}

// listUpstreams lists upstreams and answers their first immediate polls with
// the given runs.
func (harness *harness) listUpstreams(running map[string][]cell.RunningRun, ids ...string) {
	var upstreams []cell.Upstream
	for _, id := range ids {
		upstreams = append(upstreams, testUpstream(id))
	}
	for _, poll := range decisionsOf[cell.Poll](harness.handle(cell.UpstreamsListed{
		Upstreams: upstreams,
	})) {
		harness.handle(harness.pollReply(poll, running[poll.Order.Upstream], nil))
	}
	harness.lastDecisions = harness.decisions
}

// passStopGrace lets the time pass in which runs that another process has
// stopped go on unlisted, and has the upstreams answer after it.
func (harness *harness) passStopGrace(running map[string][]cell.RunningRun, ids ...string) {
	harness.now = harness.now.Add(cell.DefaultLimits().StopGrace)
	for _, id := range ids {
		harness.answerPoll(id, running[id])
	}
	harness.now = harness.now.Add(time.Millisecond)
}

func (harness *harness) pollReply(poll cell.Poll, running []cell.RunningRun, ended []cell.EndedRun) cell.PollReplied {
	return cell.PollReplied{
		Reply:       harness.reply(poll.Order, cell.OutcomeDone),
		Immediate:   poll.Immediate,
		Incarnation: 1,
		Running:     running,
		Ended:       ended,
	}
}

// answerPoll sends an upstream's answer to a poll that the test did not keep.
func (harness *harness) answerPoll(id string, running []cell.RunningRun, ended ...cell.EndedRun) []cell.Decision {
	return harness.handle(harness.pollReply(cell.Poll{
		Order: cell.Order{
			Upstream: id,
			Token:    harness.token,
		},
	}, running, ended))
}

func testJob(id string, tasks int) cell.Job {
	return cell.Job{
		ID:      id,
		Kind:    "quote",
		Service: service,
		Steps: []cell.Step{{
			Count: tasks,
			Need: cell.Resources{
				MilliCores: 7_000,
				MemoryMb:   64,
			},
			Estimate: 100 * time.Millisecond,
		}},
		MaxAttempts: 2,
		Stretch:     1.6,
		Objective:   60 * time.Millisecond,
		TimeLeft:    2 * time.Second,
	}
}

func (harness *harness) submit(job cell.Job) []cell.StartRun {
	return decisionsOf[cell.StartRun](harness.handle(cell.JobSubmitted{
		EntryVM: entryVM,
		Job:     job,
	}))
}

func (harness *harness) confirm(start cell.StartRun) []cell.Decision {
	return harness.handle(cell.StartReplied{
		Reply: harness.reply(start.Order, cell.OutcomeDone),
		Run:   start.Run,
	})
}

func endedRun(sequence int64, run cell.RunName, end cell.End) cell.EndedRun {
	return cell.EndedRun{
		Run:      run,
		Sequence: sequence,
		End:      end,
	}
}

func runningRuns(run cell.RunName, percent int) []cell.RunningRun {
	return []cell.RunningRun{{
		Run:     run,
		Percent: percent,
	}}
}

func (harness *harness) onlyAnswer(decisions []cell.Decision) cell.Answer {
	answers := decisionsOf[cell.AnswerJob](decisions)
	assert.Equal(harness.t, len(answers), 1)
	return answers[0].Answer
}

// A started job whose other tasks find no capacity is answered when they could not
// end before a late answer no longer has any value. When such jobs were kept until
// their deadline, they delayed their callers and took capacity from jobs that could
// end in time.
func TestStartedJobIsAbandonedWhenAnswerIsWorthless(t *testing.T) {
	harness := newHarness(t)
	harness.listUpstreams(nil, "u1")
	starts := harness.submit(testJob("j", 3))
	assert.Equal(t, len(starts), 2, "there is no capacity for the third task")
	for _, start := range starts {
		harness.confirm(start)
	}
	// The latency budget is 1.6 times 100 ms plus 60 ms. From LateFactor times that
	// on, an answer has no value, and a task that starts 80 ms before it is surely late.
	for range 11 {
		assert.Equal(t, len(decisionsOf[cell.AnswerJob](harness.advance(50*time.Millisecond))), 0)
		harness.answerPoll("u1", slices.Concat(runningRuns(starts[0].Run, 50), runningRuns(starts[1].Run, 50)))
	}
	answer := harness.onlyAnswer(harness.advance(50 * time.Millisecond))
	assert.Equal(t, answer.Result, cell.Interrupted)
	assert.Equal(t, answer.Reason, "overload")
}

// Guards against a lease that lapses under a run because the long poll of an
// upstream that was idle returns late, and against idle upstreams that are polled as
// often as busy ones (3,700 polls a second at 1,100 upstreams).
func TestIdleUpstreamIsPolledRarelyAndItsRunKeepsItsLease(t *testing.T) {
	harness := newHarness(t)
	limits := cell.DefaultLimits()
	harness.listUpstreams(nil, "u1")
	harness.passStopGrace(nil, "u1")
	idlePoll := cell.Poll{
		Order: cell.Order{
			Upstream: "u1",
			Token:    harness.token,
		},
		Immediate: true,
	}
	harness.handle(harness.pollReply(idlePoll, nil, nil))
	harness.now = harness.now.Add(limits.IdleAfter)
	idlePoll.Immediate = false
	polls := decisionsOf[cell.Poll](harness.handle(harness.pollReply(idlePoll, nil, nil)))
	assert.Equal(t, len(polls), 1)
	assert.Equal(t, polls[0].Wait, limits.IdlePollWait)
	job := testJob("j", 1)
	job.Steps[0].Estimate = time.Second
	start := harness.submit(job)[0]
	harness.confirm(start)
	// The long poll stays unanswered, immediate polls are answered.
	renewedAt := time.Duration(0)
	for elapsed := time.Duration(0); elapsed < limits.Lease*3/4; elapsed += 25 * time.Millisecond {
		for _, poll := range decisionsOf[cell.Poll](harness.advance(25 * time.Millisecond)) {
			assert.Assert(t, poll.Immediate)
			if poll.Order.LeaseEnd > start.Order.LeaseEnd {
				renewedAt = elapsed
			}
			harness.handle(harness.pollReply(poll, runningRuns(start.Run, int(elapsed/time.Millisecond)/10), nil))
		}
	}
	assert.Assert(t, renewedAt >= limits.Lease/4, "the lease was last renewed after %v", renewedAt)
}

// Guards against jobs that wait in a full cell while another has room, and against
// handing over a job that may have run: it would run twice.
func TestOnlyJobsThatCannotHaveRunAreSurplus(t *testing.T) {
	harness := newHarness(t)
	harness.listUpstreams(nil, "u1")
	for _, start := range harness.submit(testJob("running", 2)) {
		harness.confirm(start)
	}
	spilled := testJob("spilled", 2)
	spilled.Spilled = true
	resubmitted := testJob("resubmitted", 2)
	resubmitted.Generation = 1
	for _, job := range []cell.Job{testJob("waiting", 2), spilled, resubmitted} {
		assert.Equal(t, len(harness.submit(job)), 0)
	}
	assert.Equal(t, len(harness.cell.Surplus()), 0, "a job waits a moment for an upstream of its own cell")
	assert.Equal(t, harness.cell.Headroom()[service], -42_000)
	harness.advance(20 * time.Millisecond)
	assert.DeepEqual(t, harness.cell.Surplus(), []cell.Surplus{{
		ID:         "waiting",
		Service:    service,
		MilliCores: 14_000,
	}})
	assert.Equal(t, len(harness.cell.HandOver("running")), 0)
	assert.DeepEqual(t, harness.cell.HandOver("waiting"), []cell.Holder{{EntryVM: entryVM}})
	assert.Equal(t, len(harness.cell.HandOver("waiting")), 0)
	assert.Equal(t, len(harness.cell.Surplus()), 0)
}

// Guards against a second run of a task that another cell has started: polls of the
// own upstreams don't show that run, so the job must wait for its quarantine.
func TestJobWithRunsElsewhereWaitsForItsQuarantine(t *testing.T) {
	harness := newHarness(t)
	harness.listUpstreams(nil, "u1")
	harness.passStopGrace(nil, "u1")
	job := testJob("j", 1)
	job.Generation = 1
	job.Quarantine = 1200 * time.Millisecond
	job.RunsElsewhere = true
	job.Stretch = 20
	assert.Equal(t, len(harness.submit(job)), 0)
	harness.now = harness.now.Add(100 * time.Millisecond)
	assert.Equal(t, len(decisionsOf[cell.StartRun](harness.answerPoll("u1", nil))), 0, "the cell's upstreams don't run it")
	assert.Equal(t, len(decisionsOf[cell.StartRun](harness.advance(1200*time.Millisecond))), 1)
}

// A job is answered when its last task is done, not before.
func TestJobCompletesWithItsLastTask(t *testing.T) {
	harness := newHarness(t)
	harness.listUpstreams(nil, "u1")
	starts := harness.submit(testJob("j", 2))
	assert.Equal(t, len(starts), 2)
	for _, start := range starts {
		harness.confirm(start)
	}
	decisions := harness.answerPoll("u1", runningRuns(starts[1].Run, 10), endedRun(1, starts[0].Run, cell.EndDone))
	assert.Equal(t, len(decisionsOf[cell.AnswerJob](decisions)), 0)
	decisions = harness.answerPoll("u1", nil, endedRun(2, starts[1].Run, cell.EndDone))
	assert.Equal(t, harness.onlyAnswer(decisions).Result, cell.Completed)
}

// Guards against running work that is started again, or given up, because its worker
// was late to renew its entry and is missing from the list for a while.
func TestUpstreamMissingFromTheListKeepsItsRuns(t *testing.T) {
	harness := newHarness(t)
	harness.listUpstreams(nil, "u1", "u2")
	harness.passStopGrace(nil, "u1", "u2")
	job := testJob("j", 1)
	job.Steps[0].Estimate = 900 * time.Millisecond
	start := harness.submit(job)[0]
	harness.confirm(start)
	other := "u1"
	if start.Order.Upstream == "u1" {
		other = "u2"
	}
	decisions := harness.handle(cell.UpstreamsListed{
		Upstreams: []cell.Upstream{testUpstream(other)},
	})
	for range 12 {
		for _, id := range []string{"u1", "u2"} {
			var running []cell.RunningRun
			if id == start.Order.Upstream {
				percent := int(100 * harness.now.Sub(time.Unix(1_000_000, 0)) / time.Second)
				running = runningRuns(start.Run, percent)
			}
			decisions = append(decisions, harness.answerPoll(id, running)...)
		}
		decisions = append(decisions, harness.advance(50*time.Millisecond)...)
	}
	assert.Equal(t, len(decisionsOf[cell.StartRun](decisions)), 0)
	assert.Equal(t, len(decisionsOf[cell.StopRun](decisions)), 0)
	answer := harness.onlyAnswer(harness.answerPoll(start.Order.Upstream, nil, endedRun(1, start.Run, cell.EndDone)))
	assert.Equal(t, answer.Result, cell.Completed)
}

// Guards against a second execution of a job whose answer was lost on its way to the
// entry VM, or to a caller who then sends the job again through another entry VM.
func TestJobWithLostAnswerIsNotRunAgain(t *testing.T) {
	harness := newHarness(t)
	harness.listUpstreams(nil, "u1")
	start := harness.submit(testJob("j", 1))[0]
	harness.confirm(start)
	harness.answerPoll("u1", nil, endedRun(1, start.Run, cell.EndDone))
	resubmitted := testJob("j", 1)
	resubmitted.Generation = 1
	resubmitted.Quarantine = time.Second
	for _, otherEntryVM := range []string{entryVM, "vm-2#b"} {
		decisions := harness.handle(cell.JobSubmitted{
			EntryVM: otherEntryVM,
			Job:     resubmitted,
		})
		assert.Equal(t, len(decisionsOf[cell.StartRun](decisions)), 0)
		assert.Equal(t, harness.onlyAnswer(decisions).Result, cell.Completed)
		assert.Equal(t, decisionsOf[cell.AnswerJob](decisions)[0].EntryVM, otherEntryVM)
	}
	for range 7 {
		harness.advance(time.Second)
		harness.answerPoll("u1", nil)
	}
	decisions := harness.handle(cell.JobSubmitted{
		EntryVM: entryVM,
		Job:     testJob("j", 1),
	})
	assert.Equal(t, len(decisionsOf[cell.StartRun](decisions)), 1, "the memory of the Cell is bounded")
}

// submitWithLostReply submits a job of one task whose start is not answered.
func (harness *harness) submitWithLostReply() (cell.StartRun, []cell.Decision) {
	start := harness.submit(testJob("j", 1))[0]
	return start, harness.handle(cell.StartReplied{
		Reply: cell.Reply{
			Order:   start.Order,
			Outcome: cell.OutcomeUnknown,
			SentAt:  harness.now,
		},
		Run: start.Run,
	})
}

// A start without an answer may take effect late. The task must not start
// elsewhere until a stop of the run is confirmed, and the run is still unlisted
// after the stop grace: a run that is being stopped is not listed either.
func TestUnansweredStartIsStoppedBeforeNextStart(t *testing.T) {
	harness := newHarness(t)
	harness.listUpstreams(nil, "u1", "u2")
	start, decisions := harness.submitWithLostReply()
	assert.Equal(t, len(decisionsOf[cell.StartRun](decisions)), 0)
	assert.Equal(t, len(decisionsOf[cell.Poll](decisions)), 1, "an immediate poll shows whether it started")
	decisions = harness.answerPoll(start.Order.Upstream, nil)
	stops := decisionsOf[cell.StopRun](decisions)
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, len(decisionsOf[cell.StartRun](decisions)), 0)
	harness.now = harness.now.Add(time.Millisecond)
	decisions = harness.handle(cell.StopReplied{
		Reply: harness.reply(stops[0].Order, cell.OutcomeDone),
		Run:   start.Run,
	})
	assert.Equal(t, len(decisionsOf[cell.StartRun](decisions)), 0)
	// The answer to a poll from before the stop proves nothing.
	harness.now = harness.now.Add(-time.Millisecond)
	decisions = harness.answerPoll(start.Order.Upstream, nil)
	assert.Equal(t, len(decisionsOf[cell.StartRun](decisions)), 0)
	harness.now = harness.now.Add(cell.DefaultLimits().StopGrace)
	decisions = harness.answerPoll(start.Order.Upstream, nil)
	assert.Equal(t, len(decisionsOf[cell.StartRun](decisions)), 0)
	harness.now = harness.now.Add(time.Millisecond)
	starts := decisionsOf[cell.StartRun](harness.answerPoll(start.Order.Upstream, nil))
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Run.Number, start.Run.Number+1)
}

// A run whose start reply was lost continues. Such runs were once stopped
// although they were running, when workers lost replies.
func TestRunWithLostStartReplyContinues(t *testing.T) {
	harness := newHarness(t)
	harness.listUpstreams(nil, "u1", "u2")
	start, _ := harness.submitWithLostReply()
	decisions := harness.answerPoll(start.Order.Upstream, runningRuns(start.Run, 20))
	assert.Equal(t, len(decisionsOf[cell.StopRun](decisions)), 0)
	decisions = harness.answerPoll(start.Order.Upstream, nil, endedRun(1, start.Run, cell.EndDone))
	assert.Equal(t, harness.onlyAnswer(decisions).Result, cell.Completed)
}

// A lost long poll must not hide the end of a run for long. Workers once stood
// idle for 0.45 s after one order in twenty.
func TestOverdueRunIsPolledImmediately(t *testing.T) {
	harness := newHarness(t)
	harness.listUpstreams(nil, "u1")
	start := harness.submit(testJob("j", 1))[0]
	harness.confirm(start)
	immediatePolls := 0
	for waited := time.Duration(0); waited < 200*time.Millisecond; waited += 25 * time.Millisecond {
		for _, poll := range decisionsOf[cell.Poll](harness.advance(25 * time.Millisecond)) {
			if poll.Immediate {
				immediatePolls++
			}
		}
	}
	assert.Equal(t, immediatePolls, 1)
}

// A silent upstream may execute its runs until its lease expires on its own
// clock, which may run slow. The tasks must not start elsewhere before that.
func TestSilentUpstreamKeepsRunsUntilLeaseExpires(t *testing.T) {
	harness := newHarness(t)
	harness.listUpstreams(nil, "u1", "u2")
	longJob := testJob("j", 1)
	// The job's answer still has a value when the lease has expired.
	longJob.Objective = time.Second
	start := harness.submit(longJob)[0]
	harness.confirm(start)
	losePoll := func() []cell.Decision {
		return harness.handle(cell.PollReplied{
			Reply: cell.Reply{
				Order:   start.Order,
				Outcome: cell.OutcomeUnknown,
			},
		})
	}
	losePoll()
	losePoll()
	limits := cell.DefaultLimits()
	leaseLeft := time.Duration(start.Order.LeaseEnd-harness.clock()) * time.Millisecond
	slowest := time.Duration(float64(leaseLeft) / (1 - limits.ClockSlack))
	decisions := harness.advance(slowest)
	assert.Equal(t, len(decisionsOf[cell.StartRun](decisions)), 0)
	harness.answerPoll("u2", nil)
	decisions = harness.advance(limits.ExpiryMargin + 10*time.Millisecond)
	starts := decisionsOf[cell.StartRun](decisions)
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Order.Upstream != start.Order.Upstream, true)
}

// A takeover must not extend the lease of runs that belong to another process,
// which may wait for the lease to expire before it starts the tasks again. This
// once caused two runs of one task after a partition.
func TestTakeoverDoesNotRenewLeaseOfUnknownRuns(t *testing.T) {
	harness := newHarness(t)
	unknownRun := cell.RunName{
		Task: cell.TaskName{
			Job: "unknown",
		},
		Number: 1,
	}
	harness.listUpstreams(map[string][]cell.RunningRun{"u1": runningRuns(unknownRun, 10)}, "u1")
	for _, poll := range decisionsOf[cell.Poll](harness.lastDecisions) {
		assert.Equal(t, poll.Order.LeaseEnd, int64(0))
	}
	starts := harness.submit(testJob("j", 1))
	assert.Equal(t, len(starts), 0, "a start would renew the lease of all runs on its upstream")
	stops := decisionsOf[cell.StopRun](harness.advance(cell.DefaultLimits().OrphanWindow))
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Run, unknownRun)
}

// A run that outlives its scheduler is adopted by the next one and not started
// a second time.
func TestTakeoverAdoptsRunsOfItsJobs(t *testing.T) {
	harness := newHarness(t)
	reassignedJob := testJob("j", 1)
	reassignedJob.Generation = 1
	reassignedJob.Quarantine = time.Second
	earlierRun := cell.RunName{
		Task: cell.TaskName{
			Job: "j",
		},
		Number: 3,
	}
	harness.listUpstreams(map[string][]cell.RunningRun{"u1": runningRuns(earlierRun, 50)}, "u1", "u2")
	assert.Equal(t, len(harness.submit(reassignedJob)), 0)
	decisions := harness.answerPoll("u1", nil, endedRun(1, earlierRun, cell.EndDone))
	assert.Equal(t, harness.onlyAnswer(decisions).Result, cell.Completed)
}

// A task of a job that had another scheduler must not start before each
// upstream has listed its runs after the job was submitted: the other scheduler
// may have started it since the last poll. This once caused two runs of one
// task after a partition had healed.
func TestReassignedJobStartsAfterUpstreamsAreVerified(t *testing.T) {
	harness := newHarness(t)
	harness.listUpstreams(nil, "u1", "u2")
	harness.passStopGrace(nil, "u1", "u2")
	reassignedJob := testJob("j", 1)
	reassignedJob.Generation = 1
	reassignedJob.Quarantine = time.Second
	assert.Equal(t, len(harness.submit(reassignedJob)), 0)
	assert.Equal(t, len(decisionsOf[cell.StartRun](harness.answerPoll("u1", nil))), 0)
	starts := decisionsOf[cell.StartRun](harness.answerPoll("u2", nil))
	assert.Equal(t, len(starts), 1)
	assert.Assert(t, starts[0].Run.Number > 1000, "run numbers must be higher than those of the last scheduler")
}

// An upstream that left the list may be cut off and still execute runs, also if
// it was draining, so a reassigned job waits for its quarantine. This once caused
// two runs of one task whose first run was on a worker that the platform's
// store had lost.
func TestReassignedJobWaitsForDelistedUpstreams(t *testing.T) {
	for _, test := range []struct {
		name    string
		leaving bool
	}{
		{"cut off", false},
		{"drained", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			harness := newHarness(t)
			harness.listUpstreams(nil, "u1")
			removedUpstream := testUpstream("u2")
			removedUpstream.Removed = true
			removedUpstream.Leaving = test.leaving
			harness.handle(cell.UpstreamsListed{
				Upstreams: []cell.Upstream{testUpstream("u1"), removedUpstream},
			})
			harness.passStopGrace(nil, "u1")
			reassignedJob := testJob("j", 1)
			reassignedJob.Objective = time.Second
			reassignedJob.Generation = 1
			reassignedJob.Quarantine = time.Second
			assert.Equal(t, len(harness.submit(reassignedJob)), 0)
			harness.now = harness.now.Add(time.Millisecond)
			startsVerified := len(decisionsOf[cell.StartRun](harness.answerPoll("u1", nil)))
			assert.Equal(t, startsVerified, 0)
			startsLater := len(decisionsOf[cell.StartRun](harness.advance(time.Second)))
			assert.Equal(t, startsLater, 1)
		})
	}
}

// The result NotRun must be true: a job of which a start was ordered is
// reported as interrupted, whatever became of the start.
func TestOnlyJobsWithoutStartsAreReportedNotRun(t *testing.T) {
	for _, test := range []struct {
		name   string
		listed []string
		result cell.Result
	}{
		{"no upstream", nil, cell.NotRun},
		{"start ordered", []string{"u1"}, cell.Interrupted},
	} {
		t.Run(test.name, func(t *testing.T) {
			harness := newHarness(t)
			harness.listUpstreams(nil, test.listed...)
			harness.submit(testJob("j", 1))
			var answers []cell.AnswerJob
			for range 100 {
				answers = append(answers, decisionsOf[cell.AnswerJob](harness.advance(25*time.Millisecond))...)
			}
			assert.Equal(t, len(answers), 1)
			assert.Equal(t, answers[0].Answer.Result, test.result)
			assert.Equal(t, answers[0].Answer.RetryAfter > 0, test.result == cell.NotRun)
		})
	}
}

// A job fails only after a task has failed as often as its kind allows. Jobs
// were once reported as failed because they were out of time.
func TestJobFailsAfterMaxAttempts(t *testing.T) {
	harness := newHarness(t)
	harness.listUpstreams(nil, "u1", "u2", "u3")
	start := harness.submit(testJob("j", 1))[0]
	harness.confirm(start)
	decisions := harness.answerPoll(start.Order.Upstream, nil, endedRun(1, start.Run, cell.EndFailed))
	assert.Equal(t, len(decisionsOf[cell.AnswerJob](decisions)), 0)
	retries := decisionsOf[cell.StartRun](decisions)
	assert.Equal(t, len(retries), 1)
	assert.Assert(t, retries[0].Order.Upstream != start.Order.Upstream, "the second attempt goes elsewhere")
	harness.confirm(retries[0])
	decisions = harness.answerPoll(retries[0].Order.Upstream, nil, endedRun(1, retries[0].Run, cell.EndFailed))
	assert.Equal(t, harness.onlyAnswer(decisions).Result, cell.Failed)
}

// A worker that restarts under its name has lost its runs, and numbers its ends
// from 1 again.
func TestRestartedUpstreamLosesItsRuns(t *testing.T) {
	harness := newHarness(t)
	harness.listUpstreams(nil, "u1")
	start := harness.submit(testJob("j", 1))[0]
	harness.confirm(start)
	harness.answerPoll("u1", runningRuns(start.Run, 10), endedRun(9, cell.RunName{}, cell.EndStopped))
	reply := harness.pollReply(cell.Poll{
		Order: start.Order,
	}, nil, nil)
	reply.Incarnation = 2
	decisions := harness.handle(reply)
	assert.Equal(t, len(decisionsOf[cell.RunLost](decisions)), 1)
	for _, poll := range decisionsOf[cell.Poll](decisions) {
		assert.Equal(t, poll.Acknowledged, int64(0), "ends of the new process must not be acknowledged unseen")
	}
}

// A fenced scheduler yields the upstream and sends no more orders there.
func TestFencedUpstreamGetsNoOrders(t *testing.T) {
	harness := newHarness(t)
	harness.listUpstreams(nil, "u1")
	harness.claim = cell.ClaimNone
	start := harness.submit(testJob("j", 1))[0]
	harness.handle(cell.StartReplied{
		Reply: harness.reply(start.Order, cell.OutcomeFenced),
		Run:   start.Run,
	})
	for range 20 {
		for _, decision := range harness.advance(25 * time.Millisecond) {
			switch decision.(type) {
			case cell.StartRun, cell.StopRun, cell.Poll:
				t.Fatalf("order to an upstream that is owned elsewhere: %#v", decision)
			}
		}
	}
}

// A stalled run is stopped, and its task is started on another upstream.
func TestStalledRunIsMoved(t *testing.T) {
	harness := newHarness(t)
	harness.listUpstreams(nil, "u1", "u2", "u3", "u4")
	start := harness.submit(testJob("j", 1))[0]
	harness.confirm(start)
	var stops []cell.StopRun
	for range 10 {
		harness.now = harness.now.Add(50 * time.Millisecond)
		stops = append(stops, decisionsOf[cell.StopRun](harness.answerPoll(start.Order.Upstream, runningRuns(start.Run, 0)))...)
	}
	assert.Assert(t, len(stops) > 0)
	decisions := harness.answerPoll(start.Order.Upstream, nil, endedRun(1, start.Run, cell.EndStopped))
	starts := decisionsOf[cell.StartRun](decisions)
	assert.Equal(t, len(starts), 1)
	assert.Assert(t, starts[0].Order.Upstream != start.Order.Upstream)
}

// An upstream that is leaving gets no new tasks.
func TestLeavingUpstreamGetsNoTasks(t *testing.T) {
	harness := newHarness(t)
	harness.listUpstreams(nil, "u1")
	leavingUpstream := testUpstream("u1")
	leavingUpstream.Leaving = true
	harness.handle(cell.UpstreamsListed{
		Upstreams: []cell.Upstream{leavingUpstream},
	})
	assert.Equal(t, len(harness.submit(testJob("j", 1))), 0)
}

// The runs of a lost entry VM are stopped unless another entry VM waits for the
// same job.
func TestLostEntryVMWithdrawsItsJobs(t *testing.T) {
	for _, resent := range []bool{false, true} {
		harness := newHarness(t)
		harness.listUpstreams(nil, "u1")
		start := harness.submit(testJob("j", 1))[0]
		harness.confirm(start)
		if resent {
			harness.handle(cell.JobSubmitted{
				EntryVM: "vm-2#b",
				Job:     testJob("j", 1),
			})
		}
		stops := decisionsOf[cell.StopRun](harness.handle(cell.EntryVMLost{
			EntryVM: entryVM,
		}))
		assert.Equal(t, len(stops) == 0, resent)
	}
}

// Capacity is never assigned twice: a run that is being stopped still occupies
// it.
func TestCapacityOfStoppingRunsStaysReserved(t *testing.T) {
	harness := newHarness(t)
	harness.listUpstreams(nil, "u1")
	starts := harness.submit(testJob("j", 2))
	assert.Equal(t, len(starts), 2)
	for _, start := range starts {
		harness.confirm(start)
	}
	harness.handle(cell.JobWithdrawn{
		EntryVM: entryVM,
		ID:      "j",
	})
	assert.Equal(t, len(harness.submit(testJob("k", 1))), 0)
	decisions := harness.answerPoll("u1", runningRuns(starts[1].Run, 20), endedRun(1, starts[0].Run, cell.EndStopped))
	assert.Equal(t, len(decisionsOf[cell.StartRun](decisions)), 1)
	assert.Assert(t, slices.ContainsFunc(harness.cell.Dump().Upstreams, func(upstream cell.UpstreamDump) bool {
		return upstream.Runs == 2 && upstream.FreeMilliCores == 2_000
	}))
}

// A Cell that steps down names the upstreams with runs of each job, so that the
// next one waits for only these.
func TestReleasedJobWaitsForItsUpstreamsOnly(t *testing.T) {
	harness := newHarness(t)
	harness.listUpstreams(nil, "u1", "u2")
	start := harness.submit(testJob("j", 1))[0]
	releases := harness.cell.Release()
	assert.Equal(t, len(releases), 1)
	assert.DeepEqual(t, releases[0].RunsAt, []string{start.Order.Upstream})

	harness.cell = harness.newCell()
	harness.listUpstreams(nil, "u1", "u2")
	harness.passStopGrace(nil, "u1", "u2")
	reassignedJob := testJob("j", 1)
	reassignedJob.Generation = 1
	reassignedJob.Quarantine = time.Second
	reassignedJob.Released = true
	reassignedJob.RunsAt = releases[0].RunsAt
	assert.Equal(t, len(harness.submit(reassignedJob)), 0)
	starts := decisionsOf[cell.StartRun](harness.answerPoll(start.Order.Upstream, nil))
	assert.Equal(t, len(starts), 1)
}

// A Cell that has not verified a job itself must not release it, because runs
// of a still earlier Cell may exist. This once caused two runs of one task when
// two schedulers followed each other within a second.
func TestUnverifiedJobIsNotReleased(t *testing.T) {
	harness := newHarness(t)
	harness.listUpstreams(nil, "u1", "u2")
	harness.passStopGrace(nil, "u1", "u2")
	reassignedJob := testJob("j", 1)
	reassignedJob.Generation = 1
	reassignedJob.Quarantine = time.Second
	harness.submit(reassignedJob)
	assert.Equal(t, len(harness.cell.Release()), 0)
	harness.answerPoll("u1", nil)
	harness.answerPoll("u2", nil)
	assert.Equal(t, len(harness.cell.Release()), 1)
}

// A run that the last scheduler has just stopped goes on for the stop grace and
// is not listed. This once caused two runs of one task 20 ms apart after a
// partition, in the simulated day scheduler-dies-in-zone-cut.
func TestReassignedJobWaitsForStopGrace(t *testing.T) {
	harness := newHarness(t)
	harness.listUpstreams(nil, "u1")
	harness.now = harness.now.Add(time.Millisecond)
	reassignedJob := testJob("j", 1)
	reassignedJob.Generation = 1
	reassignedJob.Quarantine = time.Second
	assert.Equal(t, len(harness.submit(reassignedJob)), 0)
	harness.now = harness.now.Add(cell.DefaultLimits().StopGrace / 2)
	assert.Equal(t, len(decisionsOf[cell.StartRun](harness.answerPoll("u1", nil))), 0)
	harness.now = harness.now.Add(cell.DefaultLimits().StopGrace)
	assert.Equal(t, len(decisionsOf[cell.StartRun](harness.answerPoll("u1", nil))), 1)
}

// A job that is submitted again while the runs of its first submission are being
// stopped must wait for their end. After a partition, entry VMs once submitted jobs
// again that the scheduler had just withdrawn.
func TestResubmittedJobWaitsForItsStoppedRuns(t *testing.T) {
	harness := newHarness(t)
	harness.listUpstreams(nil, "u1", "u2", "u3")
	start := harness.submit(testJob("j", 1))[0]
	harness.confirm(start)
	harness.handle(cell.EntryVMLost{
		EntryVM: entryVM,
	})
	assert.Equal(t, len(harness.submit(testJob("j", 1))), 0)
	decisions := harness.answerPoll(start.Order.Upstream, nil, endedRun(1, start.Run, cell.EndStopped))
	assert.Equal(t, len(decisionsOf[cell.StartRun](decisions)), 1)
}

// An upstream that is cut off together with the process that has the firm claim
// on it is yielded to the processes on its side. After partitions, the
// scheduler once reclaimed the upstreams of the cut-off domain before the other
// scheduler had stepped down, and stopped all runs there.
func TestIsolatedUpstreamIsYielded(t *testing.T) {
	for _, test := range []struct {
		claim  cell.Claim
		polled bool
	}{
		{cell.ClaimFirm, true},
		{cell.ClaimWeak, false},
		{cell.ClaimNone, false},
	} {
		harness := newHarness(t)
		harness.listUpstreams(nil, "u1")
		harness.claim = test.claim
		// losePolls leaves all polls without an answer, including those that
		// follow.
		var losePolls func(decisions []cell.Decision) int
		losePolls = func(decisions []cell.Decision) int {
			polls := decisionsOf[cell.Poll](decisions)
			count := len(polls)
			for _, poll := range polls {
				count += losePolls(harness.handle(cell.PollReplied{
					Reply: cell.Reply{
						Order:   poll.Order,
						Outcome: cell.OutcomeUnknown,
					},
					Immediate: poll.Immediate,
				}))
			}
			return count
		}
		losePolls(harness.lastDecisions)
		for range 40 {
			losePolls(harness.advance(100 * time.Millisecond))
		}
		pollCount := 0
		for range 5 {
			pollCount += losePolls(harness.advance(100 * time.Millisecond))
		}
		assert.Equal(t, pollCount > 0, test.polled, "claim %d", test.claim)
	}
}

// A start that is in flight while its worker restarts may run in the new
// process, so the task must not start elsewhere before that process has listed
// its runs. The soak test found this as two runs of one task (seeds 3 and 12).
func TestStartDuringUpstreamRestartIsNotRepeated(t *testing.T) {
	harness := newHarness(t)
	harness.listUpstreams(nil, "u1", "u2")
	start := harness.submit(testJob("j", 1))[0]
	harness.confirm(start)
	var upstreams []cell.Upstream
	for _, id := range []string{"u1", "u2"} {
		restartedUpstream := testUpstream(id)
		restartedUpstream.Incarnation = 2
		upstreams = append(upstreams, restartedUpstream)
	}
	decisions := harness.handle(cell.UpstreamsListed{
		Upstreams: upstreams,
	})
	assert.Equal(t, len(decisionsOf[cell.StartRun](decisions)), 0)
	otherID := "u2"
	if start.Order.Upstream == otherID {
		otherID = "u1"
	}
	answerPoll := func(id string, running []cell.RunningRun) []cell.Decision {
		reply := harness.pollReply(cell.Poll{
			Order: cell.Order{
				Upstream: id,
				Token:    harness.token,
			},
		}, running, nil)
		reply.Incarnation = 2
		return harness.handle(reply)
	}
	// The first answer of the new process shows the restart, the second its runs.
	for range 2 {
		answerPoll(otherID, nil)
		decisions = answerPoll(start.Order.Upstream, runningRuns(start.Run, 10))
		assert.Equal(t, len(decisionsOf[cell.StartRun](decisions)), 0)
		assert.Equal(t, len(decisionsOf[cell.StopRun](decisions)), 0)
	}
	decisions = harness.handle(cell.JobWithdrawn{
		EntryVM: entryVM,
		ID:      "j",
	})
	stops := decisionsOf[cell.StopRun](decisions)
	assert.Equal(t, len(stops), 1, "the run in the new process is that of the job")
	assert.Equal(t, stops[0].Run, start.Run)
}

// If an upstream's lease expires while the reply to a start is outstanding, the
// run may have executed, so its job must not be reported as not run. This
// probably caused one REFUSED in a simulated day on which the scheduler was
// seconds behind.
func TestExpiredUnansweredStartMayHaveRun(t *testing.T) {
	harness := newHarness(t)
	harness.listUpstreams(nil, "u1")
	harness.submit(testJob("j", 1))
	var answers []cell.AnswerJob
	for range 3 {
		for range 3 {
			harness.handle(cell.PollReplied{
				Reply: cell.Reply{
					Order: cell.Order{
						Upstream: "u1",
					},
					Outcome: cell.OutcomeUnknown,
				},
			})
		}
		answers = append(answers, decisionsOf[cell.AnswerJob](harness.advance(700*time.Millisecond))...)
	}
	assert.Equal(t, len(answers), 1)
	assert.Equal(t, answers[0].Answer.Result, cell.Interrupted)
}
