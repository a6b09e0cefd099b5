package decisions

import (
	"fmt"
	"io"
	"sync"

	"github.com/spf13/cobra"
)

// parallelRuns bounds the simulations that run concurrently.
const parallelRuns = 4

// NewCommand returns the command "decisions", which measures an experiment and
// prints a Markdown table of the results.
func NewCommand() *cobra.Command {
	path := ""
	command := &cobra.Command{
		Use:   "decisions",
		Short: "Measure placement policies on virtual time and print a table",
		Args:  cobra.NoArgs,
	}
	command.Flags().StringVar(&path, "experiment", "", "YAML file; without it, the experiment of design section 3")
	command.RunE = func(command *cobra.Command, _ []string) error {
		experiment := Default()
		if path != "" {
			fromFile, err := Read(path)
			if err != nil {
				return err
			}
			experiment = fromFile
		}
		writeTable(command.OutOrStdout(), Measure(experiment))
		return nil
	}
	return command
}

// Measure simulates every run of an experiment with every policy. The results
// are ordered by run, then by policy, as the experiment lists them.
func Measure(experiment *Experiment) []Result {
	results := make([]Result, len(experiment.Runs)*len(experiment.Policies))
	group := sync.WaitGroup{}
	semaphore := make(chan struct{}, parallelRuns)
	for i, run := range experiment.Runs {
		fleet := experiment.Fleet
		fleet.SpeedSpread = run.SpeedSpread
		totalSpeed := 0.0
		for _, speed := range upstreamSpeeds(fleet) {
			totalSpeed += speed * float64(fleet.Slots)
		}
		specs := generateJobs(experiment, run, totalSpeed)
		for j, policyName := range experiment.Policies {
			semaphore <- struct{}{}
			group.Go(func() {
				results[i*len(experiment.Policies)+j] = simulate(experiment, run, policyName, specs)
				<-semaphore
			})
		}
	}
	group.Wait()
	return results
}

// writeTable writes the results as a Markdown table.
func writeTable(out io.Writer, results []Result) {
	fmt.Fprintln(out, "| run | load | policy | p50 | p99 | p99.9 | mean | us per task |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, result := range results {
		fmt.Fprintf(out, "| %s | %.0f%% | %s | %.3f | %.3f | %.3f | %.3f | %.1f |\n",
			result.Run.Name, 100*result.Run.Load, result.Policy,
			result.P50, result.P99, result.P999, result.Mean, float64(result.ElapsedPerTask.Nanoseconds())/1000)
	}
}
