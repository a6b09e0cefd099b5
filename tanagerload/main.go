// Command tanagerload puts load on entry VMs, measures them, checks every
// answer against the workers' journals, and plots the results.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"tanagerfall/shared/process/settings"
	"tanagerfall/tanagerload/decisions"
)

// The exit codes.
const (
	exitFailed            = 1
	exitInvalidExperiment = 2
)

// errViolations: the checker found violations, or could not check.
var errCheckFailed = eris.New("the check failed")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := newCommand().ExecuteContext(ctx)
	stop()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "tanagerload: "+err.Error())
	var settingsErr *settings.Error
	if errors.As(err, &settingsErr) || errors.Is(err, settings.ErrUnreadable) {
		os.Exit(exitInvalidExperiment)
	}
	os.Exit(exitFailed)
}

func newCommand() *cobra.Command {
	command := &cobra.Command{
		Use:           "tanagerload",
		Short:         "Load and experiment tool",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	command.AddCommand(newRunCommand(), newPlotCommand(), newSettingsCommand(), decisions.NewCommand())
	return command
}
