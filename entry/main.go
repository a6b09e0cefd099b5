// Command entry is the process of an entry VM: it takes jobs from callers,
// places their tasks on upstreams and answers with the whole result.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"
	"github.com/spf13/cobra"

	"tanagerfall/entry/process"
	"tanagerfall/shared/process/logevent"
	"tanagerfall/shared/process/settings"
)

// The exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	if err := newCommand().ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "entry: "+err.Error())
		var fault *settings.Error
		if errors.As(err, &fault) || errors.Is(err, settings.ErrUnreadable) {
			os.Exit(exitSettings)
		}
		os.Exit(exitFailed)
	}
}

func newCommand() *cobra.Command {
	command := &cobra.Command{
		Use:           "entry --settings FILE",
		Short:         "Serve callers on an entry VM",
		Example:       "  entry --settings entry.yaml",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	file := command.Flags().String("settings", "", "YAML file with the settings")
	check := command.Flags().Bool("check", false, "check the settings and exit")
	_ = command.MarkFlagRequired("settings")
	command.RunE = func(command *cobra.Command, _ []string) error {
		entry, err := settings.Load(*file, settings.DefaultEntry())
		if err != nil || *check {
			return err
		}
		return serve(command.Context(), entry)
	}
	return command
}

func serve(ctx context.Context, entry settings.Entry) error {
	level, err := log.ParseLevel(entry.LogLevel)
	if err != nil {
		return err
	}
	logger := logevent.New(os.Stderr, level, entry.PeerAddress)
	served, err := process.New(entry, logger)
	if err != nil {
		return err
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	dump := make(chan os.Signal, 1)
	signal.Notify(dump, syscall.SIGUSR1)
	go func() {
		for {
			select {
			case <-stop:
				served.Drain()
			case <-dump:
				served.LogDump()
			}
		}
	}()
	return served.Run(ctx)
}
