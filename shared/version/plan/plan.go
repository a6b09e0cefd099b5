package plan

import (
	"slices"
	"time"
)

// Format is the version of the format of a Plan. Readers accept no other.
const Format = 1

// Plan is the configuration that operators publish: what teams may run in which
// failure domain, and which guards are switched off. It is immutable once
// published. Rules and Domains are in canonical order, see Canonical. A team,
// kind and failure domain may have several rules that come into force at
// different times; InForceAt picks the current ones.
type Plan struct {
	Format  int     `cbor:"1,keyasint" json:"format" yaml:"format"`
	Rules   []Rule  `cbor:"2,keyasint" json:"rules" yaml:"rules"`
	Guards  Guards  `cbor:"3,keyasint" json:"guards" yaml:"guards"`
	Domains Domains `cbor:"4,keyasint" json:"domains" yaml:"domains"`
	// Evacuated lists the failure domains whose upstreams get no new tasks. It must not
	// be set as long as a reader of an earlier version is left, which would reject it.
	Evacuated Domains `cbor:"5,keyasint,omitempty" json:"evacuated,omitempty" yaml:"evacuated,omitempty"`
}

// Rule limits what one team may run of one kind of job in one failure domain.
// It corresponds to one row of the operators' sheet.
type Rule struct {
	Team   string `cbor:"1,keyasint" json:"team" yaml:"team"`
	Kind   string `cbor:"2,keyasint" json:"kind" yaml:"kind"`
	Domain string `cbor:"3,keyasint" json:"failure-domain" yaml:"failure-domain"`
	// Share is the team's weight when slots are shared under contention.
	Share float64 `cbor:"4,keyasint" json:"share" yaml:"share"`
	// Cap is the largest number of slots that the team may use at the same
	// time for the kind in the failure domain; 0 means no limit.
	Cap int `cbor:"5,keyasint" json:"cap" yaml:"cap"`
	// Cores, MemoryMb and Accelerators limit the resources that one task may
	// request; 0 means those of the largest upstream.
	Cores        int `cbor:"6,keyasint,omitempty" json:"cores,omitempty" yaml:"cores,omitempty"`
	MemoryMb     int `cbor:"7,keyasint,omitempty" json:"memory-mb,omitempty" yaml:"memory-mb,omitempty"`
	Accelerators int `cbor:"8,keyasint,omitempty" json:"accelerators,omitempty" yaml:"accelerators,omitempty"`
	// Idempotent permits a retry of a task that may already have run.
	Idempotent bool `cbor:"9,keyasint" json:"idempotent" yaml:"idempotent"`
	// DeadlineMs is the default and the largest deadline of a job, in ms after
	// its submission.
	DeadlineMs int64 `cbor:"10,keyasint" json:"deadline-ms" yaml:"deadline-ms"`
	// Priority orders the jobs of a team; those with a higher value go first.
	Priority int `cbor:"11,keyasint,omitempty" json:"priority,omitempty" yaml:"priority,omitempty"`
	// Spill permits the use of slots in other failure domains.
	Spill bool `cbor:"12,keyasint,omitempty" json:"spill,omitempty" yaml:"spill,omitempty"`
	// InForceFromMs is the Unix time in ms from which the rule is in force; 0
	// means from its publication on.
	InForceFromMs int64 `cbor:"13,keyasint,omitempty" json:"in-force-from-ms,omitempty" yaml:"in-force-from-ms,omitempty"`
}

// Domains lists the failure domains that the rules of a plan may name.
type Domains []string

// Guards switches off protections of the dispatcher. The zero value leaves all
// of them enabled.
type Guards struct {
	// NoAdmission switches off load shedding: the rejection of jobs while the
	// queue is full or if they would miss their deadline.
	NoAdmission bool `cbor:"1,keyasint,omitempty" json:"no-admission,omitempty" yaml:"no-admission,omitempty"`
	// NoRetryBudget switches off the limit on the rate of retries.
	NoRetryBudget bool `cbor:"2,keyasint,omitempty" json:"no-retry-budget,omitempty" yaml:"no-retry-budget,omitempty"`
	// NoEjection switches off the ejection of unhealthy upstreams.
	NoEjection bool `cbor:"3,keyasint,omitempty" json:"no-ejection,omitempty" yaml:"no-ejection,omitempty"`
	// NoOccupancyCheck switches off the status query about running tasks that
	// precedes the use of a new or returning upstream.
	NoOccupancyCheck bool `cbor:"4,keyasint,omitempty" json:"no-occupancy-check,omitempty" yaml:"no-occupancy-check,omitempty"`
}

// Empty returns the plan of version 0, which has no rules.
func Empty() *Plan {
	return &Plan{
		Format: Format,
	}
}

// Canonical returns a copy of plan with rules and failure domains in canonical
// order: rules by key, failure domains by name.
func Canonical(plan *Plan) *Plan {
	copied := *plan
	copied.Rules = slices.Clone(plan.Rules)
	copied.Domains = slices.Clone(plan.Domains)
	slices.SortStableFunc(copied.Rules, compareRules)
	slices.Sort(copied.Domains)
	copied.Evacuated = slices.Clone(plan.Evacuated)
	slices.Sort(copied.Evacuated)
	return &copied
}

// Rule returns the first rule for a team, kind and failure domain, and whether
// there is one. A plan that InForceAt returned has at most one.
func (plan *Plan) Rule(team, kind, domain string) (Rule, bool) {
	for _, rule := range plan.Rules {
		if rule.Team == team && rule.Kind == kind && rule.Domain == domain {
			return rule, true
		}
	}
	return Rule{}, false
}

// InForceAt returns a copy of the plan with only the rules in force at now: for
// each team, kind and failure domain the one that came into force last. next
// is the time at which the result changes, or zero if it stays.
func (plan *Plan) InForceAt(now time.Time) (effective *Plan, next time.Time) {
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
