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

// errorText leaves out the marks by which errors are told apart.
func errorText(err error) string {
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
	flagSet := root.PersistentFlags()
	flagSet.StringVar(&flags.settings, "settings", "", "settings file (default $"+settingsEnvVar+")")
	flagSet.StringVar(&flags.platformURL, "platform-url", "", "URL of the platform")
	flagSet.StringVar(&flags.planStream, "plan-stream", "", "stream of the plan on the log")
	flagSet.StringSliceVar(&flags.operatorAddresses, "operator-address", nil, "operator address of an entry VM; repeat for each VM")
	flagSet.StringVar(&flags.catalogue, "catalogue", "", "file of kinds and failure domains")
	flagSet.StringVar(&flags.author, "author", "", "your name in publications")
	flagSet.StringVar(&flags.ca, "ca", "", "PEM file with the authority of the entry VMs' certificates")
	flagSet.StringVarP(&flags.output, "output", "o", outputTable, "table or json")
	flagSet.DurationVar(&flags.timeout, "timeout", defaultTimeout, "how long to try")
	mustRegisterCompletion(root, "output", outputTable, outputJSON)
	root.AddCommand(newPlan(flags), newVM(flags), newExplain(flags))
	return root
}

// mustRegisterCompletion panics where the flag does not exist.
func mustRegisterCompletion(command *cobra.Command, flag string, values ...string) {
	err := command.RegisterFlagCompletionFunc(flag, cobra.FixedCompletions(values, cobra.ShellCompDirectiveNoFileComp))
	if err != nil {
		panic(err)
	}
}

// exactArgs makes wrong counts of arguments usage errors.
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

func (settings *Settings) newPlatformClient() (*platform.Client, error) {
	err := settings.checkPlatformURL()
	if err != nil {
		return nil, err
	}
	return platform.NewClient(settings.PlatformURL, newHTTPClient()), nil
}
