package admission

import (
	"maps"
	"slices"
)

// Clone returns a Planner that decides as this one would, and whose calls leave this one
// unchanged.
func (planner *Planner) Clone() *Planner {
	clone := *planner
	clone.entries, clone.order, clone.deferred = nil, nil, nil
	clone.timeline = timeline{}
	clone.plan = Plan{}
	shares := make(map[*share]*share)
	clone.kinds = make(map[string]*kind, len(planner.kinds))
	for name, original := range planner.kinds {
		copied := *original
		copied.sorted = slices.Clone(original.sorted)
		copied.keys = maps.Clone(original.keys)
		clone.kinds[name] = &copied
		shares[&original.served] = &copied.served
	}
	clone.domains = make(map[string]*share, len(planner.domains))
	for name, original := range planner.domains {
		copied := *original
		clone.domains[name] = &copied
		shares[original] = &copied
	}
	clone.kindShares = replaceShares(planner.kindShares, shares)
	clone.domainShares = replaceShares(planner.domainShares, shares)
	return &clone
}

func replaceShares(originals []*share, copies map[*share]*share) []*share {
	replaced := make([]*share, 0, len(originals))
	for _, original := range originals {
		replaced = append(replaced, copies[original])
	}
	return replaced
}
