package command

import (
	"slices"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"tanagerfall/shared/version/plan"
	"tanagerfall/tanagerctl/publication"
)

func newPlanEvacuateCommand(flags *flags) *cobra.Command {
	var end bool
	command := &cobra.Command{
		Use:   "evacuate DOMAIN...",
		Short: "Evacuates failure domains, or ends their evacuation",
		Example: "  tanagerctl plan evacuate ege-izmir\n" +
			"  tanagerctl plan evacuate --end ege-izmir",
		Args: cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return flags.evacuate(command, args, end)
		},
	}
	command.Flags().BoolVar(&end, "end", false, "end the evacuation of the domains")
	return command
}

// evacuate publishes the current plan with the domains evacuated, or with the end of their
// evacuation. The other evacuations stay.
func (flags *flags) evacuate(command *cobra.Command, domains []string, end bool) error {
	settings, err := flags.loadSettings()
	if err != nil {
		return err
	}
	history, err := flags.readHistory(command.Context(), settings, 0)
	if err != nil {
		return err
	}
	version, _, currentPlan, _ := history.Current()
	evacuated := slices.Clone(currentPlan.Evacuated)
	for _, domain := range domains {
		if !slices.Contains(currentPlan.Domains, domain) {
			return eris.Wrapf(errUsage, "the plan of version %d has no failure domain %q, only %s",
				version, domain, describeDomains(currentPlan.Domains))
		}
		evacuated = slices.DeleteFunc(evacuated, func(other string) bool { return other == domain })
		if !end {
			evacuated = append(evacuated, domain)
		}
	}
	slices.Sort(evacuated)
	subject := "evacuation of " + strings.Join(domains, ", ")
	if end {
		subject = "end of the " + subject
	}
	return flags.publishRequest(command, settings, subject, publication.Request{
		Sheet:     currentPlan,
		Base:      &version,
		Evacuated: (*plan.Domains)(&evacuated),
	})
}
