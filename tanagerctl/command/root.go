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

// flags holds the values of the flags that all commands share.
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

// Run runs tanagerctl with the arguments that follow the program's name and returns
// its exit code. It writes errors to stderr.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := New()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintln(stderr, "tanagerctl: "+errorText(err))
	}
	return exitCode(err)
}

// errorText returns the text of an error for the operator. The faults of a sheet are
// only counted, as they are part of the output, and the suffix of errUsage is cut.
func errorText(err error) string {
	var faults sheet.Faults
	if errors.As(err, &faults) {
		return fmt.Sprintf("the sheet has %d faults", len(faults))
	}
	return strings.TrimSuffix(err.Error(), ": "+errUsage.Error())
}

// New returns the command tanagerctl with all its subcommands.
func New() *cobra.Command {
	flags := &flags{}
	root := &cobra.Command{
		Use:           "tanagerctl",
		Short:         "Checks and publishes plans, drains entry VMs, and explains failed jobs and where new ones go",
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
	flagSet := root.PersistentFlags()
	flagSet.StringVar(&flags.settings, "settings", "", "settings file (default $"+settingsEnvVar+")")
	flagSet.StringVar(&flags.platformURL, "platform-url", "", "URL of the platform")
	flagSet.StringVar(&flags.planStream, "plan-stream", "", "stream of the plan on the log")
	flagSet.StringSliceVar(&flags.operatorAddresses, "operator-address", nil, "operator address of an entry VM; repeat for each VM")
	flagSet.StringVar(&flags.catalogue, "catalogue", "", "file of kinds and failure domains")
	flagSet.StringVar(&flags.author, "author", "", "your name in publications")
	flagSet.StringVar(&flags.ca, "ca", "", "PEM file with the authority of the entry VMs' certificates")
	flagSet.StringVarP(&flags.output, "output", "o", outputTable, "table or json")
	flagSet.DurationVar(&flags.timeout, "timeout", defaultTimeout, "time limit for calls of the platform and of VMs, including retries")
	mustRegisterCompletion(root, "output", outputTable, outputJSON)
	root.AddCommand(newPlanCommand(flags), newVMCommand(flags), newExplainCommand(flags), newWhereCommand(flags))
	return root
}

// mustRegisterCompletion registers the values that complete a flag. It panics if the
// flag doesn't exist.
func mustRegisterCompletion(command *cobra.Command, flag string, values ...string) {
	err := command.RegisterFlagCompletionFunc(flag, cobra.FixedCompletions(values, cobra.ShellCompDirectiveNoFileComp))
	if err != nil {
		panic(err)
	}
}

// exactArgs requires a number of arguments. The error of another number wraps
// errUsage.
func exactArgs(count int) cobra.PositionalArgs {
	return func(command *cobra.Command, args []string) error {
		err := cobra.ExactArgs(count)(command, args)
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

// newPlatformClient returns a client of the platform. The error wraps errUsage.
func (settings *Settings) newPlatformClient() (*platform.Client, error) {
	err := settings.checkPlatformURL()
	if err != nil {
		return nil, err
	}
	return platform.NewClient(settings.PlatformURL, newHTTPClient()), nil
}
