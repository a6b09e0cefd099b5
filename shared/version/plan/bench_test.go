package plan_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tanagerfall/shared/connection/platform"
	"tanagerfall/shared/version/plan"
)

// largePlan returns a plan with a rule for each of 180 teams, 12 failure domains
// and the given number of kinds. Its values are random, so that it compresses no
// better than real sheets.
func largePlan(kinds int) *plan.Plan {
	content := &plan.Plan{
		Format: plan.Format,
	}
	random := rand.New(rand.NewPCG(1, 2))
	for domain := range 12 {
		content.Domains = append(content.Domains, fmt.Sprintf("region-domain-%02d", domain))
	}
	for team := range 180 {
		for kind := range kinds {
			for _, name := range content.Domains {
				content.Rules = append(content.Rules, plan.Rule{
					Team:       fmt.Sprintf("team-%03d", team),
					Kind:       fmt.Sprintf("kind-%02d", kind),
					Domain:     name,
					Share:      float64(1+random.IntN(400)) / 10,
					Cap:        1 + random.IntN(400),
					Cores:      1 + random.IntN(8),
					MemoryMb:   512 * (1 + random.IntN(16)),
					Idempotent: kind%3 != 0,
					DeadlineMs: int64(500 * (1 + random.IntN(60))),
					Priority:   random.IntN(5),
					Spill:      random.IntN(2) == 0,
				})
			}
		}
	}
	return plan.Canonical(content)
}

// kindCounts are the numbers of kinds in the plans of the benchmarks.
var kindCounts = []int{1, 5, 10}

// BenchmarkApplyChange measures applying a publication that changes one rule, and
// the adoption of the plan before it.
func BenchmarkApplyChange(b *testing.B) {
	for _, kinds := range kindCounts {
		from := largePlan(kinds)
		to := largePlan(kinds)
		to.Rules[len(to.Rules)/2].Cap++
		data := encode(b, publication("publish-2", 1, from, to))
		snapshot := &plan.Snapshot{Version: 1, ReadUpTo: 2, PublishID: "publish-1", Digest: plan.DigestOf(from), Plan: from}
		b.Run(fmt.Sprintf("rules=%d", len(from.Rules)), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				follower := plan.New()
				follower.AdoptPeerSnapshot(epoch, snapshot)
				outcome := follower.Apply(epoch, platform.Record{Offset: 2, Data: data})
				if _, adopted := outcome.(plan.Adopted); !adopted {
					b.Fatalf("%+v", outcome)
				}
			}
			b.ReportMetric(float64(len(data)), "record-bytes")
		})
	}
}

// BenchmarkSnapshot measures encoding and decoding a snapshot.
func BenchmarkSnapshot(b *testing.B) {
	for _, kinds := range kindCounts {
		content := largePlan(kinds)
		snapshot := &plan.Snapshot{Version: 1, ReadUpTo: 2, PublishID: "publish-1", Digest: plan.DigestOf(content), Plan: content}
		data := encode(b, snapshot)
		b.Run(fmt.Sprintf("encode/rules=%d", len(content.Rules)), func(b *testing.B) {
			for b.Loop() {
				encode(b, snapshot)
			}
			b.ReportMetric(float64(len(data)), "record-bytes")
		})
		b.Run(fmt.Sprintf("decode/rules=%d", len(content.Rules)), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, err := plan.Decode(data)
				if err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkInForceAt measures selecting the rules in force.
func BenchmarkInForceAt(b *testing.B) {
	for _, kinds := range kindCounts {
		content := largePlan(kinds)
		b.Run(fmt.Sprintf("rules=%d", len(content.Rules)), func(b *testing.B) {
			now := time.Now()
			for b.Loop() {
				content.InForceAt(now)
			}
		})
	}
}

// BenchmarkDigestOf measures computing the digest of a whole plan, which applying
// a change avoids.
func BenchmarkDigestOf(b *testing.B) {
	for _, kinds := range kindCounts {
		content := largePlan(kinds)
		b.Run(fmt.Sprintf("rules=%d", len(content.Rules)), func(b *testing.B) {
			for b.Loop() {
				plan.DigestOf(content)
			}
		})
	}
}
