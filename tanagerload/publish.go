package main

import (
	"context"

	"github.com/rotisserie/eris"

	"tanagerfall/shared/process/settings"
	"tanagerfall/shared/version/plan"
	"tanagerfall/standin/platform"
	"tanagerfall/tanagerload/experiment"
)

// publishPlan appends a plan that allows every team of the experiment every
// kind in every failure domain, without caps.
func publishPlan(ctx context.Context, standin *platform.Platform, described *experiment.Experiment) error {
	published := &plan.Plan{
		Format: plan.Format,
	}
	seen := map[string]bool{}
	for _, vm := range described.Fleet.Vms() {
		if seen[vm.Domain] {
			continue
		}
		seen[vm.Domain] = true
		published.Domains = append(published.Domains, vm.Domain)
		published.Rules = append(published.Rules, rules(described, vm.Domain)...)
	}
	published = plan.Canonical(published)
	data, err := plan.Encode(&plan.Publication{
		PublishID: "tanagerload",
		Author:    "tanagerload",
		Change:    plan.Diff(plan.Empty(), published),
		Digest:    plan.DigestOf(published),
	})
	if err != nil {
		return eris.Wrap(err, "encoding the plan")
	}
	_, err = standin.Append(ctx, settings.DefaultEntry().PlanStream, data)
	return eris.Wrap(err, "publishing the plan")
}

func rules(described *experiment.Experiment, domain string) []plan.Rule {
	var rules []plan.Rule
	for _, team := range described.Workload.Teams {
		for _, kind := range described.Workload.Kinds {
			rules = append(rules, plan.Rule{
				Team:       team.Name,
				Kind:       kind.Name,
				Domain:     domain,
				Share:      team.Weight,
				Idempotent: true,
				DeadlineMs: described.Workload.DeadlineMs,
				Spill:      described.IdealOver == experiment.OverAll,
			})
		}
	}
	return rules
}
