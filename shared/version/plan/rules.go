package plan

import (
	"cmp"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// The bounds of a plan. They leave room over the target of 180 teams and 12
// failure domains.
const (
	MaxRules      = 100_000
	MaxDomains    = 64
	MaxNameBytes  = 64
	MaxShare      = 1e6
	MaxCap        = 1_000_000
	MaxCores      = 4096
	MaxMemoryMb   = 64 << 20
	MaxPriority   = 1000
	MaxDeadlineMs = int64(24 * time.Hour / time.Millisecond)
	// MaxTimeMs is the end of the year 9999, the last that RFC 3339 can write.
	MaxTimeMs = 253_402_300_799_999
)

// ErrInvalidPlan is wrapped by the errors of Validate and of Change.Apply.
var ErrInvalidPlan = eris.New("invalid plan")

var namePattern = regexp.MustCompile(`^[a-z0-9]+([._-][a-z0-9]+)*$`)

// ValidName says whether text can name a team, kind or failure domain:
// lower-case letters and digits in parts joined by "-", "." or "_".
func ValidName(text string) bool {
	return len(text) <= MaxNameBytes && namePattern.MatchString(text)
}

// Key identifies a rule within a plan.
type Key struct {
	Team          string `cbor:"1,keyasint" json:"team"`
	Kind          string `cbor:"2,keyasint" json:"kind"`
	Domain        string `cbor:"3,keyasint" json:"failure-domain"`
	InForceFromMs int64  `cbor:"4,keyasint,omitempty" json:"in-force-from-ms,omitempty"`
}

// Key returns the key of the rule.
func (rule Rule) Key() Key {
	return Key{
		Team:          rule.Team,
		Kind:          rule.Kind,
		Domain:        rule.Domain,
		InForceFromMs: rule.InForceFromMs,
	}
}

// String returns "team/kind/failure-domain", with the time from which the
// rule holds if it has one.
func (key Key) String() string {
	text := key.Team + "/" + key.Kind + "/" + key.Domain
	if key.InForceFromMs == 0 {
		return text
	}
	return text + " from " + time.UnixMilli(key.InForceFromMs).UTC().Format(time.RFC3339)
}

// sameScope says whether two keys differ at most in their time.
func (key Key) sameScope(other Key) bool {
	return key.Team == other.Team && key.Kind == other.Kind && key.Domain == other.Domain
}

// Compare is the canonical order: team, kind, failure domain, time.
func (key Key) Compare(other Key) int {
	return cmp.Or(
		cmp.Compare(key.Team, other.Team),
		cmp.Compare(key.Kind, other.Kind),
		cmp.Compare(key.Domain, other.Domain),
		cmp.Compare(key.InForceFromMs, other.InForceFromMs),
	)
}

func compareRules(one, other Rule) int {
	return one.Key().Compare(other.Key())
}

// Canonical returns a copy of plan with rules and failure domains sorted.
func Canonical(plan *Plan) *Plan {
	copied := *plan
	copied.Rules = slices.Clone(plan.Rules)
	copied.Domains = slices.Clone(plan.Domains)
	slices.SortStableFunc(copied.Rules, compareRules)
	slices.Sort(copied.Domains)
	return &copied
}

// Validate returns the first fault of a plan, or nil. The error wraps
// ErrInvalid.
func Validate(plan *Plan) error {
	if plan.Format != Format {
		return eris.Wrapf(ErrInvalidPlan, "format %d, allowed is %d", plan.Format, Format)
	}
	if len(plan.Rules) > MaxRules {
		return eris.Wrapf(ErrInvalidPlan, "%d rules, allowed are %d", len(plan.Rules), MaxRules)
	}
	err := validateDomains(plan.Domains)
	if err != nil {
		return err
	}
	for i, rule := range plan.Rules {
		err := validateRule(rule, plan.Domains)
		if err != nil {
			return err
		}
		if i > 0 && compareRules(plan.Rules[i-1], rule) >= 0 {
			return eris.Wrapf(ErrInvalidPlan, "rule %s is out of order or repeated", rule.Key())
		}
	}
	return nil
}

func validateDomains(domains Domains) error {
	if len(domains) > MaxDomains {
		return eris.Wrapf(ErrInvalidPlan, "%d failure domains, allowed are %d", len(domains), MaxDomains)
	}
	for i, domain := range domains {
		if !ValidName(domain) {
			return eris.Wrapf(ErrInvalidPlan, "failure domain %.80q is no valid name", domain)
		}
		if i > 0 && domains[i-1] >= domain {
			return eris.Wrapf(ErrInvalidPlan, "failure domain %s is out of order or repeated", domain)
		}
	}
	return nil
}

func validateRule(rule Rule, domains Domains) error {
	for _, name := range []string{rule.Team, rule.Kind, rule.Domain} {
		if !ValidName(name) {
			return eris.Wrapf(ErrInvalidPlan, "rule %.200q: %.80q is no valid name", rule.Key(), name)
		}
	}
	if _, listed := slices.BinarySearch(domains, rule.Domain); !listed {
		return eris.Wrapf(ErrInvalidPlan, "rule %s: the failure domain is not in the plan's list", rule.Key())
	}
	if !(rule.Share > 0 && rule.Share <= MaxShare) || math.IsInf(rule.Share, 0) {
		return eris.Wrapf(ErrInvalidPlan, "rule %s: share %g, allowed is above 0 up to %g", rule.Key(), rule.Share, MaxShare)
	}
	for _, bound := range rule.integerFields() {
		if bound.value < bound.low || bound.value > bound.high {
			return eris.Wrapf(ErrInvalidPlan, "rule %s: %s %d, allowed are %d to %d",
				rule.Key(), bound.name, bound.value, bound.low, bound.high)
		}
	}
	return nil
}

type integerField struct {
	name             string
	value, low, high int64
}

func (rule Rule) integerFields() [7]integerField {
	return [7]integerField{
		{
			name:  "cap",
			value: int64(rule.Cap),
			high:  MaxCap,
		},
		{
			name:  "cores",
			value: int64(rule.Cores),
			high:  MaxCores,
		},
		{
			name:  "memory-mb",
			value: int64(rule.MemoryMb),
			high:  MaxMemoryMb,
		},
		{
			name:  "accelerators",
			value: int64(rule.Accelerators),
			high:  MaxCores,
		},
		{
			name:  "deadline-ms",
			value: rule.DeadlineMs,
			low:   1,
			high:  MaxDeadlineMs,
		},
		{
			name:  "priority",
			value: int64(rule.Priority),
			low:   -MaxPriority,
			high:  MaxPriority,
		},
		{
			name:  "in-force-from-ms",
			value: rule.InForceFromMs,
			high:  MaxTimeMs,
		},
	}
}

// Digest identifies the content of a plan. It is the sum of the xxhash of
// every rule, of the failure domains and of the guards, so that the digest
// after a change costs only the changed rules. It detects faults; it is no
// protection against an attacker.
type Digest uint64

// String returns 16 hexadecimal digits.
func (digest Digest) String() string {
	return fmt.Sprintf("%016x", uint64(digest))
}

// MarshalText returns String.
func (digest Digest) MarshalText() ([]byte, error) {
	return []byte(digest.String()), nil
}

// UnmarshalText parses what MarshalText returns.
func (digest *Digest) UnmarshalText(text []byte) error {
	value, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil {
		return eris.Wrapf(ErrInvalidPlan, "digest %.32q", text)
	}
	*digest = Digest(value)
	return nil
}

// DigestOf returns the digest of a plan.
func DigestOf(plan *Plan) Digest {
	digest := hashOf(plan.Domains) + hashOf(plan.Guards)
	for _, rule := range plan.Rules {
		digest += hashOf(rule)
	}
	return digest
}

// hashOf panics where value can't be encoded, which the types it is used with
// exclude.
func hashOf[Value any](value Value) Digest {
	data, err := encodeMode.Marshal(value)
	if err != nil {
		panic(err)
	}
	return Digest(xxhash.Sum64(data))
}

// RulesInForceAt returns the plan with only the rules that are in force at now: for each
// team, kind and failure domain the one that came into force last. next is
// the time of the next change, or zero if none is left.
func (plan *Plan) RulesInForceAt(now time.Time) (effective *Plan, next time.Time) {
	nowMs := now.UnixMilli()
	copied := *plan
	copied.Rules = make([]Rule, 0, len(plan.Rules))
	nextMs := int64(0)
	for _, rule := range plan.Rules {
		if rule.InForceFromMs > nowMs {
			if nextMs == 0 || rule.InForceFromMs < nextMs {
				nextMs = rule.InForceFromMs
			}
			continue
		}
		last := len(copied.Rules) - 1
		if last >= 0 && copied.Rules[last].Key().sameScope(rule.Key()) {
			copied.Rules[last] = rule
			continue
		}
		copied.Rules = append(copied.Rules, rule)
	}
	if nextMs == 0 {
		return &copied, time.Time{}
	}
	return &copied, time.UnixMilli(nextMs)
}
