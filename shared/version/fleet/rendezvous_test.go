package fleet_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tanagerfall/shared/version/fleet"
)

func newOwners(count int) []fleet.Owner {
	owners := make([]fleet.Owner, 0, count)
	for i := range count {
		owners = append(owners, fleet.Owner{
			Address: fmt.Sprintf("10.0.0.%d:7000", i),
			Weight:  1,
		})
	}
	return owners
}

func workerAddress(i int) string {
	return fmt.Sprintf("10.1.%d.%d:80", i/250, i%250)
}

func newUpstreams(count, slots int) []fleet.UpstreamSlots {
	upstreams := make([]fleet.UpstreamSlots, 0, count)
	for i := range count {
		upstreams = append(upstreams, fleet.UpstreamSlots{
			Upstream: workerAddress(i),
			Slots:    slots,
		})
	}
	return upstreams
}

// Guards against VMs with equal views that divide the upstreams differently,
// and against upstreams without an owner.
func TestAssignmentDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := newOwners(rapid.IntRange(1, 20).Draw(t, "owners"))
		upstreams := newUpstreams(rapid.IntRange(0, 120).Draw(t, "upstreams"), 8)
		for i := range upstreams {
			upstreams[i].Slots = rapid.IntRange(1, 64).Draw(t, "slots")
		}
		divided := fleet.AssignOwners(all, upstreams)
		assert.Equal(t, len(divided), len(upstreams))
		shuffledOwners := rapid.Permutation(all).Draw(t, "order of owners")
		shuffled := rapid.Permutation(upstreams).Draw(t, "order of upstreams")
		assert.DeepEqual(t, fleet.AssignOwners(shuffledOwners, shuffled), divided)
	})
}

// Guards against an owner with many more slots than its share: a job waits for
// the slots of its own VM first. Upstreams of one size can miss the share by
// the 5% of headroom and one upstream.
func TestOwnersStayWithinTheirShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := newOwners(rapid.IntRange(1, 20).Draw(t, "owners"))
		weights := 0.0
		for i := range all {
			all[i].Weight = rapid.Float64Range(0.5, 4).Draw(t, "weight")
			weights += all[i].Weight
		}
		upstreams := newUpstreams(rapid.IntRange(1, 210).Draw(t, "upstreams"), 8)
		slots := make(map[string]int)
		for _, owner := range fleet.AssignOwners(all, upstreams) {
			slots[owner] += 8
		}
		for _, owner := range all {
			share := float64(8*len(upstreams)) * owner.Weight / weights
			assert.Assert(t, float64(slots[owner.Address]) <= 1.05*share+8, "%d slots, share %f", slots[owner.Address], share)
		}
	})
}

// Guards against a change of one owner that moves most upstreams: each move
// costs an occupancy check. At least the joining VM's share has to move; the
// bound is twice that and one upstream for each owner.
func TestOwnerChangeMovesFewUpstreams(t *testing.T) {
	for _, size := range []struct{ owners, upstreams int }{{2, 17}, {3, 17}, {8, 50}, {20, 210}} {
		before := newOwners(size.owners)
		after := newOwners(size.owners + 1)
		upstreams := newUpstreams(size.upstreams, 8)
		was, is := fleet.AssignOwners(before, upstreams), fleet.AssignOwners(after, upstreams)
		moved := 0
		for upstream, owner := range was {
			if is[upstream] != owner {
				moved++
			}
		}
		bound := 2*size.upstreams/(size.owners+1) + size.owners
		t.Logf("%d owners and one more, %d upstreams: %d moved, bound %d", size.owners, size.upstreams, moved, bound)
		assert.Assert(t, moved <= bound)
	}
}

func BenchmarkOwnership(b *testing.B) {
	for _, size := range []struct{ owners, upstreams int }{{3, 17}, {9, 50}, {20, 210}} {
		b.Run(fmt.Sprintf("owners=%d/upstreams=%d", size.owners, size.upstreams), func(b *testing.B) {
			all := newOwners(size.owners)
			upstreams := newUpstreams(size.upstreams, 8)
			for b.Loop() {
				fleet.AssignOwners(all, upstreams)
			}
		})
	}
}
