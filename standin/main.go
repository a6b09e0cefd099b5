// Command standin runs stand-ins for workers and for the platform that inject
// faults on command. docs/platform-protocol.md describes their protocols.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"tanagerfall/shared/process/settings"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := newCommand().ExecuteContext(ctx)
	stop()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "standin: "+err.Error())
	var settingsError *settings.Error
	if errors.As(err, &settingsError) || errors.Is(err, settings.ErrUnreadable) {
		os.Exit(exitSettings)
	}
	os.Exit(exitFailed)
}

func newCommand() *cobra.Command {
	command := &cobra.Command{
		Use:           "standin",
		Short:         "Stand-ins for workers and for the platform",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	command.AddCommand(newWorkerCommand(), newPlatformCommand(), newFleetCommand())
	return command
}
