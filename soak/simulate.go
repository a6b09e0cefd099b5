package main

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"tanagerfall/soak/simulation"
)

// newSimulateCommand returns the command that plays series in virtual time.
func newSimulateCommand() *cobra.Command {
	seeds := ""
	job := ""
	options := simulation.Options{}
	parallel := 2
	traces := 1
	command := &cobra.Command{
		Use:          "simulate --seeds FROM-TO",
		Short:        "Play hand-overs between schedulers in virtual time and check that no task runs twice at a time and that refused jobs don't start",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
	}
	flags := command.Flags()
	flags.StringVar(&seeds, "seeds", "1-1000", "first and last seed, or one seed")
	flags.StringVar(&job, "job", "", "with one seed: write the trace of this job, or of \"all\"")
	flags.IntVar(&parallel, "parallel", parallel, "number of series at a time")
	flags.BoolVar(&options.UnnoticedBreaks, "unnoticed", false, "processes notice some broken connections of callers late")
	flags.BoolVar(&options.LateOrdersSurvive, "late-orders-survive", false, "workers that have restarted carry out late orders to their earlier processes, also in the series with scenarios")
	flags.IntVar(&traces, "traces", traces, "number of failed seeds whose traces are written")
	command.RunE = func(*cobra.Command, []string) error {
		first, last, err := parseSeeds(seeds)
		if err != nil {
			return err
		}
		if job != "" {
			options.Seed = first
			simulation.WriteTrace(os.Stdout, options, strings.TrimPrefix(job, "all"))
			return nil
		}
		summary := simulation.RunSeeds(first, last, parallel, options)
		for number, result := range summary.Failed {
			for _, violation := range result.Violations {
				fmt.Println(violation.Text)
			}
			if number < traces {
				options.Seed = result.Seed
				simulation.WriteTrace(os.Stdout, options, result.Violations[0].Job)
			}
		}
		fmt.Printf("series %d, starts %d, completed jobs %d, refused requests %d, takeovers %d, failed series %d\n",
			summary.Series, summary.Starts, summary.Completed, summary.Refused, summary.Takeovers, len(summary.Failed))
		for _, rule := range slices.Sorted(maps.Keys(summary.Violations)) {
			fmt.Printf("violations of %q: %d\n", rule, summary.Violations[rule])
		}
		if len(summary.Failed) > 0 {
			return eris.Errorf("%d series failed", len(summary.Failed))
		}
		return nil
	}
	return command
}

// parseSeeds parses "FROM-TO" or one seed.
func parseSeeds(text string) (first, last uint64, err error) {
	from, to, isRange := strings.Cut(text, "-")
	if !isRange {
		to = from
	}
	if first, err = strconv.ParseUint(from, 10, 64); err != nil {
		return 0, 0, eris.Wrap(err, "the first seed")
	}
	if last, err = strconv.ParseUint(to, 10, 64); err != nil {
		return 0, 0, eris.Wrap(err, "the last seed")
	}
	return first, last, nil
}
