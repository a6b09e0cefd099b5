package region_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/cell"
	"tanagerfall/shared/version/region"
)

// members returns count processes in the given number of domains, each with the
// given processor time and link.
func members(count, domains int, weight, linkMbps float64) []region.Member {
	var processes []region.Member
	for number := range count {
		processes = append(processes, region.Member{
			Address:     fmt.Sprintf("10.0.%d.%d:1", number/250, number%250),
			Domain:      fmt.Sprintf("domain-%d", number%domains),
			Weight:      weight,
			LinkMbps:    linkMbps,
			Incarnation: uint64(number + 1),
		})
	}
	return processes
}

// Guards against a scheduler that has more upstreams than its processor or link can
// serve, as one with 1,100 upstreams on 0.8 of a core or 120 on a link of 2 Mbit/s,
// and against small regions that are divided without need.
func TestRegionIsDividedByBudget(t *testing.T) {
	for _, test := range []struct {
		name      string
		members   []region.Member
		upstreams int
		want      region.Division
	}{
		{"9 processes, 48 upstreams", members(9, 3, 0.4, 1000), 48, region.Undivided},
		{"9 weak processes, 48 upstreams", members(9, 3, 0.05, 2), 48, region.Undivided},
		{"32 processes, 350 upstreams", members(32, 3, 0.8, 200), 350, region.Undivided},
		{"processor too weak", members(147, 5, 0.8, 200), 1100, region.DividedByDomain},
		{"link too slow", members(18, 5, 0.8, 2), 120, region.DividedByDomain},
		{"all weak", members(18, 5, 0.12, 2), 120, region.DividedByDomain},
		{"too many processes", members(300, 5, 0.8, 200), 60, region.DividedByDomain},
		{"one domain only", members(300, 1, 0.1, 200), 1100, region.Undivided},
		{"link not known", members(9, 3, 0.8, 0), 350, region.Undivided},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, region.ChooseDivision(test.members, test.upstreams), test.want)
		})
	}
}

// Guards against processes of a divided region that elect a scheduler of another
// domain, and against a domain with two.
func TestDividedRegionHasOneSchedulerInEachDomain(t *testing.T) {
	network := newNetwork(24)
	network.upstreams = 1100
	network.run(12)
	domains := make(map[string]int)
	for _, number := range network.schedulers() {
		domains[network.views[number].Self().Domain]++
	}
	assert.DeepEqual(t, domains, map[string]int{
		"domain-0": 1,
		"domain-1": 1,
		"domain-2": 1,
	})
	view := network.views[0]
	assert.Equal(t, len(view.PeerAddresses()), 7)
	assert.Equal(t, len(view.Roster()), 24)
}

// Guards against an upstream that no cell schedules, or two: each belongs to the
// cell of its domain, and those of a domain without entry VMs to one other cell.
func TestEachUpstreamBelongsToOneCell(t *testing.T) {
	network := newNetwork(9)
	network.upstreams = 1100
	network.run(12)
	list := []cell.Upstream{
		{ID: "a", Domain: "domain-0"},
		{ID: "b", Domain: "domain-1"},
		{ID: "c", Domain: "domain-2"},
		{ID: "d", Domain: "domain-without-entry-vms"},
	}
	cells := make(map[string]string)
	for _, view := range network.views {
		for _, upstream := range view.Upstreams(list) {
			other, known := cells[upstream.ID]
			assert.Assert(t, !known || other == view.Self().Domain, "%s belongs to two cells", upstream.ID)
			cells[upstream.ID] = view.Self().Domain
		}
	}
	assert.Equal(t, len(cells), len(list))
}

// Guards against a process that schedules before it knows the others of its domain:
// at the start of bankhane-large 17 of 42 processes elected themselves within half a
// second. One that is cut off must not wait for ever.
func TestProcessWaitsForTheDivision(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	view := region.New(start, members(1, 1, 0.1, 20)[0])
	activationAt := time.Duration(0)
	for elapsed := time.Duration(0); activationAt == 0 && elapsed < 10*time.Second; elapsed += 25 * time.Millisecond {
		view.Advance(start.Add(elapsed), 0)
		view.UpdateDivision(0)
		if view.MayActivate() {
			activationAt = elapsed
		}
	}
	assert.Assert(t, activationAt >= 4*time.Second && activationAt < 5*time.Second, "after %v", activationAt)
}

// Guards against a region whose processes disagree for long on whether it is
// divided: a process that restarts adopts what its peers report.
func TestDivisionIsAdoptedFromPeers(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	processes := members(2, 2, 0.1, 20)
	view := region.New(start, processes[0])
	view.AddMembers(processes[1:])
	removed, changed := view.AdoptDivision(region.DividedByDomain)
	assert.Assert(t, changed)
	assert.DeepEqual(t, removed, []string{processes[1].Address})
	_, changed = view.AdoptDivision(region.Undivided)
	assert.Assert(t, !changed)
	_, changed = view.AdoptDivision(region.Division(9))
	assert.Assert(t, !changed, "an unknown division is ignored")
}

// Guards against a region that is divided for good because its strongest process was
// frozen for a few seconds: the others can't schedule all upstreams, but it can again.
func TestFrozenProcessDoesNotDivideTheRegion(t *testing.T) {
	network := newNetwork(9)
	const strongest = 4
	for number := range network.views {
		started := member(number)
		started.Weight = 0.1
		if number == strongest {
			started.Weight = 1
		}
		network.views[number] = region.New(network.now, started)
	}
	network.upstreams = 90
	network.run(20)
	assert.Equal(t, network.views[0].Division(), region.Undivided)
	network.connected = func(from, to int) bool { return from != strongest && to != strongest }
	network.run(30)
	assert.Equal(t, network.views[0].Division(), region.Undivided)
	assert.Equal(t, network.views[0].AbsentCount(), 1)
}
