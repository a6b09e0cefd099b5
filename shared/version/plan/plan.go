package plan

// Format is the version of the plan's own format.
const Format = 1

// Plan is the configuration that operators publish. It is immutable once
// published. Rules are in canonical order, see Canonical. Several rules may
// hold for the same team, kind and failure domain from different times on; At
// picks those in force.
type Plan struct {
	Format  int     `cbor:"1,keyasint" json:"format" yaml:"format"`
	Rules   []Rule  `cbor:"2,keyasint" json:"rules" yaml:"rules"`
	Guards  Guards  `cbor:"3,keyasint" json:"guards" yaml:"guards"`
	Domains Domains `cbor:"4,keyasint" json:"domains" yaml:"domains"`
}

// Rule is one row of the sheet: what one team may run of one kind in one
// failure domain.
type Rule struct {
	Team   string `cbor:"1,keyasint" json:"team" yaml:"team"`
	Kind   string `cbor:"2,keyasint" json:"kind" yaml:"kind"`
	Domain string `cbor:"3,keyasint" json:"failure-domain" yaml:"failure-domain"`
	// Share is the team's weight where slots are scarce.
	Share float64 `cbor:"4,keyasint" json:"share" yaml:"share"`
	// Cap is the largest number of slots that the team may use at once for
	// the kind in the domain; 0 means no cap.
	Cap int `cbor:"5,keyasint" json:"cap" yaml:"cap"`
	// Cores, MemoryMb and Accelerators bound what one task may ask for; 0
	// means the largest upstream's.
	Cores        int  `cbor:"6,keyasint,omitempty" json:"cores,omitempty" yaml:"cores,omitempty"`
	MemoryMb     int  `cbor:"7,keyasint,omitempty" json:"memory-mb,omitempty" yaml:"memory-mb,omitempty"`
	Accelerators int  `cbor:"8,keyasint,omitempty" json:"accelerators,omitempty" yaml:"accelerators,omitempty"`
	Idempotent   bool `cbor:"9,keyasint" json:"idempotent" yaml:"idempotent"`
	// DeadlineMs is the default and the largest deadline of a job.
	DeadlineMs int64 `cbor:"10,keyasint" json:"deadline-ms" yaml:"deadline-ms"`
	// Priority: a higher value goes first within a team.
	Priority int `cbor:"11,keyasint,omitempty" json:"priority,omitempty" yaml:"priority,omitempty"`
	// Spill allows slots of other failure domains.
	Spill bool `cbor:"12,keyasint,omitempty" json:"spill,omitempty" yaml:"spill,omitempty"`
	// InForceFromMs is the Unix time in ms from which the rule holds; 0 means
	// at once.
	InForceFromMs int64 `cbor:"13,keyasint,omitempty" json:"in-force-from-ms,omitempty" yaml:"in-force-from-ms,omitempty"`
}

// Domains lists the failure domains the plan may name.
type Domains []string

// Guards switches the protections of the dispatcher. The zero value leaves
// all of them enabled.
type Guards struct {
	NoAdmission      bool `cbor:"1,keyasint,omitempty" json:"no-admission,omitempty" yaml:"no-admission,omitempty"`
	NoRetryBudget    bool `cbor:"2,keyasint,omitempty" json:"no-retry-budget,omitempty" yaml:"no-retry-budget,omitempty"`
	NoEjection       bool `cbor:"3,keyasint,omitempty" json:"no-ejection,omitempty" yaml:"no-ejection,omitempty"`
	NoOccupancyCheck bool `cbor:"4,keyasint,omitempty" json:"no-occupancy-check,omitempty" yaml:"no-occupancy-check,omitempty"`
}

// Rule returns the first rule for a team, kind and failure domain. On a plan
// that At returned there is at most one.
func (plan *Plan) Rule(team, kind, domain string) (Rule, bool) {
	for _, rule := range plan.Rules {
		if rule.Team == team && rule.Kind == kind && rule.Domain == domain {
			return rule, true
		}
	}
	return Rule{}, false
}
