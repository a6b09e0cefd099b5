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

// Guards against VMs that assign different owners although they know the same
// owners and upstreams, and against upstreams without an owner.
func TestAssignmentDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		owners := newOwners(rapid.IntRange(1, 20).Draw(t, "owners"))
		upstreams := newUpstreams(rapid.IntRange(0, 120).Draw(t, "upstreams"), 8)
		for i := range upstreams {
			upstreams[i].Slots = rapid.IntRange(1, 64).Draw(t, "slots")
		}
		ownerOf := fleet.AssignOwners(owners, upstreams)
		assert.Equal(t, len(ownerOf), len(upstreams))
		shuffledOwners := rapid.Permutation(owners).Draw(t, "order of owners")
		shuffledUpstreams := rapid.Permutation(upstreams).Draw(t, "order of upstreams")
		assert.DeepEqual(t, fleet.AssignOwners(shuffledOwners, shuffledUpstreams), ownerOf)
	})
}

// Guards against an owner with many more slots than its share: a job waits for
// the slots of its own entry VM first. With upstreams of equal size an owner may
// exceed its share by the 5% of headroom and one upstream.
func TestOwnersStayWithinTheirShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		owners := newOwners(rapid.IntRange(1, 20).Draw(t, "owners"))
		weights := 0.0
		for i := range owners {
			owners[i].Weight = rapid.Float64Range(0.5, 4).Draw(t, "weight")
			weights += owners[i].Weight
		}
		upstreams := newUpstreams(rapid.IntRange(1, 210).Draw(t, "upstreams"), 8)
		slotsOf := make(map[string]int)
		for _, owner := range fleet.AssignOwners(owners, upstreams) {
			slotsOf[owner] += 8
		}
		for _, owner := range owners {
			share := float64(8*len(upstreams)) * owner.Weight / weights
			assert.Assert(t, float64(slotsOf[owner.Address]) <= 1.05*share+8, "%d slots, share %f", slotsOf[owner.Address], share)
		}
	})
}

// Guards against a change of one owner that moves most upstreams, because each
// move costs an occupancy check. At least the share of the joining VM must move.
// The bound is twice that share and one upstream per owner.
func TestOwnerChangeMovesFewUpstreams(t *testing.T) {
	for _, size := range []struct{ owners, upstreams int }{{2, 17}, {3, 17}, {8, 50}, {20, 210}} {
		before := newOwners(size.owners)
		after := newOwners(size.owners + 1)
		upstreams := newUpstreams(size.upstreams, 8)
		ownerBefore, ownerAfter := fleet.AssignOwners(before, upstreams), fleet.AssignOwners(after, upstreams)
		moved := 0
		for upstream, owner := range ownerBefore {
			if ownerAfter[upstream] != owner {
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
			owners := newOwners(size.owners)
			upstreams := newUpstreams(size.upstreams, 8)
			for b.Loop() {
				fleet.AssignOwners(owners, upstreams)
			}
		})
	}
}
