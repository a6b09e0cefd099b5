package dispatcher

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/connection/link"
	"tanagerfall/shared/connection/peer"
	"tanagerfall/shared/connection/relay"
	"tanagerfall/shared/request/cell"
	"tanagerfall/shared/request/estimate"
	"tanagerfall/shared/version/region"
	"tanagerfall/shared/version/routing"
)

const entryVMAddress = "10.0.0.2:1"

// newSchedulerLoop returns the loop of a process that schedules one upstream, which
// has answered its first poll, and a follower at entryVMAddress.
func newSchedulerLoop(t *testing.T) *loop {
	t.Helper()
	loop := newEntryVMLoop(t)
	loop.leader = ""
	loop.view = region.New(loop.now, region.Member{
		Address:     "10.0.0.1:1",
		Domain:      "a",
		Weight:      1,
		Incarnation: 1,
	})
	loop.options.Upstreams = silentUpstreams{}
	loop.options.RelayFrom = 1000
	loop.handle(loop.now, upstreamsRead{
		upstreams: []cell.Upstream{{
			ID:      "u1",
			Address: "u1:1",
			Service: "orders",
			Domain:  "a",
			Slots:   8,
			Capacity: cell.Resources{
				MilliCores: 16_000,
			},
			Incarnation: 1,
		}},
		readAt: loop.now,
	})
	for range 20 {
		loop.advance(tickInterval)
	}
	assert.Assert(t, loop.cell != nil)
	return loop
}

// advance lets time pass in steps of the tick.
func (loop *loop) advance(duration time.Duration) {
	for end := loop.now.Add(duration); loop.now.Before(end); {
		loop.handle(loop.now.Add(tickInterval), ticked{})
	}
}

// receive handles a message of the entry VM at entryVMAddress.
func (loop *loop) receive(message link.Message) { loop.receiveDelayed(0, message) }

// receiveDelayed handles a message of the entry VM at entryVMAddress that was delayed,
// half of the time on the way and half in the queue of this process.
func (loop *loop) receiveDelayed(delay time.Duration, message link.Message) {
	message.From = entryVMAddress
	message.Incarnation = 2
	loop.handle(loop.now, linkEvent{
		event: link.Received{
			Message:    message,
			Delay:      delay / 2,
			ReceivedAt: loop.now.Add(-delay / 2),
		},
	})
}

// receiveHeartbeat handles a heartbeat of the entry VM at entryVMAddress, which
// follows this process.
func (loop *loop) receiveHeartbeat() { loop.receive(heartbeatTo(loop.view.Self().Address)) }

// heartbeatTo returns a heartbeat of the entry VM at entryVMAddress, which follows a
// scheduler.
func heartbeatTo(scheduler string) link.Message {
	return link.Message{
		Heartbeat: &region.Heartbeat{
			Member: region.Member{
				Address:     entryVMAddress,
				Domain:      "a",
				Weight:      0.5,
				Incarnation: 2,
			},
			Follows:  scheduler,
			Interval: region.MinHeartbeatInterval,
			Eligible: true,
			Division: region.Undivided,
		},
	}
}

// Guards against a scheduler that still runs the jobs of an entry VM when that one's
// quarantine is over and the next scheduler starts them: the last messages of the entry
// VM were delayed, but not long enough to be ignored.
func TestJobsAreWithdrawnWithinTheQuarantineOfTheirEntryVM(t *testing.T) {
	scheduler := newSchedulerLoop(t)
	scheduler.receiveHeartbeat()
	sentAt := scheduler.now
	scheduler.advance(staleMessageDelay - tickInterval)
	delay := scheduler.now.Sub(sentAt)
	scheduler.receiveDelayed(delay, heartbeatTo(scheduler.view.Self().Address))
	job := testFaultJob("j")
	scheduler.receiveDelayed(delay, link.Message{
		Submit: &job,
	})
	assert.Equal(t, scheduler.cell.Counters().Submitted, int64(1))
	scheduler.advance(sentAt.Add(scheduler.view.LivenessTimeout()).Sub(scheduler.now) + 2*tickInterval)
	assert.Assert(t, !scheduler.cell.HoldsJobsOf(entryVMName(entryVMAddress, 2)))
}

// Guards against a quarantine that ends while the earlier scheduler's runs go on: it
// withdraws the jobs of a silent entry VM later in a larger region, and an upstream that
// it has lost just before that runs them until the lease ends.
func TestQuarantineCoversTheLeaseAfterALateWithdrawal(t *testing.T) {
	limits := cell.DefaultLimits()
	for _, peers := range []int{1, 36} {
		entryVM := newEntryVMLoop(t)
		for number := range peers {
			entryVM.addMembers([]region.Member{{
				Address: fmt.Sprintf("10.0.1.%d:1", number),
				Domain:  fmt.Sprintf("domain-%d", number%3),
			}})
		}
		heartbeat := heartbeatTo("10.0.0.1:1")
		heartbeat.Heartbeat.Interval = entryVM.view.HeartbeatInterval()
		scheduler := newSchedulerLoop(t)
		scheduler.receive(heartbeat)
		sentAt := scheduler.now
		job := testFaultJob("j")
		scheduler.receive(link.Message{
			Submit: &job,
		})
		for scheduler.cell.HoldsJobsOf(entryVMName(entryVMAddress, 2)) {
			scheduler.advance(tickInterval)
		}
		lease := time.Duration(float64(limits.Lease) / (1 - limits.ClockSlack))
		runsEnd := scheduler.now.Sub(sentAt) + lease
		entryVM.handle(entryVM.now, ticked{})
		quarantine := entryVM.quarantine()
		assert.Assert(t, runsEnd < quarantine, "%d peers: runs end after %v, the quarantine after %v",
			peers, runsEnd, quarantine)

		// The scheduler, which does not hear this process, keeps to the interval that it knows.
		entryVM.applyDivision(entryVM.view.AdoptDivision(region.DividedByDomain))
		assert.Equal(t, entryVM.quarantine(), quarantine)
	}
}

// Guards against jobs of an entry VM that was silent for a while: the scheduler
// withdraws them, and the entry VM, which has not noticed anything, waited for their
// answers until the callers' deadlines.
func TestSilentEntryVMSubmitsItsJobsAgain(t *testing.T) {
	scheduler := newSchedulerLoop(t)
	scheduler.receiveHeartbeat()
	job := testFaultJob("j")
	scheduler.receive(link.Message{
		Submit: &job,
	})
	assert.Equal(t, scheduler.cell.Counters().Submitted, int64(1))
	scheduler.advance(2 * time.Second)
	assert.Equal(t, len(scheduler.entryVMs), 0)
	assert.Equal(t, len(scheduler.droppedEntryVMs), 1)
	assert.Equal(t, scheduler.droppedEntryVMs[entryVMAddress], droppedEntryVM{
		name: entryVMName(entryVMAddress, 2),
	})
	scheduler.receiveHeartbeat()
	assert.Equal(t, len(scheduler.droppedEntryVMs), 0, "the entry VM is told once")

	entryVM := newEntryVMLoop(t)
	entryVM.acceptTestJob()
	assert.Equal(t, entryVM.heldJobs["j"].submissions, 1)
	entryVM.now = entryVM.now.Add(time.Second)
	entryVM.handleMessage(link.Message{
		From:    schedulerAddress,
		Dropped: &link.Dropped{},
	}, 0)
	assert.Equal(t, entryVM.heldJobs["j"].submissions, 2)
	assert.Equal(t, entryVM.heldJobs["j"].quarantineEnd, entryVM.now.Add(entryVM.quarantine()), "a run may still be stopping")
	entryVM.handleMessage(link.Message{
		From:    "10.0.0.7:1",
		Dropped: &link.Dropped{},
	}, 0)
	assert.Equal(t, entryVM.heldJobs["j"].submissions, 2, "another process does not have the job")
}

func testFaultJob(id string) cell.Job {
	return cell.Job{
		ID:      id,
		Kind:    "booking",
		Service: "orders",
		Steps: []cell.Step{{
			Count:    1,
			Estimate: 300 * time.Millisecond,
		}},
		MaxAttempts: 2,
		Stretch:     20,
		TimeLeft:    20 * time.Second,
	}
}

// silentUpstreams executes no order. Its replies are not handled, because nothing
// reads the events of the loop in these tests.
type silentUpstreams struct{}

func (silentUpstreams) Start(context.Context, cell.StartRun) (replied cell.StartReplied) {
	return replied
}

func (silentUpstreams) Stop(context.Context, cell.StopRun) (replied cell.StopReplied) { return replied }

func (silentUpstreams) Poll(context.Context, cell.Poll) (replied cell.PollReplied) { return replied }

// Guards against orders that a process sends after a pause, before its first tick
// notices that others may have taken over meanwhile.
func TestPauseIsNoticedBeforeTheNextEvent(t *testing.T) {
	loop := newSchedulerLoop(t)
	loop.receiveHeartbeat()
	loop.now = loop.now.Add(3 * time.Second)
	job := testFaultJob("j")
	loop.receive(link.Message{
		Submit: &job,
	})
	assert.Assert(t, loop.cell == nil, "a process that was paused for 3 s must step down first")
}

// Guards against a run on each side of a division: when a running region is divided,
// a job that the old scheduler had may still run on upstreams that the new cell does
// not see, so it must wait for its whole quarantine.
func TestJobsOfTheOldSchedulerWaitAfterADivision(t *testing.T) {
	loop := newEntryVMLoop(t)
	loop.view = region.New(loop.now, region.Member{
		Address:     "10.0.0.1:1",
		Domain:      "a",
		Incarnation: 1,
	})
	loop.view.HandleHeartbeat(region.Heartbeat{
		Member: region.Member{
			Address: schedulerAddress,
			Domain:  "b",
		},
		ActiveFor: time.Second,
		Interval:  region.MinHeartbeatInterval,
	}, 0)
	loop.acceptTestJob()
	assert.Equal(t, loop.heldJobs["j"].scheduler, schedulerAddress)
	loop.applyDivision(loop.view.AdoptDivision(region.DividedByDomain))
	heldJob := loop.heldJobs["j"]
	assert.Equal(t, heldJob.scheduler, "")
	assert.Assert(t, !loop.knownUpstreams.covers(loop.now, heldJob.earlierSets), "runs may be on upstreams of other cells")
	assert.Equal(t, heldJob.quarantineEnd, loop.now.Add(loop.quarantine()))
}

// Guards against a worker that had begun to leave and gets tasks again after a
// restart of the process that schedules, whose store serves an older entry.
func TestLeavingUpstreamStaysLeavingAfterARestart(t *testing.T) {
	loop := newEntryVMLoop(t)
	loop.receive(link.Message{
		Leaving: &link.LeavingUpstreams{
			Incarnations: map[string]int64{
				"u1": 7,
			},
		},
	})
	list := func(incarnation int64) []cell.Upstream {
		return []cell.Upstream{{
			ID:          "u1",
			Service:     "orders",
			Incarnation: incarnation,
		}}
	}
	loop.adoptUpstreams(list(7), 0)
	assert.Assert(t, loop.upstreams[0].Leaving)
	assert.DeepEqual(t, loop.leavingUpstreams().Incarnations, map[string]int64{
		"u1": 7,
	})
	loop.adoptUpstreams(list(8), 0)
	assert.Assert(t, !loop.upstreams[0].Leaving, "a new process of the worker has not begun to leave")
}

// Guards against one malformed message that takes the whole process down.
func TestMalformedMessagesAreRejected(t *testing.T) {
	for _, test := range []struct {
		name string
		job  cell.Job
	}{
		{"no tasks", cell.Job{ID: "j"}},
		{"no ID", cell.Job{Steps: []cell.Step{{Count: 1}}}},
		{"negative count", cell.Job{ID: "j", Steps: []cell.Step{{Count: -1}}}},
		{"too many tasks", cell.Job{ID: "j", Steps: []cell.Step{{Count: 1 << 40}}}},
		{"depends on a later step", cell.Job{ID: "j", Steps: []cell.Step{{Count: 1, DependsOn: []int{0}}}}},
		{"depends on a missing step", cell.Job{ID: "j", Steps: []cell.Step{{Count: 1, DependsOn: []int{-1}}}}},
		{"negative need", cell.Job{ID: "j", Steps: []cell.Step{{Count: 1, Need: cell.Resources{MilliCores: -5}}}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			loop := newSchedulerLoop(t)
			loop.receive(link.Message{
				Submit: &test.job,
			})
			assert.Equal(t, loop.cell.Counters().Submitted, int64(0))
		})
	}
}

// FuzzMessage guards against a message between processes, in any state of the
// receiver, that crashes it.
func FuzzMessage(f *testing.F) {
	job := testFaultJob("j")
	for _, message := range []link.Message{
		{Submit: &job},
		{Heartbeat: &region.Heartbeat{Member: region.Member{Address: entryVMAddress, Domain: "a"}, Members: []region.Member{{}}}},
		{Answer: &cell.Answer{ID: "j", Result: cell.Completed}},
		{Decline: &link.Decline{JobID: "j", Target: "x:1"}},
		{Cancel: &link.Cancel{JobID: "j"}},
		{Cancelled: &link.Cancelled{Found: true}},
		{Withdraw: &link.Withdraw{JobID: "j"}},
		{Routes: &routing.Table{Version: 3}},
		{Upstreams: &link.UpstreamList{Upstreams: []cell.Upstream{{ID: "u1"}}}},
		{Estimates: &estimate.Digest{Format: 1, Kinds: []estimate.KindDigest{{Name: "k", Ratio: -1, RunTimes: []float32{2}}}, Upstreams: []estimate.UpstreamDigest{{ID: "u1", Speed: -1}}}},
		{Released: &link.Released{Jobs: []cell.Release{{ID: "j", RunsAt: []string{"u1"}}}}},
		{Orders: &link.OrderBatch{Orders: []relay.Order{{Number: 1, SpecNumber: -2}}}},
		{Replies: &link.ReplyBatch{ReceiverIncarnation: 1, Replies: []relay.Reply{{Number: 1}}}},
		{Cells: &link.CellStates{Cells: []link.CellState{{Scheduler: region.Member{Domain: "b"}, Headroom: map[string]int{"orders": 1}}}}},
		{Dropped: &link.Dropped{}},
		{Leaving: &link.LeavingUpstreams{Incarnations: map[string]int64{"u1": 1}}},
	} {
		encoded, err := peer.Encoding{}.Marshal(&message)
		assert.NilError(f, err)
		f.Add(encoded, false)
		f.Add(encoded, true)
	}
	f.Fuzz(func(t *testing.T, data []byte, schedules bool) {
		var message link.Message
		if err := (peer.Encoding{}).Unmarshal(data, &message); err != nil {
			return
		}
		loop := newEntryVMLoop(t)
		loop.options.Upstreams = silentUpstreams{}
		if schedules {
			loop = newSchedulerLoop(t)
		}
		loop.receive(message)
		loop.advance(2 * tickInterval)
	})
}

// Guards against a scheduler that works with an old list during an outage of the
// store although a peer has a newer one: only a few processes read the list often.
func TestNewerListIsSentToTheScheduler(t *testing.T) {
	for _, test := range []struct {
		name         string
		ownAge       time.Duration
		schedulerAge time.Duration
		want         bool
	}{
		{"both just read", 200 * time.Millisecond, 400 * time.Millisecond, false},
		{"outage, the same age", 20 * time.Second, 20400 * time.Millisecond, false},
		{"outage, the scheduler took over with an old list", 20 * time.Second, 50 * time.Second, true},
		{"the scheduler can't read", 500 * time.Millisecond, 5 * time.Second, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			loop := newEntryVMLoop(t)
			loop.listReadAt = loop.now.Add(-test.ownAge)
			heartbeat := region.Heartbeat{
				ActiveFor:       time.Second,
				UpstreamListAge: test.schedulerAge,
			}
			// The first call starts the period after which a list is sent.
			loop.sendNewerState(schedulerAddress, heartbeat)
			sentAt, due := loop.lastSentAt["list "+schedulerAddress]
			assert.Equal(t, due && sentAt.Equal(loop.now), test.want)
		})
	}
}
