package plan

import (
	"slices"
	"time"
)

// CarryOver returns to with the rules of from that hold until a rule of to
// comes into force: where to has only later rules for a team, kind and failure
// domain, the rule in force at now is kept. kept lists those rules.
func CarryOver(from, to *Plan, now time.Time) (carried *Plan, kept []Rule) {
	present := rulesInForce(to, now)
	before := rulesInForce(from, now)
	for i, rule := range to.Rules {
		if i > 0 && to.Rules[i-1].Key().sameScope(rule.Key()) {
			continue
		}
		_, held := present[rule.scope()]
		earlier, known := before[rule.scope()]
		if !held && known {
			kept = append(kept, earlier)
		}
	}
	if len(kept) == 0 {
		return to, nil
	}
	copied := *to
	copied.Rules = slices.Concat(kept, to.Rules)
	return Canonical(&copied), kept
}

// scope is the key of a rule without its time.
func (rule Rule) scope() Key {
	key := rule.Key()
	key.InForceFromMs = 0
	return key
}

func rulesInForce(plan *Plan, now time.Time) map[Key]Rule {
	effective, _ := plan.RulesInForceAt(now)
	rules := make(map[Key]Rule, len(effective.Rules))
	for _, rule := range effective.Rules {
		rules[rule.scope()] = rule
	}
	return rules
}
