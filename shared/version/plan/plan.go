package plan

// Format is the version of the plan's own format.
const Format = 1

// Plan is the configuration that operators publish. It is immutable once
// published.
type Plan struct {
	Format  int     `json:"format"  yaml:"format"`
	Rules   []Rule  `json:"rules"   yaml:"rules"`
	Guards  Guards  `json:"guards"  yaml:"guards"`
	Domains Domains `json:"domains" yaml:"domains"`
}

// Rule is one row of the sheet: what one team may run of one kind in one
// failure domain.
type Rule struct {
	Team   string `json:"team"           yaml:"team"`
	Kind   string `json:"kind"           yaml:"kind"`
	Domain string `json:"failure-domain" yaml:"failure-domain"`
	// Share is the team's weight where slots are scarce.
	Share float64 `json:"share" yaml:"share"`
	// Cap is the largest number of slots that the team may use at once for
	// the kind in the domain; 0 means no cap.
	Cap int `json:"cap" yaml:"cap"`
	// Cores, MemoryMb and Accelerators bound what one task may ask for; 0
	// means the largest upstream's.
	Cores        int  `json:"cores,omitempty"        yaml:"cores,omitempty"`
	MemoryMb     int  `json:"memory-mb,omitempty"    yaml:"memory-mb,omitempty"`
	Accelerators int  `json:"accelerators,omitempty" yaml:"accelerators,omitempty"`
	Idempotent   bool `json:"idempotent"             yaml:"idempotent"`
	// DeadlineMs is the default and the largest deadline of a job.
	DeadlineMs int64 `json:"deadline-ms" yaml:"deadline-ms"`
	// Priority: a higher value goes first within a team.
	Priority int `json:"priority,omitempty" yaml:"priority,omitempty"`
	// Spill allows slots of other failure domains.
	Spill bool `json:"spill,omitempty" yaml:"spill,omitempty"`
	// InForceFromMs is the Unix time in ms from which the rule holds; 0 means
	// at once.
	InForceFromMs int64 `json:"in-force-from-ms,omitempty" yaml:"in-force-from-ms,omitempty"`
}

// Domains lists the failure domains the plan may name.
type Domains []string

// Guards switches the protections of the dispatcher. The zero value leaves
// all of them enabled.
type Guards struct {
	NoAdmission      bool `json:"no-admission,omitempty"       yaml:"no-admission,omitempty"`
	NoRetryBudget    bool `json:"no-retry-budget,omitempty"    yaml:"no-retry-budget,omitempty"`
	NoEjection       bool `json:"no-ejection,omitempty"        yaml:"no-ejection,omitempty"`
	NoOccupancyCheck bool `json:"no-occupancy-check,omitempty" yaml:"no-occupancy-check,omitempty"`
}

// Rule returns the rule for a team, kind and failure domain.
func (plan *Plan) Rule(team, kind, domain string) (Rule, bool) {
	for _, rule := range plan.Rules {
		if rule.Team == team && rule.Kind == kind && rule.Domain == domain {
			return rule, true
		}
	}
	return Rule{}, false
}
