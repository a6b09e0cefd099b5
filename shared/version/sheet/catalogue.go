package sheet

import (
	"fmt"

	"tanagerfall/shared/process/settings"
	"tanagerfall/shared/version/plan"
)

// CatalogueFormat is the version of the format of Catalogue.
const CatalogueFormat = 1

// Catalogue lists what a sheet may name, and the capacity it may give out.
type Catalogue struct {
	Format  int      `yaml:"format"`
	Kinds   []Kind   `yaml:"kinds"`
	Domains []Domain `yaml:"failure-domains"`
}

// Kind is a kind of job.
type Kind struct {
	Name string `yaml:"name"`
	// Idempotent is false where a request must run at most once; no row may
	// then say otherwise.
	Idempotent bool `yaml:"idempotent"`
}

// Domain is a failure domain and its capacity.
type Domain struct {
	Name  string `yaml:"name"`
	Slots int    `yaml:"slots"`
	// Cores, MemoryMb and Accelerators are those of the largest upstream.
	Cores        int `yaml:"cores"`
	MemoryMb     int `yaml:"memory-mb"`
	Accelerators int `yaml:"accelerators"`
}

// Validate returns the first fault, or nil.
func (catalogue *Catalogue) Validate() *settings.Fault {
	if catalogue.Format != CatalogueFormat {
		return settingsFault("format", "is %d, this program reads %d", catalogue.Format, CatalogueFormat)
	}
	if len(catalogue.Kinds) == 0 {
		return settingsFault("kinds", "is empty")
	}
	if len(catalogue.Domains) == 0 || len(catalogue.Domains) > plan.MaxDomains {
		return settingsFault("failure-domains", "has %d entries, allowed are 1 to %d", len(catalogue.Domains), plan.MaxDomains)
	}
	seen := make(map[string]bool)
	for i, kind := range catalogue.Kinds {
		fault := validateName(fmt.Sprintf("kinds[%d].name", i), kind.Name, seen)
		if fault != nil {
			return fault
		}
	}
	clear(seen)
	for i, domain := range catalogue.Domains {
		key := fmt.Sprintf("failure-domains[%d].", i)
		fault := validateName(key+"name", domain.Name, seen)
		if fault != nil {
			return fault
		}
		if domain.Slots < 1 || domain.Slots > plan.MaxCap {
			return settingsFault(key+"slots", "is %d, allowed are 1 to %d", domain.Slots, plan.MaxCap)
		}
		if domain.Cores < 0 || domain.MemoryMb < 0 || domain.Accelerators < 0 {
			return settingsFault(key+"name", "%s has a negative capacity", domain.Name)
		}
	}
	return nil
}

func validateName(key, name string, seen map[string]bool) *settings.Fault {
	if !plan.ValidName(name) {
		return settingsFault(key, "%q is no valid name", name)
	}
	if seen[name] {
		return settingsFault(key, "%q is listed twice", name)
	}
	seen[name] = true
	return nil
}

func settingsFault(key, format string, values ...any) *settings.Fault {
	return &settings.Fault{
		Key:  key,
		Text: fmt.Sprintf(format, values...),
	}
}

func (catalogue *Catalogue) kind(name string) (Kind, bool) {
	for _, kind := range catalogue.Kinds {
		if kind.Name == name {
			return kind, true
		}
	}
	return Kind{}, false
}

func (catalogue *Catalogue) domain(name string) (Domain, bool) {
	for _, domain := range catalogue.Domains {
		if domain.Name == name {
			return domain, true
		}
	}
	return Domain{}, false
}

func (catalogue *Catalogue) kindNames() []string {
	names := make([]string, 0, len(catalogue.Kinds))
	for _, kind := range catalogue.Kinds {
		names = append(names, kind.Name)
	}
	return names
}

func (catalogue *Catalogue) domainNames() []string {
	names := make([]string, 0, len(catalogue.Domains))
	for _, domain := range catalogue.Domains {
		names = append(names, domain.Name)
	}
	return names
}
