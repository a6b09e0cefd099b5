package system

import (
	"context"
	"net/http"

	"github.com/rotisserie/eris"

	wire "tanagerfall/shared/connection/platform"
	"tanagerfall/shared/version/plan"
)

// SamplePlan returns a plan that allows the team workshop the kinds quote,
// stock-check and line-booking in every failure domain. Only line-booking is not
// idempotent.
func SamplePlan(domains []string) *plan.Plan {
	const deadlineMs = 30_000
	sample := &plan.Plan{
		Format:  plan.Format,
		Domains: domains,
	}
	for _, domain := range domains {
		for _, kind := range []string{"quote", "stock-check", "line-booking"} {
			sample.Rules = append(sample.Rules, plan.Rule{
				Team:       "workshop",
				Kind:       kind,
				Domain:     domain,
				Share:      1,
				Idempotent: kind != "line-booking",
				DeadlineMs: deadlineMs,
			})
		}
	}
	return plan.Canonical(sample)
}

// Publish appends a plan to the log as a change of the empty plan.
func (system *System) Publish(ctx context.Context, published *plan.Plan) error {
	return system.appendRecord(ctx, &plan.Publication{
		PublishID: "local-sample-plan",
		Author:    "local",
		Change:    plan.Diff(plan.Empty(), published),
		Digest:    plan.DigestOf(published),
	})
}

// Replace appends a plan to the log that is adopted whatever the current one is.
func (system *System) Replace(ctx context.Context, published *plan.Plan) error {
	digest := plan.DigestOf(published)
	return system.appendRecord(ctx, &plan.Recovery{
		PublishID: "local-plan-" + digest.String(),
		Author:    "local",
		Digest:    digest,
		Plan:      published,
	})
}

func (system *System) appendRecord(ctx context.Context, record plan.Record) error {
	data, err := plan.Encode(record)
	if err != nil {
		return eris.Wrap(err, "encoding the plan")
	}
	client := wire.NewClient(system.PlatformURL, http.DefaultClient)
	_, err = client.Append(ctx, planStream, data)
	return eris.Wrap(err, "publishing the plan")
}

// planStream is the plan stream of settings.DefaultEntry.
const planStream = "plan"
