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

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

// Main runs the command with the arguments of the process and returns the exit
// code: 0 for success, 2 if the settings are invalid or cannot be read, and 1 for
// any other error.
func Main() int {
	err := newCommand().ExecuteContext(context.Background())
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "entry: "+err.Error())
	var settingsErr *settings.Error
	if errors.As(err, &settingsErr) || errors.Is(err, settings.ErrUnreadable) {
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

// serve runs the process until it is stopped. SIGTERM and SIGINT start the graceful
// shutdown, SIGHUP reloads the keys and TLS files, and SIGUSR1 logs the state dump.
func serve(ctx context.Context, file string, entry settings.Entry) error {
	level, err := log.ParseLevel(entry.LogLevel)
	if err != nil {
		return err
	}
	logger := logevent.New(os.Stderr, level, entry.PeerAddress)
	entryProcess, err := process.New(entry, logger)
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
				entryProcess.Drain()
			case <-dump:
				entryProcess.LogDump()
			case <-reload:
				entryProcess.ReloadFile(file)
			}
		}
	}()
	return entryProcess.Run(ctx)
}
