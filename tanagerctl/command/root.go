package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"tanagerfall/shared/connection/platform"
	"tanagerfall/shared/version/sheet"
)

const (
	defaultTimeout = 10 * time.Second
	outputTable    = "table"
	outputJSON     = "json"
)

// flags holds the values of the flags.
type flags struct {
	settings          string
	platformURL       string
	planStream        string
	operatorAddresses []string
	catalogue         string
	author            string
	ca                string
	output            string
	timeout           time.Duration
}

// Run runs the command line and returns the exit code.
func Run(ctx context.Context, arguments []string, output, messages io.Writer) int {
	root := New()
	root.SetArgs(arguments)
	root.SetOut(output)
	root.SetErr(messages)
	err := root.ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintln(messages, "tanagerctl: "+message(err))
	}
	return exitCode(err)
}

// message leaves out the marks by which errors are told apart.
func message(err error) string {
	var faults sheet.Faults
	if errors.As(err, &faults) {
		return fmt.Sprintf("the sheet has %d faults", len(faults))
	}
	return strings.TrimSuffix(err.Error(), ": "+errUsage.Error())
}

// New returns the command tree.
func New() *cobra.Command {
	flags := &flags{}
	root := &cobra.Command{
		Use:           "tanagerctl",
		Short:         "Checks and publishes plans, and looks after entry VMs",
		Example:       "  tanagerctl plan check monday.xlsx --settings tanagerctl.yaml",
		SilenceErrors: true,
		SilenceUsage:  true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if flags.output != outputTable && flags.output != outputJSON {
				return eris.Wrapf(errUsage, "--output %q, allowed are table and json", flags.output)
			}
			return nil
		},
	}
	persistent := root.PersistentFlags()
	persistent.StringVar(&flags.settings, "settings", "", "settings file (default $"+settingsVariable+")")
	persistent.StringVar(&flags.platformURL, "platform-url", "", "URL of the platform")
	persistent.StringVar(&flags.planStream, "plan-stream", "", "stream of the plan on the log")
	persistent.StringSliceVar(&flags.operatorAddresses, "operator-address", nil, "operator address of an entry VM; repeat for each VM")
	persistent.StringVar(&flags.catalogue, "catalogue", "", "file of kinds and failure domains")
	persistent.StringVar(&flags.author, "author", "", "your name in publications")
	persistent.StringVar(&flags.ca, "ca", "", "PEM file with the authority of the entry VMs' certificates")
	persistent.StringVarP(&flags.output, "output", "o", outputTable, "table or json")
	persistent.DurationVar(&flags.timeout, "timeout", defaultTimeout, "how long to try")
	mustComplete(root, "output", outputTable, outputJSON)
	root.AddCommand(newPlan(flags), newVM(flags), newExplain(flags))
	return root
}

// mustComplete panics where the flag does not exist.
func mustComplete(command *cobra.Command, flag string, values ...string) {
	err := command.RegisterFlagCompletionFunc(flag, cobra.FixedCompletions(values, cobra.ShellCompDirectiveNoFileComp))
	if err != nil {
		panic(err)
	}
}

// arguments makes wrong counts of arguments usage errors.
func arguments(count int) cobra.PositionalArgs {
	return func(command *cobra.Command, given []string) error {
		err := cobra.ExactArgs(count)(command, given)
		if err != nil {
			return eris.Wrapf(errUsage, "%v; see %s --help", err, command.CommandPath())
		}
		return nil
	}
}

func newHTTPClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{},
	}
}

func (loaded *Settings) platform() (*platform.Client, error) {
	err := loaded.checkPlatform()
	if err != nil {
		return nil, err
	}
	return platform.NewClient(loaded.PlatformURL, newHTTPClient()), nil
}
