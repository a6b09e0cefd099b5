// Command soak runs real platform processes on the loopback addresses of one
// machine, injects faults from outside, and checks the platform's guarantees from
// what callers and workers see. The seed determines the whole schedule of faults.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"tanagerfall/soak/region"
)

func main() {
	options := region.Options{}
	command := &cobra.Command{
		Use:          "soak --platform FILE --seed N",
		Short:        "Run processes on loopback under seeded faults and check the guarantees",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
	}
	flags := command.Flags()
	flags.StringVar(&options.PlatformProgram, "platform", "target/platform", "the platform program")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the random fault schedule")
	flags.IntVar(&options.Processes, "processes", 5, "number of processes")
	flags.IntVar(&options.Workers, "workers", 12, "number of workers")
	flags.DurationVar(&options.FaultDuration, "length", 15*time.Second, "time under faults")
	flags.Float64Var(&options.JobsPerSecond, "rate", 20, "jobs a second")
	flags.StringVar(&options.LogDirectory, "logs", "", "directory for the processes' logs; it is created if it does not exist")
	flags.IntVar(&options.Network, "network", 0, "range of loopback addresses, from 0 to 6: soaks of one seed need different ones to run at the same time")
	command.RunE = func(command *cobra.Command, _ []string) error {
		report, err := region.Run(command.Context(), options)
		if err != nil {
			return err
		}
		fmt.Println(report)
		return report.Err()
	}
	command.AddCommand(newSimulateCommand())
	if err := command.ExecuteContext(context.Background()); err != nil {
		os.Exit(1)
	}
}
