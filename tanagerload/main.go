// Command tanagerload runs load experiments against entry VMs: it submits jobs,
// measures the answers, checks every answer against the workers' journals, and
// plots the results. It also compares placement policies by simulation.
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

// Exit codes.
const (
	exitFailed = 1
	// exitInvalidExperiment says that the experiment or its fleet could not be
	// read or is invalid.
	exitInvalidExperiment = 2
)

// errCheckFailed is wrapped if the checker found violations of the invariants or
// could not read all journals.
var errCheckFailed = eris.New("check of the answers failed")

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
