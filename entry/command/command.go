package command

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

// Main runs the command with the arguments of the process and returns the
// exit code: 0, 1 for a failure, 2 for bad settings.
func Main() int {
	err := newCommand().ExecuteContext(context.Background())
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "entry: "+err.Error())
	var fault *settings.Error
	if errors.As(err, &fault) || errors.Is(err, settings.ErrUnreadable) {
		return exitSettings
	}
	return exitFailed
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
		return serve(command.Context(), *file, entry)
	}
	return command
}

func serve(ctx context.Context, file string, entry settings.Entry) error {
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
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	dump := make(chan os.Signal, 1)
	signal.Notify(dump, syscall.SIGUSR1)
	go func() {
		for {
			select {
			case <-stop:
				served.Drain()
			case <-dump:
				served.LogDump()
			case <-reload:
				served.ReloadFile(file)
			}
		}
	}()
	return served.Run(ctx)
}
