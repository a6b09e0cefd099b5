package sheet

import (
	"fmt"

	"tanagerfall/shared/process/settings"
	"tanagerfall/shared/version/plan"
)

// CatalogueFormat is the version of the format of a Catalogue. No other is read.
const CatalogueFormat = 1

// Catalogue lists the kinds and failure domains that a sheet may name, and the
// capacity that it may assign. It is loaded from a YAML file.
type Catalogue struct {
	Format  int      `yaml:"format"`
	Kinds   []Kind   `yaml:"kinds"`
	Domains []Domain `yaml:"failure-domains"`
}

// Kind describes a kind of job.
type Kind struct {
	Name string `yaml:"name"`
	// Idempotent is false if the jobs must run at most once. A sheet can't
	// override this.
	Idempotent bool `yaml:"idempotent"`
}

// Domain describes a failure domain and its capacity.
type Domain struct {
	Name string `yaml:"name"`
	// Slots is the number of slots in the failure domain.
	Slots int `yaml:"slots"`
	// Cores, MemoryMb and Accelerators are those of the largest upstream.
	Cores        int `yaml:"cores"`
	MemoryMb     int `yaml:"memory-mb"`
	Accelerators int `yaml:"accelerators"`
}

// Validate returns the first fault of the catalogue, or nil.
func (catalogue *Catalogue) Validate() *settings.Fault {
	if catalogue.Format != CatalogueFormat {
		return settingsFault("format", "is %d, must be %d", catalogue.Format, CatalogueFormat)
	}
	if len(catalogue.Kinds) == 0 {
		return settingsFault("kinds", "is empty")
	}
	if len(catalogue.Domains) == 0 || len(catalogue.Domains) > plan.MaxDomains {
		return settingsFault("failure-domains", "has %d entries, must have 1 to %d", len(catalogue.Domains), plan.MaxDomains)
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
			return settingsFault(key+"slots", "is %d, must be 1 to %d", domain.Slots, plan.MaxCap)
		}
		if domain.Cores < 0 || domain.MemoryMb < 0 || domain.Accelerators < 0 {
			return settingsFault(key+"name", "%s has negative cores, memory-mb or accelerators", domain.Name)
		}
	}
	return nil
}

// validateName checks a name and adds it to seen, the names before it.
func validateName(key, name string, seen map[string]bool) *settings.Fault {
	if !plan.ValidName(name) {
		return settingsFault(key, "%q is not a valid name", name)
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
