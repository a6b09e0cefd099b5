package plan

import (
	"math"
	"regexp"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// The limits of a plan. They leave headroom above the design target of 180
// teams and 12 failure domains. MaxCap is in slots and MaxMemoryMb in MB of one
// task. MaxCores also limits accelerators. Priorities are from -MaxPriority to
// MaxPriority.
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
	// MaxTimeMs is the Unix time in ms of the end of the year 9999, the last that
	// RFC 3339 can express.
	MaxTimeMs = 253_402_300_799_999
)

// ErrInvalidPlan is wrapped by errors about the content of a plan: those of
// Validate, Change.Apply and Digest.UnmarshalText, and some of Decode.
var ErrInvalidPlan = eris.New("invalid plan")

var namePattern = regexp.MustCompile(`^[a-z0-9]+([._-][a-z0-9]+)*$`)

// ValidName reports whether text can name a team, kind or failure domain: at
// most MaxNameBytes lower-case letters and digits, in parts joined by "-", "."
// or "_".
func ValidName(text string) bool {
	return len(text) <= MaxNameBytes && namePattern.MatchString(text)
}

// Validate checks the limits, the names and the canonical order of a plan. It
// returns the first violation, which wraps ErrInvalidPlan, or nil.
func Validate(plan *Plan) error {
	if plan.Format != Format {
		return eris.Wrapf(ErrInvalidPlan, "format is %d, must be %d", plan.Format, Format)
	}
	if len(plan.Rules) > MaxRules {
		return eris.Wrapf(ErrInvalidPlan, "plan has %d rules, the limit is %d", len(plan.Rules), MaxRules)
	}
	err := validateDomains(plan.Domains)
	if err != nil {
		return err
	}
	err = validateEvacuated(plan.Evacuated, plan.Domains)
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
		return eris.Wrapf(ErrInvalidPlan, "plan has %d failure domains, the limit is %d", len(domains), MaxDomains)
	}
	for i, domain := range domains {
		if !ValidName(domain) {
			return eris.Wrapf(ErrInvalidPlan, "failure domain %.80q is not a valid name", domain)
		}
		if i > 0 && domains[i-1] >= domain {
			return eris.Wrapf(ErrInvalidPlan, "failure domain %s is out of order or repeated", domain)
		}
	}
	return nil
}

// validateEvacuated checks that the evacuated failure domains are in the plan's list, and in
// canonical order.
func validateEvacuated(evacuated, domains Domains) error {
	for i, domain := range evacuated {
		if _, listed := slices.BinarySearch(domains, domain); !listed {
			return eris.Wrapf(ErrInvalidPlan, "evacuated failure domain %.80q is not in the plan's list", domain)
		}
		if i > 0 && evacuated[i-1] >= domain {
			return eris.Wrapf(ErrInvalidPlan, "evacuated failure domain %s is out of order or repeated", domain)
		}
	}
	return nil
}

func validateRule(rule Rule, domains Domains) error {
	for _, name := range []string{rule.Team, rule.Kind, rule.Domain} {
		if !ValidName(name) {
			return eris.Wrapf(ErrInvalidPlan, "rule %.200q: %.80q is not a valid name", rule.Key(), name)
		}
	}
	if _, listed := slices.BinarySearch(domains, rule.Domain); !listed {
		return eris.Wrapf(ErrInvalidPlan, "rule %s: the failure domain is not in the plan's list", rule.Key())
	}
	if !(rule.Share > 0 && rule.Share <= MaxShare) || math.IsInf(rule.Share, 0) {
		return eris.Wrapf(ErrInvalidPlan, "rule %s: share is %g, must be above 0 and at most %g", rule.Key(), rule.Share, MaxShare)
	}
	for _, field := range rule.integerFields() {
		if field.value < field.low || field.value > field.high {
			return eris.Wrapf(ErrInvalidPlan, "rule %s: %s is %d, must be %d to %d",
				rule.Key(), field.name, field.value, field.low, field.high)
		}
	}
	return nil
}

// integerField is the value of an integer field of a rule with its inclusive
// limits.
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
