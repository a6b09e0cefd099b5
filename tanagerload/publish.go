package main

import (
	"context"

	"github.com/rotisserie/eris"

	"tanagerfall/shared/process/settings"
	"tanagerfall/shared/version/plan"
	"tanagerfall/standin/platform"
	"tanagerfall/tanagerload/experiment"
)

// publishPlan appends a plan to the stand-in platform that allows every team of
// the experiment to run every kind in every failure domain, without caps.
func publishPlan(ctx context.Context, platformStandin *platform.Platform, spec *experiment.Experiment) error {
	newPlan := &plan.Plan{
		Format: plan.Format,
	}
	seenDomains := map[string]bool{}
	for _, vm := range spec.Fleet.VMs() {
		if seenDomains[vm.Domain] {
			continue
		}
		seenDomains[vm.Domain] = true
		newPlan.Domains = append(newPlan.Domains, vm.Domain)
		newPlan.Rules = append(newPlan.Rules, domainRules(spec, vm.Domain)...)
	}
	newPlan = plan.Canonical(newPlan)
	data, err := plan.Encode(&plan.Publication{
		PublishID: "tanagerload",
		Author:    "tanagerload",
		Change:    plan.Diff(plan.Empty(), newPlan),
		Digest:    plan.DigestOf(newPlan),
	})
	if err != nil {
		return eris.Wrap(err, "encode plan")
	}
	_, err = platformStandin.Append(ctx, settings.DefaultEntry().PlanStream, data)
	return eris.Wrap(err, "append plan to the log")
}

// domainRules returns the rules of the plan for one failure domain.
func domainRules(spec *experiment.Experiment, domain string) []plan.Rule {
	var rules []plan.Rule
	for _, team := range spec.Workload.Teams {
		for _, kind := range spec.Workload.Kinds {
			rules = append(rules, plan.Rule{
				Team:       team.Name,
				Kind:       kind.Name,
				Domain:     domain,
				Share:      team.Weight,
				Idempotent: true,
				DeadlineMs: spec.Workload.DeadlineMs,
				Spill:      spec.IdealScope == experiment.ScopeAll,
			})
		}
	}
	return rules
}
