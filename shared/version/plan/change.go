package plan

import (
	"slices"

	"github.com/rotisserie/eris"
)

// Change is the difference between two plans. Set and Remove are in canonical
// order.
type Change struct {
	// Set lists rules to add, or to put in place of the rule with the same key.
	Set []Rule `cbor:"1,keyasint,omitempty" json:"set,omitempty"`
	// Remove lists the keys of the rules to remove.
	Remove []Key `cbor:"2,keyasint,omitempty" json:"remove,omitempty"`
	// Domains, Guards and Evacuated replace those of the plan; nil leaves them.
	Domains   *Domains `cbor:"3,keyasint,omitempty" json:"domains,omitempty"`
	Guards    *Guards  `cbor:"4,keyasint,omitempty" json:"guards,omitempty"`
	Evacuated *Domains `cbor:"5,keyasint,omitempty" json:"evacuated,omitempty"`
}

// IsEmpty reports whether applying the change has no effect.
func (change *Change) IsEmpty() bool {
	return len(change.Set) == 0 && len(change.Remove) == 0 && change.Domains == nil && change.Guards == nil &&
		change.Evacuated == nil
}

// Diff returns the change that turns the plan from into the plan to. Both must
// be canonical.
func Diff(from, to *Plan) Change {
	var change Change
	if !slices.Equal(from.Domains, to.Domains) {
		domains := slices.Clone(to.Domains)
		change.Domains = &domains
	}
	if !slices.Equal(from.Evacuated, to.Evacuated) {
		evacuated := slices.Clone(to.Evacuated)
		change.Evacuated = &evacuated
	}
	if from.Guards != to.Guards {
		guards := to.Guards
		change.Guards = &guards
	}
	oldRules, newRules := from.Rules, to.Rules
	for len(oldRules) > 0 || len(newRules) > 0 {
		order := 0
		switch {
		case len(oldRules) == 0:
			order = 1
		case len(newRules) == 0:
			order = -1
		default:
			order = compareRules(oldRules[0], newRules[0])
		}
		switch {
		case order < 0:
			change.Remove = append(change.Remove, oldRules[0].Key())
			oldRules = oldRules[1:]
		case order > 0:
			change.Set = append(change.Set, newRules[0])
			newRules = newRules[1:]
		default:
			if oldRules[0] != newRules[0] {
				change.Set = append(change.Set, newRules[0])
			}
			oldRules, newRules = oldRules[1:], newRules[1:]
		}
	}
	return change
}

// Apply returns the changed plan and its digest. plan must be valid and digest
// must be its digest. Apply doesn't modify plan. It validates only the changed
// rules, or the whole result if the failure domains change. The error wraps
// ErrInvalidPlan, also where Set or Remove is out of canonical order.
func (change *Change) Apply(plan *Plan, digest Digest) (*Plan, Digest, error) {
	changed := *plan
	if change.Guards != nil {
		digest += hashOf(*change.Guards) - hashOf(plan.Guards)
		changed.Guards = *change.Guards
	}
	if change.Domains != nil {
		err := validateDomains(*change.Domains)
		if err != nil {
			return nil, 0, err
		}
		digest += hashOf(*change.Domains) - hashOf(plan.Domains)
		changed.Domains = *change.Domains
	}
	if change.Evacuated != nil {
		digest += hashOfEvacuated(*change.Evacuated) - hashOfEvacuated(plan.Evacuated)
		changed.Evacuated = *change.Evacuated
	}
	err := validateEvacuated(changed.Evacuated, changed.Domains)
	if err != nil {
		return nil, 0, err
	}
	err = change.validate(changed.Domains)
	if err != nil {
		return nil, 0, err
	}
	changed.Rules, digest, err = change.merge(plan.Rules, digest)
	if err != nil {
		return nil, 0, err
	}
	if len(changed.Rules) > MaxRules {
		return nil, 0, eris.Wrapf(ErrInvalidPlan, "changed plan has %d rules, the limit is %d", len(changed.Rules), MaxRules)
	}
	if change.Domains != nil {
		err = Validate(&changed)
		if err != nil {
			return nil, 0, err
		}
	}
	return &changed, digest, nil
}

// validate checks the rules that the change sets, and the order of both lists.
func (change *Change) validate(domains Domains) error {
	for i, rule := range change.Set {
		err := validateRule(rule, domains)
		if err != nil {
			return err
		}
		if i > 0 && compareRules(change.Set[i-1], rule) >= 0 {
			return eris.Wrapf(ErrInvalidPlan, "changed rule %s is out of order or repeated", rule.Key())
		}
	}
	for i, key := range change.Remove {
		if i > 0 && change.Remove[i-1].Compare(key) >= 0 {
			return eris.Wrapf(ErrInvalidPlan, "removed rule %.200q is out of order or repeated", key)
		}
	}
	return nil
}

// merge applies Set and Remove to the rules, all in canonical order, in one
// pass, and updates the digest.
func (change *Change) merge(rules []Rule, digest Digest) ([]Rule, Digest, error) {
	merged := make([]Rule, 0, len(rules)+len(change.Set))
	set, remove := change.Set, change.Remove
	for _, rule := range rules {
		for len(set) > 0 && compareRules(set[0], rule) < 0 {
			merged = append(merged, set[0])
			digest += hashOf(set[0])
			set = set[1:]
		}
		removed := len(remove) > 0 && remove[0] == rule.Key()
		replaced := len(set) > 0 && set[0].Key() == rule.Key()
		switch {
		case removed && replaced:
			return nil, 0, eris.Wrapf(ErrInvalidPlan, "rule %s is both changed and removed", rule.Key())
		case removed:
			digest -= hashOf(rule)
			remove = remove[1:]
		case replaced:
			merged = append(merged, set[0])
			digest += hashOf(set[0]) - hashOf(rule)
			set = set[1:]
		default:
			merged = append(merged, rule)
		}
	}
	if len(remove) > 0 {
		return nil, 0, eris.Wrapf(ErrInvalidPlan, "removed rule %.200q is not in the plan", remove[0])
	}
	for _, rule := range set {
		digest += hashOf(rule)
	}
	return append(merged, set...), digest, nil
}
