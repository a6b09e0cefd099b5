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

// defaultReadyWait is the time that entry VMs have by default to complete their
// first probe.
const defaultReadyWait = 30 * time.Second

// runOptions holds the flags of the command "run".
type runOptions struct {
	output    string
	checkOnly bool
	pids      []int
	readyWait time.Duration
}

// newRunCommand returns the command "run".
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
			spec, err := experiment.Load(arguments[0])
			if err != nil || options.checkOnly {
				return err
			}
			return run(command.Context(), spec, &options)
		},
	}
	flags := command.Flags()
	flags.StringVarP(&options.output, "output", "o", "", "file for the result (default: standard output)")
	flags.BoolVar(&options.checkOnly, "check", false, "check the experiment and exit")
	flags.IntSliceVar(&options.pids, "pid", nil, "entry process whose CPU time is measured (repeatable)")
	flags.DurationVar(&options.readyWait, "ready-wait", defaultReadyWait, "how long to wait for the entry VMs")
	return command
}

// run runs an experiment and writes its result. The error wraps errCheckFailed
// if the check does not pass; the result is written nevertheless.
func run(ctx context.Context, spec experiment.Experiment, options *runOptions) error {
	if spec.StartFleet {
		startedFleet, err := fleet.Start(spec.Fleet)
		if err != nil {
			return err
		}
		defer startedFleet.Close()
		if err := publishPlan(ctx, startedFleet.Platform, &spec); err != nil {
			return err
		}
	}
	pids := options.pids
	for _, entry := range spec.Fleet.Entries {
		if entry.Pid > 0 {
			pids = append(pids, entry.Pid)
		}
	}
	runner := load.New(load.Config{
		Experiment: spec,
		RunID:      fmt.Sprintf("%016x", rand.Uint64()),
		Pids:       pids,
		Progress:   func(text string) { fmt.Fprintln(os.Stderr, text) },
	})
	if err := runner.AwaitReady(ctx, options.readyWait); err != nil {
		return err
	}
	experimentResult, err := runner.Run(ctx)
	if err != nil {
		return err
	}
	if err := writeResult(&experimentResult, options.output); err != nil {
		return err
	}
	if !experimentResult.Check.Done {
		return eris.Wrap(errCheckFailed, experimentResult.Check.Detail)
	}
	if violations := experimentResult.Check.Violations(); violations > 0 {
		return eris.Wrapf(errCheckFailed, "%d violations, such as %s", violations, experimentResult.Check.Examples[0])
	}
	return nil
}

// writeResult writes a result as JSON to a file, or to standard output if file
// is empty.
func writeResult(experimentResult *result.Result, file string) error {
	data, err := json.MarshalIndent(experimentResult, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode result")
	}
	data = append(data, '\n')
	if file == "" {
		_, err = os.Stdout.Write(data)
		return eris.Wrap(err, "write result")
	}
	const mode = 0o644
	return eris.Wrap(os.WriteFile(file, data, mode), "write result")
}
