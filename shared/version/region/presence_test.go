package region_test

import (
	"fmt"
	"testing"
	"time"

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
	network.run(10)
	assert.Assert(t, network.claimedShare() < 0.5, "most members may be cut off")
	network.run(25)
	assert.Equal(t, network.claimedShare(), 1.0)
	assert.Equal(t, network.views[0].AbsentCount(), 45)
	assert.Equal(t, len(network.views[0].Introductions()), 9)
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
	network.run(int(2*time.Second/region.MinHeartbeatInterval) + 1)
	for number := range 6 {
		network.active[number] = false
	}
	assert.Assert(t, network.claimedShare() < 1, "a refusal counts for a short time")
}
