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
	loop.receiveHeartbeatFrom("a", address, activeFor, set)
}

// receiveHeartbeatFrom handles a heartbeat of a scheduler in a domain.
func (loop *loop) receiveHeartbeatFrom(domain, address string, activeFor time.Duration, set uint64) {
	loop.handleHeartbeat(region.Heartbeat{
		Member: region.Member{
			Address:     address,
			Domain:      domain,
			Weight:      1,
			Incarnation: 3,
		},
		ActiveFor:   activeFor,
		Follows:     address,
		Interval:    region.MinHeartbeatInterval,
		Eligible:    true,
		Division:    max(region.Undivided, loop.view.Division()),
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

// listOf returns a list of upstreams, of which those in removedAt have left it.
func listOf(removedAt map[string]time.Time, ids ...string) (upstreams []cell.Upstream) {
	for _, id := range ids {
		_, isRemoved := removedAt[id]
		upstreams = append(upstreams, cell.Upstream{
			ID:      id,
			Removed: isRemoved,
		})
	}
	return upstreams
}

// Guards against a scheduler that takes its own list for complete, and against one that
// makes jobs wait because its list and that of its predecessor differ by a moment.
func TestUpstreamSetsCoverThoseOfLists(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	removedAt := make(map[string]time.Time)
	list := func(ids ...string) []cell.Upstream { return listOf(removedAt, ids...) }
	var known, other upstreamSets
	assert.Assert(t, !known.covers(now, nil) && !known.covers(now, []uint64{0}), "nothing is known yet")
	known.update(now, list("a", "b"), removedAt)
	other.update(now, list("b", "a"), removedAt)
	assert.Assert(t, known.covers(now, []uint64{other.listed}))
	earlier := known.listed

	known.update(now, list("a", "b", "c"), removedAt)
	assert.Assert(t, known.covers(now.Add(time.Second), []uint64{earlier, known.listed}), "c was added just now")
	other.update(now, list("a", "b", "d"), removedAt)
	assert.Assert(t, !known.covers(now, []uint64{earlier, other.listed}), "d is not known")

	withB := []uint64{known.listed}
	removedAt["b"] = now
	known.update(now, list("a", "b", "c"), removedAt)
	assert.Assert(t, known.listed != withB[0], "a scheduler without runs on b does not report it any more")
	for _, age := range []time.Duration{0, removedRetention} {
		assert.Assert(t, known.covers(now.Add(age), withB) && known.mayContain(now.Add(age), withB, "b"), "b is still known")
	}
	withoutB := []uint64{known.listed}
	now = now.Add(time.Second)
	removedAt["c"] = now
	known.update(now, list("a", "b", "c"), removedAt)
	assert.Assert(t, known.covers(now, withoutB) && !known.mayContain(now, withoutB, "b") && known.mayContain(now, withoutB, "c"))
	now = now.Add(removedRetention)
	delete(removedAt, "b")
	known.update(now, list("a", "c"), removedAt)
	assert.Assert(t, !known.covers(now, withB) && known.mayContain(now, withB, "c"), "b was forgotten")
	assert.Assert(t, known.covers(now, withoutB), "c is still known")
}

// Guards against a second run of a task that another scheduler has started on an upstream
// which drains, as this process knows and that one did not: it has left the list here and
// counts as empty.
func TestUpstreamSetsDistinguishThoseThatLeave(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var known, other upstreamSets
	other.update(now, listOf(nil, "a", "b"), nil)
	reported := []uint64{other.listed}
	upstreams := listOf(nil, "a", "b")
	upstreams[0].Leaving = true
	known.update(now, upstreams, nil)
	assert.Assert(t, known.covers(now, reported))
	upstreams[0].Removed = true
	known.update(now, upstreams, map[string]time.Time{
		"a": now,
	})
	assert.Assert(t, known.covers(now, reported) && known.mayContain(now, reported, "a"))
	assert.Assert(t, !known.mayContain(now, []uint64{known.listed}, "a"), "it has left the list of the other one as well")
}

// Guards against a second run of a task on an upstream that has left the list of its scheduler
// and goes on: the next scheduler is to ask it, and to ask no other one that has left the list.
func TestReportedSetNamesUpstreamsOutsideTheList(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	removedAt := map[string]time.Time{
		"b": now,
		"c": now,
	}
	var scheduler, next upstreamSets
	for _, sets := range []*upstreamSets{&scheduler, &next} {
		sets.update(now, listOf(nil, "a", "b", "c"), nil)
		sets.update(now, listOf(removedAt, "a", "b", "c"), removedAt)
	}
	reported := []uint64{scheduler.withOutside([]string{"b"})}
	assert.Assert(t, !next.covers(now, reported), "its members are not known yet")
	assert.Assert(t, next.mayContain(now, reported, "c"), "any upstream may be a member of an unknown set")
	next.record(now, reported[0], []string{"b"})
	assert.Assert(t, next.covers(now, reported))
	assert.Assert(t, next.mayContain(now, reported, "b") && !next.mayContain(now, reported, "c"))
	next.update(now.Add(removedRetention), listOf(nil, "a"), nil)
	assert.Assert(t, !next.covers(now.Add(removedRetention), reported), "b was forgotten")
	assert.Equal(t, scheduler.withOutside(make([]string, maxOutside+1)), unknownSet, "too many to be named")
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
		readAt: scheduler.now,
	})
	assert.Assert(t, scheduler.upstreams[0].UsableAt.IsZero(), "the first list is announced before any job arrives")
	// An entry VM leaves after one timeout without a heartbeat, and its jobs may start
	// until its own silence is noticed after another one.
	assert.Assert(t, scheduler.upstreams[1].UsableAt.Sub(scheduler.now) >= 2*scheduler.view.LivenessTimeout())
	scheduler.advance(time.Second)
	usableAt := scheduler.upstreams[1].UsableAt
	scheduler.handle(scheduler.now, upstreamsRead{
		upstreams: scheduler.upstreams,
		readAt:    scheduler.now,
	})
	assert.Equal(t, scheduler.upstreams[1].UsableAt, usableAt, "the next list changes nothing")
}

// Guards against a second run of a job that its caller has sent again to another entry VM: the
// submission did not say which upstreams the earlier scheduler may have used.
func TestResentJobNamesWhereItMayRun(t *testing.T) {
	for _, test := range []struct {
		name      string
		scheduler string
		waited    time.Duration
		divided   bool
		want      []uint64
	}{
		{"one scheduler", schedulerAddress, 0, false, []uint64{17}},
		{"another scheduler", foreignAddress, 0, false, []uint64{17, 18}},
		{"another scheduler for long", foreignAddress, 5 * time.Second, false, []uint64{18}},
		{"divided region", schedulerAddress, 0, true, []uint64{unknownSet}},
	} {
		t.Run(test.name, func(t *testing.T) {
			loop := newEntryVMLoop(t)
			loop.leader = ""
			loop.receiveSchedulerHeartbeat(schedulerAddress, time.Second, 17)
			if test.scheduler != schedulerAddress {
				loop.now = loop.now.Add(time.Second)
				loop.view.Advance(loop.now, 0)
				loop.receiveSchedulerHeartbeat(test.scheduler, time.Second, 18)
			}
			if test.divided {
				loop.applyDivision(loop.view.AdoptDivision(region.DividedByDomain))
			}
			loop.now = loop.now.Add(test.waited)
			job := testFaultJob("j")
			job.ResentAfter = 1300 * time.Millisecond
			loop.acceptCallerJob(jobAccepted{
				job: job,
			})
			assert.DeepEqual(t, loop.heldJobs["j"].earlierSets, test.want)
		})
	}
}

// enterDividedRegion puts a process into a domain of a region that is divided into "a" and "b",
// each of which has one upstream.
func (loop *loop) enterDividedRegion(domain string) {
	self := loop.view.Self()
	self.Domain = domain
	loop.view = region.New(loop.now, self)
	loop.applyDivision(loop.view.AdoptDivision(region.DividedByDomain))
	loop.receiveHeartbeatFrom("a", schedulerAddress, time.Second, 17)
	loop.receiveHeartbeatFrom("b", foreignAddress, time.Second, 18)
	loop.adoptUpstreams(dividedUpstreams(), 0)
}

func dividedUpstreams() []cell.Upstream {
	list := make([]cell.Upstream, 2)
	for i, domain := range []string{"a", "b"} {
		list[i].ID = domain + "-1"
		list[i].Domain = domain
	}
	return list
}

// Guards against a second run of a job that was handed over to another cell: however it leaves
// the scheduler there, the own scheduler must not take polls of its own upstreams for proof
// that no run goes on.
func TestJobThatWasHandedOverMayRunInTheOtherCell(t *testing.T) {
	for name, leave := range map[string]func(loop *loop){
		"declined after a replaced stream": func(loop *loop) {
			loop.neighbours.brokenAt[foreignAddress] = loop.now
			loop.resubmitForeignJobs(foreignAddress)
			loop.declineFrom(foreignAddress, "")
		},
		"declined after a drop": func(loop *loop) {
			loop.handleDropped(foreignAddress, 0)
			loop.declineFrom(foreignAddress, "")
		},
		"scheduler lost": func(loop *loop) {
			loop.now = loop.now.Add(foreignSilence)
			loop.view.Advance(loop.now, 0)
			loop.checkForeignJobs()
		},
	} {
		t.Run(name, func(t *testing.T) {
			foreign := newEntryVMLoop(t)
			foreign.enterDividedRegion("b")
			loop := newEntryVMLoop(t)
			sent := make(sentMessages)
			loop.dispatcher.links = sent
			loop.enterDividedRegion("a")
			loop.receiveHeartbeatFrom("b", foreignAddress, time.Second, foreign.knownUpstreams.listed)
			loop.acceptTestJob()
			loop.declineFrom(schedulerAddress, foreignAddress)
			heldJob := loop.heldJobs["j"]
			assert.Equal(t, heldJob.scheduler, foreignAddress)
			leave(loop)
			heldJob.retryAt = loop.now
			loop.submit(heldJob)
			submitted := sent.submitted(t, schedulerAddress).Submit
			assert.Assert(t, submitted.Quarantine > 0)
			assert.Assert(t, !loop.knownUpstreams.covers(loop.now, submitted.EarlierSets))
		})
	}
}

// Guards against a second run of a task on an upstream that has moved to another cell: the
// scheduler that has started it there is lost, and the next one polls its own upstreams only.
func TestSetsOfACellThatLosesUpstreamsAreNotKnown(t *testing.T) {
	loop := newEntryVMLoop(t)
	loop.adoptUpstreams(dividedUpstreams(), 0)
	whole := loop.knownUpstreams.listed
	assert.Assert(t, loop.knownUpstreams.covers(loop.now, []uint64{whole}))
	loop.enterDividedRegion("a")
	assert.Assert(t, !loop.knownUpstreams.covers(loop.now, []uint64{whole}), "an upstream belongs to another cell")
	assert.Assert(t, loop.knownUpstreams.covers(loop.now, []uint64{loop.knownUpstreams.listed}))
}

// Guards against a second run of a task on an upstream that has left the list of its scheduler,
// as one that drains for longer than its entry is remembered: the next scheduler takes it for one
// without runs unless the heartbeats of the lost one name it.
func TestHeartbeatNamesUpstreamsWithRunsOutsideTheList(t *testing.T) {
	loop := newSchedulerLoop(t)
	sent := make(sentMessages)
	loop.dispatcher.links = sent
	run := cell.RunningRun{}
	run.Run.Task.Job = "j"
	replied := cell.PollReplied{
		Immediate: true,
		Running:   []cell.RunningRun{run},
	}
	replied.Reply.Order.Upstream = "u1"
	replied.Reply.Order.Token = loop.token
	replied.Reply.ReceivedAt = loop.now
	loop.notifyCell(replied)
	for _, waited := range []time.Duration{0, removedRetention + time.Second} {
		loop.now = loop.now.Add(waited)
		loop.adoptUpstreams(dividedUpstreams(), 0)
		set, outside := loop.reportedSet()
		assert.DeepEqual(t, outside, []string{"u1"})
		assert.Assert(t, set != loop.knownUpstreams.listed, "u1 left the list %v before", waited)
		loop.sendHeartbeat("peer", false)
		heartbeat := sent["peer"][len(sent["peer"])-1].Heartbeat
		assert.Assert(t, heartbeat.UpstreamSet == set && slices.Equal(heartbeat.UpstreamsOutside, outside))
	}
}
