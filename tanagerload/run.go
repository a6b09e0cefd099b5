package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"tanagerfall/standin/fleet"
	"tanagerfall/tanagerload/experiment"
	"tanagerfall/tanagerload/load"
	"tanagerfall/tanagerload/result"
)

// defaultReadyWait is how long entry VMs may take to issue IDs.
const defaultReadyWait = 30 * time.Second

// runOptions are the flags of the run command.
type runOptions struct {
	output string
	check  bool
	pids   []int
	ready  time.Duration
}

func newRunCommand() *cobra.Command {
	options := runOptions{}
	command := &cobra.Command{
		Use:   "run EXPERIMENT.yaml",
		Short: "Run an experiment against running entry VMs",
		Long: "Run an experiment and write its result as JSON.\n" +
			"Exits with 2 if the experiment is malformed, and with 1 if an invariant is violated or could not be checked.",
		Example: "  tanagerload run tanagerload/experiments/kestane-load.yaml --output result.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			described, err := experiment.Load(arguments[0])
			if err != nil || options.check {
				return err
			}
			return run(command.Context(), described, &options)
		},
	}
	flags := command.Flags()
	flags.StringVarP(&options.output, "output", "o", "", "file for the result (default: standard output)")
	flags.BoolVar(&options.check, "check", false, "check the experiment and exit")
	flags.IntSliceVar(&options.pids, "pid", nil, "entry process whose CPU time is measured (repeatable)")
	flags.DurationVar(&options.ready, "ready-wait", defaultReadyWait, "how long to wait for the entry VMs")
	return command
}

func run(ctx context.Context, described experiment.Experiment, options *runOptions) error {
	if described.StartFleet {
		started, err := fleet.Start(described.Fleet)
		if err != nil {
			return err
		}
		defer started.Close()
		if err := publishPlan(ctx, started.Platform, &described); err != nil {
			return err
		}
	}
	pids := options.pids
	for _, entry := range described.Fleet.Entries {
		if entry.Pid > 0 {
			pids = append(pids, entry.Pid)
		}
	}
	runner := load.New(load.Config{
		Experiment: described,
		Run:        fmt.Sprintf("%016x", rand.Uint64()),
		Pids:       pids,
		Progress:   func(text string) { fmt.Fprintln(os.Stderr, text) },
	})
	if err := runner.AwaitReady(ctx, options.ready); err != nil {
		return err
	}
	measured, err := runner.Run(ctx)
	if err != nil {
		return err
	}
	if err := writeResult(&measured, options.output); err != nil {
		return err
	}
	if !measured.Check.Done {
		return eris.Wrap(errViolations, measured.Check.Detail)
	}
	if violations := measured.Check.Violations(); violations > 0 {
		return eris.Wrapf(errViolations, "%d violations, such as %s", violations, measured.Check.Examples[0])
	}
	return nil
}

func writeResult(measured *result.Result, file string) error {
	data, err := json.MarshalIndent(measured, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encoding the result")
	}
	data = append(data, '\n')
	if file == "" {
		_, err = os.Stdout.Write(data)
		return eris.Wrap(err, "writing the result")
	}
	const mode = 0o644
	return eris.Wrap(os.WriteFile(file, data, mode), "writing the result")
}
