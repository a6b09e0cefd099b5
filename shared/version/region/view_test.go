package region_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/cell"
	"tanagerfall/shared/version/region"
)

func member(number int) region.Member {
	return region.Member{
		Address:     fmt.Sprintf("10.0.0.%d:1", number),
		Domain:      fmt.Sprintf("domain-%d", number%3),
		Weight:      0.4,
		Incarnation: uint64(number),
	}
}

// network simulates processes that exchange heartbeats and hold elections.
type network struct {
	now   time.Time
	views []*region.View
	// active reports, by number, which processes schedule.
	active []bool
	// connected reports whether heartbeats of from reach to.
	connected func(from, to int) bool
	// upstreams is the number of upstreams on the platform's list.
	upstreams int
	// lists is set if heartbeats carry the members that their sender reports.
	lists bool
}

func newNetwork(size int) *network {
	simulated := &network{
		now:       time.Unix(1_000_000, 0),
		connected: func(int, int) bool { return true },
		upstreams: 48,
	}
	for number := range size {
		simulated.views = append(simulated.views, region.New(simulated.now, member(number)))
		simulated.active = append(simulated.active, false)
	}
	return simulated
}

// run exchanges heartbeats and holds an election, once per heartbeat interval.
func (network *network) run(intervals int) {
	for range intervals {
		network.now = network.now.Add(region.MinHeartbeatInterval)
		for _, view := range network.views {
			view.Advance(network.now, 0)
			view.RemoveExpired()
			view.UpdateDivision(network.upstreams)
		}
		for to, view := range network.views {
			for from, sender := range network.views {
				if from != to && network.connected(from, to) {
					heartbeat := network.heartbeat(from, sender)
					heartbeat.ReceiverLost = sender.TakesForLost(view.Self().Address)
					view.HandleHeartbeat(heartbeat, 0)
					view.AddMembers(heartbeat.Members)
					view.AdoptDivision(sender.Division())
				}
			}
		}
		for number, view := range network.views {
			network.elect(number, view)
		}
	}
}

// heartbeat returns the heartbeat that a process sends now.
func (network *network) heartbeat(number int, view *region.View) region.Heartbeat {
	heartbeat := region.Heartbeat{
		Member:    view.Self(),
		Leaving:   view.Leaving(),
		ActiveFor: view.ActiveFor(),
		Interval:  region.MinHeartbeatInterval,
		Eligible:  view.Eligible(),
	}
	if network.lists {
		heartbeat.Members, heartbeat.ListsUnheard = view.Introductions()
	}
	if leader, active, found := view.Leader(); found && active {
		heartbeat.Follows = leader.Address
	}
	return heartbeat
}

// elect makes one process step down, begin to schedule or follow the leader.
func (network *network) elect(number int, view *region.View) {
	leader, active, found := view.Leader()
	self := view.Self().Address
	switch {
	case !found:
		view.Follow("")
	case leader.Address == self && !network.active[number] && view.MayActivate():
		network.active[number] = true
		view.Activate()
		view.Follow(self)
	case leader.Address != self && network.active[number]:
		network.active[number] = false
		view.Deactivate()
	}
	if found && active {
		view.Follow(leader.Address)
	}
}

// schedulers returns the numbers of the processes that schedule.
func (network *network) schedulers() []int {
	var numbers []int
	for number, active := range network.active {
		if active {
			numbers = append(numbers, number)
		}
	}
	return numbers
}

// Guards against a region in which processes elect different schedulers.
func TestOneProcessSchedules(t *testing.T) {
	for _, size := range []int{1, 2, 9, 37} {
		network := newNetwork(size)
		network.run(10)
		assert.Equal(t, len(network.schedulers()), 1, "%d processes", size)
	}
}

// Guards against a region that keeps a scheduler whose heartbeats no longer
// arrive, and against two schedulers that remain once they are reconnected.
func TestSilentSchedulerIsReplaced(t *testing.T) {
	network := newNetwork(9)
	network.run(10)
	silent := network.schedulers()[0]
	network.connected = func(from, to int) bool { return from != silent && to != silent }
	network.run(6)
	schedulers := network.schedulers()
	assert.Equal(t, len(schedulers), 2, "the silent scheduler does not know yet that it is replaced")
	network.connected = func(int, int) bool { return true }
	network.run(4)
	assert.Equal(t, len(network.schedulers()), 1)
}

// Guards against a takeover by a process that joins while another schedules:
// a takeover delays the jobs in progress.
func TestSchedulerStaysWhenProcessesJoin(t *testing.T) {
	network := newNetwork(9)
	outside := map[int]bool{0: true, 4: true, 7: true}
	network.connected = func(from, to int) bool { return !outside[from] && !outside[to] }
	network.run(10)
	var before int
	for _, number := range network.schedulers() {
		if !outside[number] {
			before = number
		}
	}
	network.connected = func(int, int) bool { return true }
	network.run(6)
	assert.DeepEqual(t, network.schedulers(), []int{before})
}

// Guards against an election after a partition that ignores the number of
// followers: the scheduler of the larger side must remain, even if the other has
// scheduled longer.
func TestLargerSideKeepsItsScheduler(t *testing.T) {
	network := newNetwork(9)
	cut := func(number int) bool { return number%3 == 1 }
	network.run(10)
	network.connected = func(from, to int) bool { return cut(from) == cut(to) }
	network.run(20)
	schedulers := network.schedulers()
	assert.Equal(t, len(schedulers), 2)
	network.connected = func(int, int) bool { return true }
	network.run(4)
	remaining := network.schedulers()
	assert.Equal(t, len(remaining), 1)
	assert.Assert(t, !cut(remaining[0]))
}

// Guards against two schedulers with a firm claim on the same upstream, which
// take it back from each other. This happened after a partition, when the
// scheduler of the smaller side claimed all upstreams before it stepped down.
func TestNoUpstreamHasTwoFirmClaims(t *testing.T) {
	network := newNetwork(9)
	cut := func(number int) bool { return number%3 == 1 }
	network.run(10)
	check := func(when string) {
		for index := range 60 {
			upstream := cell.Upstream{
				ID:     fmt.Sprintf("u%d", index),
				Domain: fmt.Sprintf("domain-%d", index%3),
			}
			firm := 0
			for _, number := range network.schedulers() {
				if network.views[number].Claim(upstream) == cell.ClaimFirm {
					firm++
				}
			}
			assert.Assert(t, firm <= 1, "%s: upstream %s has %d firm claims", when, upstream.ID, firm)
		}
	}
	network.connected = func(from, to int) bool { return cut(from) == cut(to) }
	for range 10 {
		network.run(1)
		check("during the partition")
	}
	// The partition ends for one process after the other.
	for joined := range 9 {
		network.connected = func(from, to int) bool {
			return cut(from) == cut(to) || (from <= joined && to <= joined)
		}
		network.run(1)
		check("as the partition heals")
	}
}

// Guards against an isolated process that claims the upstreams whose homes it
// can't reach: it may claim only those whose home is the process itself.
func TestIsolatedProcessClaimsOnlyItsUpstreams(t *testing.T) {
	network := newNetwork(9)
	network.run(10)
	network.connected = func(from, to int) bool { return from != 4 && to != 4 }
	network.run(10)
	claims := 0
	for index := range 90 {
		upstream := cell.Upstream{
			ID:     fmt.Sprintf("u%d", index),
			Domain: fmt.Sprintf("domain-%d", index%3),
		}
		if network.views[4].Claim(upstream) != cell.ClaimNone {
			claims++
		}
	}
	assert.Assert(t, claims > 0 && claims < 30, "%d of 90 upstreams claimed", claims)
}

// Guards against a process that takes all others for failed after it was paused
// itself, because it received no heartbeats in that time.
func TestPauseDoesNotCountAsSilenceOfOthers(t *testing.T) {
	view := region.New(time.Unix(1_000_000, 0), member(0))
	now := time.Unix(1_000_000, 0)
	view.HandleHeartbeat(region.Heartbeat{
		Member:   member(1),
		Interval: region.MinHeartbeatInterval,
	}, 0)
	now = now.Add(5 * time.Second)
	view.Advance(now, 5*time.Second)
	assert.Assert(t, view.Live(member(1).Address))
	assert.Equal(t, view.HeartbeatAge(member(1).Address), 5*time.Second, "what it says is old")
	view.Advance(now.Add(time.Second), 0)
	assert.Assert(t, !view.Live(member(1).Address))
}

// Guards against a scheduler that remains elected although it is leaving and
// others could schedule.
func TestLeavingProcessIsNotElected(t *testing.T) {
	network := newNetwork(3)
	network.run(10)
	leaving := network.schedulers()[0]
	network.views[leaving].Leave()
	network.run(3)
	schedulers := network.schedulers()
	assert.Equal(t, len(schedulers), 1)
	assert.Assert(t, schedulers[0] != leaving)
}

// Guards against an election of a process that has just started and may not
// schedule yet, while another could. After a power loss of all VMs a region had
// no scheduler for 0.9 s, because the process with the highest rendezvous score
// started last.
func TestEligibleProcessIsPreferredToAStartingOne(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for number := 1; number < 9; number++ {
		view := region.New(now, member(0))
		eligibleAt := now.Add(300 * time.Millisecond)
		view.Advance(eligibleAt, 0)
		view.HandleHeartbeat(region.Heartbeat{
			Member:   member(number),
			Interval: region.MinHeartbeatInterval,
		}, 0)
		leader, _, found := view.Leader()
		assert.Assert(t, found)
		assert.Equal(t, leader.Address, member(0).Address)
	}
}

// Guards against a slow scheduler that yields to a weaker VM, or that yields
// shortly after another scheduler has: then the load is too high for every
// process. After a burst the scheduler changed again and again, each time to a
// weaker VM.
func TestYieldsToAnEqualOnly(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	heartbeat := func(number int, weight float64, eligible bool) region.Heartbeat {
		sender := member(number)
		sender.Weight = weight
		return region.Heartbeat{
			Member:   sender,
			Interval: region.MinHeartbeatInterval,
			Eligible: eligible,
		}
	}
	for _, test := range []struct {
		name       string
		heartbeats []region.Heartbeat
		want       bool
	}{
		{"alone", nil, false},
		{"weaker", []region.Heartbeat{heartbeat(1, 0.1, true)}, false},
		{"equal", []region.Heartbeat{heartbeat(1, 0.4, true)}, true},
		{"equal and one that yielded", []region.Heartbeat{heartbeat(1, 0.4, true), heartbeat(2, 0.4, false)}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			view := region.New(now, member(0))
			for _, elapsed := range []time.Duration{0, 3 * time.Second} {
				view.Advance(now.Add(elapsed), 0)
				for _, received := range test.heartbeats {
					view.HandleHeartbeat(received, 0)
				}
			}
			assert.Equal(t, view.CanYield(), test.want)
		})
	}
}

// Guards against a leaving process that stops scheduling although there is no
// other: the jobs in progress need it. When the last process was stopped, all of
// them were answered with 504.
func TestLastProcessSchedulesWhileItLeaves(t *testing.T) {
	network := newNetwork(1)
	network.run(10)
	network.views[0].Leave()
	network.run(3)
	assert.DeepEqual(t, network.schedulers(), []int{0})
}

// Guards against a weak VM that remains scheduler because it started before the
// strong ones. After a restart of a region of unequal VMs, a weak VM remained
// scheduler and served hardly any jobs.
func TestStrongProcessReplacesWeakScheduler(t *testing.T) {
	network := newNetwork(9)
	for number := range network.views {
		self := member(number)
		if number > 0 {
			self.Weight = 0.1
		}
		network.views[number] = region.New(network.now, self)
	}
	network.connected = func(from, to int) bool { return from != 0 && to != 0 }
	network.run(10)
	network.active[0] = false
	network.views[0] = region.New(network.now, member(0))
	network.connected = func(int, int) bool { return true }
	network.run(10)
	assert.DeepEqual(t, network.schedulers(), []int{0})
}

// Guards against orders that are lost because they were sent to a relay that is
// leaving or no longer live.
func TestRelayCandidatesAreLiveAndNotLeaving(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	view := region.New(now, member(0))
	receiveHeartbeat := func(number int, leaving bool) {
		view.HandleHeartbeat(region.Heartbeat{
			Member:   member(number),
			Interval: region.MinHeartbeatInterval,
			Leaving:  leaving,
		}, 0)
	}
	receiveHeartbeat(1, false)
	view.AddMembers([]region.Member{member(2)})
	view.Advance(now.Add(2*time.Second), 0)
	receiveHeartbeat(3, false)
	receiveHeartbeat(4, true)
	assert.DeepEqual(t, view.RelayCandidates(), []region.Member{member(3)})
}

// Guards against a process that counts as live for longer than its silence allows,
// because its last heartbeat was delayed on the way: the scheduler of its jobs stops
// them too late, after the next scheduler has started them.
func TestSilenceCountsFromTheSendingOfAHeartbeat(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	view := region.New(now, region.Member{
		Address: "10.0.0.1:1",
		Domain:  "a",
	})
	const peer = "10.0.0.2:1"
	receive := func(delay time.Duration) {
		view.HandleHeartbeat(region.Heartbeat{
			Member: region.Member{
				Address: peer,
				Domain:  "a",
			},
			Interval: region.MinHeartbeatInterval,
		}, delay)
	}
	receive(500 * time.Millisecond)
	assert.Assert(t, view.Live(peer))
	view.Advance(now.Add(250*time.Millisecond), 0)
	assert.Assert(t, !view.Live(peer), "it was sent 750 ms ago")
	receive(100 * time.Millisecond)
	receive(500 * time.Millisecond)
	view.Advance(now.Add(800*time.Millisecond), 0)
	assert.Assert(t, view.Live(peer), "an older heartbeat that arrives later changes nothing")
}

// Guards against estimates that are lost with the scheduler's failure domain, or when another
// domain is cut off, because the processes that would schedule next lie in one domain.
func TestSuccessorsCoverAllDomains(t *testing.T) {
	network := newNetwork(9)
	network.run(10)
	scheduler := network.views[0]
	successors := scheduler.Successors(1)
	domains := make(map[string]int)
	for _, address := range successors {
		for number := range network.views {
			if member(number).Address == address {
				domains[member(number).Domain]++
			}
		}
	}
	assert.DeepEqual(t, domains, map[string]int{
		"domain-0": 1,
		"domain-1": 1,
		"domain-2": 1,
	})
	assert.Assert(t, len(scheduler.Successors(5)) >= 5)
	assert.Equal(t, scheduler.Successors(1)[0], scheduler.Successors(5)[0])
}
