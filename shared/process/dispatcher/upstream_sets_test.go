package dispatcher

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/connection/link"
	"tanagerfall/shared/request/cell"
	"tanagerfall/shared/version/region"
)

// receiveSchedulerHeartbeat handles a heartbeat of a scheduler in the domain of this
// process.
func (loop *loop) receiveSchedulerHeartbeat(address string, activeFor time.Duration, set uint64) {
	loop.handleHeartbeat(region.Heartbeat{
		Member: region.Member{
			Address:     address,
			Domain:      "a",
			Weight:      1,
			Incarnation: 3,
		},
		ActiveFor:   activeFor,
		Follows:     address,
		Interval:    region.MinHeartbeatInterval,
		Eligible:    true,
		Division:    region.Undivided,
		UpstreamSet: set,
	}, 0)
}

// Guards against a second run of a task whose first run is on an upstream that the next
// scheduler does not know: in a partition the entries of the upstreams on one side
// expire, while a scheduler on that side uses them. The first submission to the next
// scheduler was lost at the end of the partition, and the one after it did not say any
// more what the earlier scheduler had done.
func TestEachSubmissionNamesWhatEarlierSchedulersKnew(t *testing.T) {
	loop := newEntryVMLoop(t)
	loop.leader = ""
	loop.receiveSchedulerHeartbeat("10.0.0.8:1", time.Second, 17)
	loop.acceptTestJob()
	heldJob := loop.heldJobs["j"]
	assert.Equal(t, heldJob.scheduler, "10.0.0.8:1")
	assert.Equal(t, len(heldJob.earlierSets), 0)

	loop.now = loop.now.Add(time.Second)
	loop.view.Advance(loop.now, 0)
	loop.receiveSchedulerHeartbeat("10.0.0.9:1", time.Second, 18)
	assert.Equal(t, heldJob.scheduler, "10.0.0.9:1", "the other one is silent")
	assert.DeepEqual(t, heldJob.earlierSets, []uint64{17})
	loop.handleLinkEvent(link.Up{
		Address: "10.0.0.9:1",
	})
	assert.Equal(t, heldJob.submissions, 3)
	assert.DeepEqual(t, heldJob.earlierSets, []uint64{17, 18})

	loop.now = loop.now.Add(loop.quarantine())
	heldJob.scheduler = ""
	loop.submit(heldJob)
	assert.Equal(t, len(heldJob.earlierSets), 0, "no earlier scheduler acts on the job any more")
}

// Guards against a scheduler that takes its own list for complete, and against one that
// makes jobs wait because its list and that of its predecessor differ by a moment.
func TestUpstreamSetsCoverThoseOfLists(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	removedAt := make(map[string]time.Time)
	list := func(ids ...string) (upstreams []cell.Upstream) {
		for _, id := range ids {
			_, isRemoved := removedAt[id]
			upstreams = append(upstreams, cell.Upstream{
				ID:      id,
				Removed: isRemoved,
			})
		}
		return upstreams
	}
	var known, other upstreamSets
	assert.Assert(t, !known.covers(now, nil) && !known.covers(now, []uint64{0}), "nothing is known yet")
	known.update(now, list("a", "b"), removedAt)
	other.update(now, list("b", "a"), removedAt)
	assert.Assert(t, known.covers(now, []uint64{other.current}))
	earlier := known.current

	known.update(now, list("a", "b", "c"), removedAt)
	assert.Assert(t, known.covers(now.Add(time.Second), []uint64{earlier, known.current}), "c was added just now")
	other.update(now, list("a", "b", "d"), removedAt)
	assert.Assert(t, !known.covers(now, []uint64{earlier, other.current}), "d is not known")

	removedAt["b"] = now
	now = now.Add(setRetention)
	known.update(now, list("a", "b", "c"), removedAt)
	withRemoved := known.current
	now = now.Add(time.Second)
	known.update(now, list("a", "b", "c"), removedAt)
	assert.Assert(t, known.current != withRemoved, "a scheduler does not report b any more")
	assert.Assert(t, known.covers(now, []uint64{withRemoved}), "b is still known")
	now = now.Add(removedRetention - setRetention)
	known.update(now, list("a", "c"), removedAt)
	assert.Assert(t, !known.covers(now.Add(time.Second), []uint64{withRemoved}), "b was forgotten")
}

// Guards against a second run of a task that another scheduler has started on an upstream
// which drains, as this process knows and that one did not: it has left the list here and
// counts as empty.
func TestUpstreamSetsDistinguishThoseThatLeave(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	upstream := cell.Upstream{
		ID: "a",
	}
	var known, other upstreamSets
	other.update(now, []cell.Upstream{upstream}, nil)
	upstream.Leaving = true
	known.update(now, []cell.Upstream{upstream}, nil)
	assert.Assert(t, !known.covers(now, []uint64{other.current}))
	other.update(now, []cell.Upstream{upstream}, nil)
	assert.Assert(t, known.covers(now, []uint64{other.current}))
}

// Guards against a second run of a task on an upstream that a scheduler learned of after
// its last heartbeat that the task's entry VM received: the next scheduler may not know it.
func TestNewUpstreamIsUsedWhenAllEntryVMsKnowIt(t *testing.T) {
	scheduler := newSchedulerLoop(t)
	scheduler.handle(scheduler.now, upstreamsRead{
		upstreams: append(slices.Clone(scheduler.upstreams), cell.Upstream{
			ID:      "u2",
			Service: "orders",
		}),
	})
	assert.Assert(t, scheduler.upstreams[0].UsableAt.IsZero(), "the first list is announced before any job arrives")
	// An entry VM leaves after one timeout without a heartbeat, and its jobs may start
	// until its own silence is noticed after another one.
	assert.Assert(t, scheduler.upstreams[1].UsableAt.Sub(scheduler.now) >= 2*scheduler.view.LivenessTimeout())
	scheduler.advance(time.Second)
	usableAt := scheduler.upstreams[1].UsableAt
	scheduler.handle(scheduler.now, upstreamsRead{
		upstreams: scheduler.upstreams,
	})
	assert.Equal(t, scheduler.upstreams[1].UsableAt, usableAt, "the next list changes nothing")
}

// Guards against a second run of a job that its caller has sent again to another entry VM: the
// submission did not say which upstreams the earlier scheduler may have used.
func TestResentJobNamesWhereItMayRun(t *testing.T) {
	for _, test := range []struct {
		name   string
		events func(loop *loop)
		want   []uint64
	}{
		{"one scheduler", func(*loop) {}, []uint64{17}},
		{"another scheduler", func(loop *loop) {
			loop.now = loop.now.Add(time.Second)
			loop.view.Advance(loop.now, 0)
			loop.receiveSchedulerHeartbeat("10.0.0.8:1", time.Second, 18)
		}, []uint64{17, 18}},
		{"another scheduler for long", func(loop *loop) {
			loop.now = loop.now.Add(time.Second)
			loop.view.Advance(loop.now, 0)
			loop.receiveSchedulerHeartbeat("10.0.0.8:1", time.Second, 18)
			loop.now = loop.now.Add(2 * loop.quarantine())
		}, []uint64{18}},
		{"divided region", func(loop *loop) {
			loop.applyDivision(loop.view.AdoptDivision(region.DividedByDomain))
		}, []uint64{unknownSet}},
	} {
		t.Run(test.name, func(t *testing.T) {
			loop := newEntryVMLoop(t)
			loop.leader = ""
			loop.receiveSchedulerHeartbeat(schedulerAddress, time.Second, 17)
			test.events(loop)
			loop.acceptCallerJob(jobAccepted{
				job: cell.Job{
					ID:          "j",
					TimeLeft:    10 * time.Second,
					ResentAfter: 1300 * time.Millisecond,
				},
			})
			assert.DeepEqual(t, loop.heldJobs["j"].earlierSets, test.want)
		})
	}
}

// newDividedEntryVMLoop returns the loop of an entry VM of domain "a" in a divided region,
// which has held the job "j" since the scheduler of domain "b" at foreignAddress got it.
func newDividedEntryVMLoop(t *testing.T) *loop {
	t.Helper()
	loop := newEntryVMLoop(t)
	loop.view = region.New(loop.now, region.Member{
		Address:     entryVMAddress,
		Domain:      "a",
		Incarnation: 1,
	})
	loop.dispatcher.links = make(sentMessages)
	foreign := newForeignLoop(t)
	for _, heartbeat := range []region.Heartbeat{
		{
			Member: region.Member{
				Address: schedulerAddress,
				Domain:  "a",
				Weight:  1,
			},
			Division: region.DividedByDomain,
		},
		foreign.heartbeatTo(entryVMAddress),
	} {
		heartbeat.ActiveFor = time.Second
		heartbeat.Interval = region.MinHeartbeatInterval
		loop.handleHeartbeat(heartbeat, 0)
	}
	loop.adoptUpstreams(dividedUpstreams(), 0)
	loop.acceptTestJob()
	loop.handleDecline(schedulerAddress, link.Decline{
		JobID:      "j",
		Target:     foreignAddress,
		Submission: loop.heldJobs["j"].submission,
	})
	assert.Equal(t, loop.heldJobs["j"].scheduler, foreignAddress)
	return loop
}

// newForeignLoop returns the loop of the scheduler of domain "b" in a divided region.
func newForeignLoop(t *testing.T) *loop {
	t.Helper()
	loop := newSchedulerLoop(t)
	loop.dispatcher.links = make(sentMessages)
	loop.view = region.New(loop.now, region.Member{
		Address:     foreignAddress,
		Domain:      "b",
		Incarnation: 1,
	})
	loop.applyDivision(loop.view.AdoptDivision(region.DividedByDomain))
	loop.view.HandleHeartbeat(region.Heartbeat{
		Member: region.Member{
			Address: schedulerAddress,
			Domain:  "a",
		},
	}, 0)
	loop.startScheduling()
	loop.adoptUpstreams(dividedUpstreams(), 0)
	return loop
}

// heartbeatTo returns the heartbeat that a process sends to another one.
func (loop *loop) heartbeatTo(address string) region.Heartbeat {
	sent := make(sentMessages)
	loop.dispatcher.links = sent
	loop.sendHeartbeat(address, false)
	return *sent[address][0].Heartbeat
}

// dividedUpstreams returns one upstream in each of the domains "a" and "b".
func dividedUpstreams() []cell.Upstream {
	return []cell.Upstream{
		{
			ID:      "u1",
			Service: "orders",
			Domain:  "a",
		},
		{
			ID:      "u2",
			Service: "orders",
			Domain:  "b",
		},
	}
}

// Guards against a second run of a job that was handed over to another cell: however it leaves
// the scheduler there, the own scheduler must not take polls of its own upstreams for proof
// that no run goes on.
func TestJobThatWasHandedOverMayRunInTheOtherCell(t *testing.T) {
	streamReplaced := func(loop *loop) {
		loop.neighbours.brokenAt[foreignAddress] = loop.now
		loop.handleLinkEvent(link.Up{
			Address: foreignAddress,
		})
	}
	for _, test := range []struct {
		name  string
		leave func(loop *loop)
	}{
		{"declined by the next process at the address", func(loop *loop) {
			streamReplaced(loop)
			loop.handleDecline(foreignAddress, link.Decline{
				JobID:      "j",
				Submission: loop.heldJobs["j"].submission,
			})
		}},
		{"scheduler lost", func(loop *loop) {
			loop.now = loop.now.Add(foreignSilence)
			loop.view.Advance(loop.now, 0)
			loop.checkForeignJobs()
		}},
		{"dropped, then declined", func(loop *loop) {
			loop.handleDropped(foreignAddress, 0)
			loop.handleDecline(foreignAddress, link.Decline{
				JobID:      "j",
				Submission: loop.heldJobs["j"].submission,
			})
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			loop := newDividedEntryVMLoop(t)
			test.leave(loop)
			heldJob := loop.heldJobs["j"]
			heldJob.retryAt = loop.now
			loop.submit(heldJob)
			submitted := loop.dispatcher.links.(sentMessages).submitted(t, schedulerAddress).Submit
			assert.Assert(t, submitted.Quarantine > 0)
			assert.Assert(t, submitted.RunsElsewhere || !loop.knownUpstreams.covers(loop.now, submitted.EarlierSets),
				"the scheduler of the own cell can't find the runs")
		})
	}
}

// Guards against a second run of a task on an upstream that has moved to another cell: the
// scheduler that has started it there is lost, and the next one polls its own upstreams only.
func TestSetsOfACellThatLosesUpstreamsAreNotKnown(t *testing.T) {
	loop := newSchedulerLoop(t)
	loop.view = region.New(loop.now, region.Member{
		Address:     schedulerAddress,
		Domain:      "a",
		Incarnation: 1,
	})
	loop.adoptUpstreams(dividedUpstreams(), 0)
	whole := loop.setOf(schedulerAddress)
	assert.Assert(t, loop.knownUpstreams.covers(loop.now, []uint64{whole}))
	loop.view.HandleHeartbeat(region.Heartbeat{
		Member: region.Member{
			Address: foreignAddress,
			Domain:  "b",
		},
	}, 0)
	loop.applyDivision(loop.view.AdoptDivision(region.DividedByDomain))
	assert.Assert(t, !loop.knownUpstreams.covers(loop.now, []uint64{whole}), "u2 belongs to another cell")
	assert.Assert(t, loop.knownUpstreams.covers(loop.now, []uint64{loop.setOf(schedulerAddress)}))
}

// Guards against a second run of a task on an upstream that has left the set of its scheduler,
// as one that drains for longer than its entry is remembered: the next scheduler knows all
// upstreams of the set that the lost one reported.
func TestSetIsNotReportedWhileRunsGoOnOutsideIt(t *testing.T) {
	loop := newSchedulerLoop(t)
	self := loop.view.Self().Address
	loop.notifyCell(cell.PollReplied{
		Reply: cell.Reply{
			Order: cell.Order{
				Upstream: "u1",
				Token:    loop.token,
			},
			Clock:      1000,
			SentAt:     loop.now,
			ReceivedAt: loop.now,
		},
		Immediate:   true,
		Incarnation: 1,
		Running: []cell.RunningRun{{
			Run: cell.RunName{
				Task: cell.TaskName{
					Job: "j",
				},
				Number: 1,
			},
		}},
	})
	loop.adoptUpstreams(dividedUpstreams()[1:], 0)
	assert.Assert(t, loop.setOf(self) != unknownSet, "u1 is still a member")
	loop.now = loop.now.Add(setRetention + time.Second)
	loop.adoptUpstreams(dividedUpstreams()[1:], 0)
	assert.Equal(t, loop.setOf(self), unknownSet, "u1 has a run")
}
