package plan

import (
	"cmp"
	"time"
)

// Key identifies a rule within a plan. Rules for the same team, kind and
// failure domain differ in the time from which they are in force.
type Key struct {
	Team   string `cbor:"1,keyasint" json:"team"`
	Kind   string `cbor:"2,keyasint" json:"kind"`
	Domain string `cbor:"3,keyasint" json:"failure-domain"`
	// InForceFromMs is the Unix time in ms, 0 for a rule in force from the start.
	InForceFromMs int64 `cbor:"4,keyasint,omitempty" json:"in-force-from-ms,omitempty"`
}

// Key returns the fields that identify the rule.
func (rule Rule) Key() Key {
	return Key{
		Team:          rule.Team,
		Kind:          rule.Kind,
		Domain:        rule.Domain,
		InForceFromMs: rule.InForceFromMs,
	}
}

// String returns "team/kind/failure-domain", followed by " from " and the time
// in UTC if the rule comes into force at a set time.
func (key Key) String() string {
	text := key.Team + "/" + key.Kind + "/" + key.Domain
	if key.InForceFromMs == 0 {
		return text
	}
	return text + " from " + time.UnixMilli(key.InForceFromMs).UTC().Format(time.RFC3339)
}

// scope returns the key of the rule without its time.
func (rule Rule) scope() Key {
	key := rule.Key()
	key.InForceFromMs = 0
	return key
}

// sameScope reports whether two keys have the same team, kind and failure
// domain.
func (key Key) sameScope(other Key) bool {
	return key.Team == other.Team && key.Kind == other.Kind && key.Domain == other.Domain
}

// Compare returns -1, 0 or +1 in the canonical order of rules: by team, kind,
// failure domain and time.
func (key Key) Compare(other Key) int {
	return cmp.Or(
		cmp.Compare(key.Team, other.Team),
		cmp.Compare(key.Kind, other.Kind),
		cmp.Compare(key.Domain, other.Domain),
		cmp.Compare(key.InForceFromMs, other.InForceFromMs),
	)
}

func compareRules(left, right Rule) int {
	return left.Key().Compare(right.Key())
}
