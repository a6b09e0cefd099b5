package region_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/cell"
	"tanagerfall/shared/version/region"
)

// claimedShare returns the share of upstreams that one of the schedulers may claim.
func (network *network) claimedShare() float64 {
	const count = 90
	claimed := 0
	for index := range count {
		upstream := cell.Upstream{
			ID:     fmt.Sprintf("u%d", index),
			Domain: fmt.Sprintf("domain-%d", index%3),
		}
		for _, number := range network.schedulers() {
			if network.views[number].Claim(upstream) != cell.ClaimNone {
				claimed++
				break
			}
		}
	}
	return float64(claimed) / count
}

// lostMembers returns members that no process runs.
func lostMembers(count int) []region.Member {
	var members []region.Member
	for number := range count {
		members = append(members, member(100+number))
	}
	return members
}

// Guards against upstreams that belong to nobody for a minute: the processes have started
// together and learned of members that are lost for good, which are most of all.
func TestLostMembersDoNotHoldClaims(t *testing.T) {
	network := newNetwork(9)
	for _, view := range network.views {
		view.AddMembers(lostMembers(45))
	}
	network.run(8)
	assert.Assert(t, network.claimedShare() < 0.5, "most members may be cut off")
	network.run(6)
	assert.Equal(t, network.claimedShare(), 1.0)
	assert.Equal(t, network.views[0].AbsentCount(), 45)
	reported, _ := network.views[0].Introductions()
	assert.Equal(t, len(reported), 9)
}

// Guards against lost members that the processes keep alive by reporting them to each
// other: the retentions of two processes end at different times.
func TestLostMembersAreForgotten(t *testing.T) {
	network := newNetwork(3)
	network.lists = true
	for number, view := range network.views {
		view.AddMembers(lostMembers(5 * number))
	}
	network.run(400)
	for _, view := range network.views {
		assert.Equal(t, len(view.Members()), 3)
	}
}

// Guards against a process that starts in a failure domain that is cut off and takes the
// upstreams of the others: processes of its domain have heard them before the cut.
func TestNewProcessOfACutOffDomainKnowsTheOthers(t *testing.T) {
	network := newNetwork(9)
	network.lists = true
	network.run(10)
	inDomain := func(number int) bool { return number%3 == 1 }
	network.connected = func(from, to int) bool { return inDomain(from) == inDomain(to) }
	started := region.New(network.now, member(4))
	for number := range 9 {
		started.AddMembers([]region.Member{member(number)})
	}
	network.views[4] = started
	network.active[4] = false
	network.run(150)
	assert.Equal(t, started.AbsentCount(), 0)
	for _, number := range network.schedulers() {
		if !inDomain(number) {
			continue
		}
		upstream := cell.Upstream{
			ID:     "u",
			Domain: "domain-0",
		}
		assert.Equal(t, network.views[number].Claim(upstream), cell.ClaimNone)
	}
}

// Guards against upstreams without a scheduler after most processes were killed: their
// VMs refuse connections and so are not cut off.
func TestProcessesThatRefuseConnectionsDoNotHoldClaims(t *testing.T) {
	network := newNetwork(9)
	network.run(10)
	network.connected = func(from, to int) bool { return from > 5 && to > 5 }
	network.run(20)
	for number := range 6 {
		network.active[number] = false
	}
	assert.Assert(t, network.claimedShare() < 1, "the others may be cut off")
	for number := 6; number < 9; number++ {
		for lost := range 6 {
			network.views[number].HandleRefusal(member(lost).Address)
		}
	}
	assert.Equal(t, network.claimedShare(), 1.0)
	network.connected = func(int, int) bool { return true }
	network.run(2)
	assert.Equal(t, network.views[6].AbsentCount(), 0, "they are heard again")
}

// Guards against upstreams without a scheduler after processes were lost one after the
// other, each replaced by one at another address: within a minute they are most of all.
func TestProcessesLostOneAfterTheOtherDoNotHoldClaims(t *testing.T) {
	network := newNetwork(36)
	network.lists = true
	lost := 0
	network.connected = func(from, to int) bool {
		inUse := func(number int) bool { return number >= lost && number < lost+9 }
		return inUse(from) && inUse(to)
	}
	network.run(10)
	for lost < 27 {
		lost++
		network.run(9)
		for number := range network.active {
			network.active[number] = network.active[number] && number >= lost && number < lost+9
		}
		assert.Equal(t, network.claimedShare(), 1.0, "after %d losses", lost)
	}
}

// Guards against two sides of a partition that both claim everything: the larger one has
// given up the smaller and falls apart itself. None of its parts has a majority then.
func TestPartsOfAMajorityNeedAMajority(t *testing.T) {
	network := newNetwork(9)
	network.run(10)
	side := func(number int) int { return number / 3 }
	network.connected = func(from, to int) bool { return (side(from) == 0) == (side(to) == 0) }
	network.run(50)
	assert.Equal(t, network.views[3].AbsentCount(), 3)
	assert.Equal(t, network.views[0].AbsentCount(), 0)
	network.connected = func(from, to int) bool { return side(from) == side(to) }
	network.run(50)
	for index := range 90 {
		upstream := cell.Upstream{
			ID:     fmt.Sprintf("u%d", index),
			Domain: fmt.Sprintf("domain-%d", index%3),
		}
		claims := 0
		for _, number := range network.schedulers() {
			if network.views[number].Claim(upstream) != cell.ClaimNone {
				claims++
			}
		}
		assert.Assert(t, claims <= 1, "upstream %s has %d claims", upstream.ID, claims)
	}
}

// checkMajorities checks that one side at most claims upstreams whose homes it does not
// hear.
func (network *network) checkMajorities(t *testing.T) {
	t.Helper()
	sides := make(map[int]bool)
	for index := range 90 {
		upstream := cell.Upstream{
			ID:     fmt.Sprintf("u%d", index),
			Domain: fmt.Sprintf("domain-%d", index%3),
		}
		for _, number := range network.schedulers() {
			if network.views[number].Claim(upstream) == cell.ClaimWeak {
				sides[number] = true
			}
		}
	}
	assert.Assert(t, len(sides) <= 1, "schedulers with weak claims: %v", sides)
}

// Guards against two sides that both claim everything when the cut moves: processes 0 to 2
// were lost to the others, are heard by 3 and 4 again, and never by 5 to 8, who go on as
// the majority without them.
func TestCutThatMovesLeavesOneMajority(t *testing.T) {
	network := newNetwork(9)
	network.run(10)
	network.connected = func(from, to int) bool { return (from < 3) == (to < 3) }
	network.run(50)
	network.connected = func(from, to int) bool { return (from < 5) == (to < 5) }
	for range 30 {
		network.run(1)
		network.checkMajorities(t)
	}
	assert.Assert(t, network.claimedShare() == 1.0)
	network.connected = func(int, int) bool { return true }
	network.run(20)
	for _, view := range network.views {
		assert.Equal(t, view.AbsentCount(), 0)
	}
	assert.Equal(t, network.claimedShare(), 1.0)
}

// Guards against upstreams that belong to nobody because a process that is back does not
// count: one third was lost and is back when the next one is lost.
func TestThirdsLostInTurnDoNotHoldClaims(t *testing.T) {
	network := newNetwork(9)
	network.run(10)
	third := func(number int) int { return number / 3 }
	cutOff := 0
	network.connected = func(from, to int) bool { return (third(from) == cutOff) == (third(to) == cutOff) }
	for cutOff = range 3 {
		network.run(50)
		network.checkMajorities(t)
		assert.Equal(t, network.claimedShare(), 1.0)
	}
}
