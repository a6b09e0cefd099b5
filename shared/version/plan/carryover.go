package plan

import (
	"slices"
	"time"
)

// CarryOver returns the plan to, extended so that no team loses its current
// rule before the next one comes into force: where to has only rules with a
// later time for a team, kind and failure domain, the rule of from that is in
// force at now is kept. kept lists these rules. to must be canonical.
func CarryOver(from, to *Plan, now time.Time) (carried *Plan, kept []Rule) {
	newRules := rulesInForce(to, now)
	oldRules := rulesInForce(from, now)
	for i, rule := range to.Rules {
		if i > 0 && to.Rules[i-1].Key().sameScope(rule.Key()) {
			continue
		}
		_, replaced := newRules[rule.scope()]
		oldRule, exists := oldRules[rule.scope()]
		if !replaced && exists {
			kept = append(kept, oldRule)
		}
	}
	if len(kept) == 0 {
		return to, nil
	}
	copied := *to
	copied.Rules = slices.Concat(kept, to.Rules)
	return Canonical(&copied), kept
}

// rulesInForce returns the rules in force at now, by scope.
func rulesInForce(plan *Plan, now time.Time) map[Key]Rule {
	effective, _ := plan.InForceAt(now)
	rules := make(map[Key]Rule, len(effective.Rules))
	for _, rule := range effective.Rules {
		rules[rule.scope()] = rule
	}
	return rules
}
