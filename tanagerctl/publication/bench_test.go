package publication_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/version/plan"
	"tanagerfall/tanagerctl/publication"
)

// BenchmarkReadHistory measures reading a log with the 1,400 changes of one day
// to a plan of 180 teams and 12 failure domains.
func BenchmarkReadHistory(b *testing.B) {
	for _, kinds := range []int{1, 10} {
		log := newFakeLog()
		fullPlan := &plan.Plan{
			Format: plan.Format,
		}
		for domain := range 12 {
			fullPlan.Domains = append(fullPlan.Domains, fmt.Sprintf("region-domain-%02d", domain))
		}
		for i := range 180 * kinds * 12 {
			fullPlan.Rules = append(fullPlan.Rules, plan.Rule{
				Team:       fmt.Sprintf("team-%03d", i/12/kinds),
				Kind:       fmt.Sprintf("kind-%02d", i/12%kinds),
				Domain:     fullPlan.Domains[i%12],
				Share:      1,
				DeadlineMs: 1000,
			})
		}
		appendChange := func(base int64, change plan.Change, digest plan.Digest) {
			data, err := plan.Encode(&plan.Publication{
				PublishID: fmt.Sprintf("publish-%d", base),
				Base:      base,
				Change:    change,
				Digest:    digest,
			})
			assert.NilError(b, err)
			log.add(data)
		}
		digest := plan.DigestOf(fullPlan)
		appendChange(0, plan.Diff(plan.Empty(), fullPlan), digest)
		for i := range 1400 {
			rule := fullPlan.Rules[i*7%len(fullPlan.Rules)]
			rule.Cap = i + 1
			change := plan.Change{
				Set: []plan.Rule{rule},
			}
			var err error
			fullPlan, digest, err = change.Apply(fullPlan, digest)
			assert.NilError(b, err)
			appendChange(int64(i)+1, change, digest)
		}
		b.Run(fmt.Sprintf("rules=%d", len(fullPlan.Rules)), func(b *testing.B) {
			for b.Loop() {
				history := publication.NewHistory(log, "plan")
				assert.NilError(b, history.ReadToEnd(b.Context()))
				version, _, _, _ := history.Current()
				assert.Equal(b, version, int64(1401))
			}
		})
	}
}
