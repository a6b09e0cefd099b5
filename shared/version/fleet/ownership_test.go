package fleet_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tanagerfall/shared/version/fleet"
)

func owners(count int) []fleet.Owner {
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

// Guards against a change of one owner that moves upstreams between others:
// each move costs an occupancy check.
func TestMinimalMovement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := owners(rapid.IntRange(1, 20).Draw(t, "owners"))
		for i := range before {
			before[i].Weight = rapid.Float64Range(0.5, 4).Draw(t, "weight")
		}
		joining := fleet.Owner{
			Address: "10.0.9.9:7000",
			Weight:  rapid.Float64Range(0.5, 4).Draw(t, "weight"),
		}
		after := append(append([]fleet.Owner(nil), before...), joining)
		for i := range 100 {
			was, is := fleet.OwnerOf(before, workerAddress(i)), fleet.OwnerOf(after, workerAddress(i))
			if was != is && is != joining.Address {
				t.Fatalf("worker %d moved from %s to %s, not to the joining VM", i, was, is)
			}
		}
	})
}

// Guards against weights without effect: a VM twice as large is to own twice
// as many upstreams.
func TestWeightsDivideUpstreams(t *testing.T) {
	const upstreams = 20_000
	weighted := owners(4)
	weighted[0].Weight = 2
	counts := make(map[string]int)
	for i := range upstreams {
		counts[fleet.OwnerOf(weighted, fmt.Sprintf("worker-%d", i))]++
	}
	// Expected are 8,000 and 4,000; 5 standard deviations are below 350.
	for i, owner := range weighted {
		want := 4000
		if i == 0 {
			want = 8000
		}
		assert.Assert(t, counts[owner.Address] > want-350 && counts[owner.Address] < want+350, "%v", counts)
	}
}

func BenchmarkOwnership(b *testing.B) {
	for _, size := range []struct{ owners, upstreams int }{{3, 17}, {9, 50}, {20, 210}} {
		b.Run(fmt.Sprintf("owners=%d/upstreams=%d", size.owners, size.upstreams), func(b *testing.B) {
			all := owners(size.owners)
			for b.Loop() {
				for i := range size.upstreams {
					fleet.OwnerOf(all, workerAddress(i))
				}
			}
		})
	}
}
