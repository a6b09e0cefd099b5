package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"tanagerfall/client"
	"tanagerfall/local/system"
	"tanagerfall/shared/request/job"
)

const (
	demoTasks   = 40
	demoTimeout = 30 * time.Second
	firstRunMs  = 50
	lastRunMs   = 1000
)

func newDemo() *cobra.Command {
	return &cobra.Command{
		Use:     "demo",
		Short:   "Start the system, publish a sample plan and run a job of 40 tasks",
		Example: "  local demo",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(command.Context(), demoTimeout)
			defer cancel()
			return demo(ctx, os.Stdout)
		},
	}
}

func demo(ctx context.Context, out io.Writer) error {
	config := system.DefaultConfig()
	config.Log = os.Stderr
	started, err := system.Start(config)
	if err != nil {
		return err
	}
	defer started.Stop()
	fmt.Fprintf(out, "started %d entry VMs and %d workers in %d failure domains\n",
		len(started.Entries), len(started.Workers), len(config.Domains))
	if err := started.Publish(ctx, system.SamplePlan(config.Domains)); err != nil {
		return err
	}
	if err := started.AwaitReady(ctx); err != nil {
		return err
	}
	fmt.Fprintln(out, "the sample plan is in force on every entry VM")
	return runDemoJob(ctx, out, started)
}

func runDemoJob(ctx context.Context, out io.Writer, started *system.System) error {
	caller := client.New(client.Config{
		URL:  started.Entries[0].CallerURL(),
		Team: "workshop",
	})
	defer caller.Close()
	submitted := demoJob()
	fmt.Fprintf(out, "submitting a job of %d tasks of %d to %d ms to %s\n",
		len(submitted.Tasks), firstRunMs, lastRunMs, started.Entries[0].Name)
	began := time.Now()
	answer, err := caller.Run(ctx, submitted)
	if err != nil {
		return err
	}
	printAnswer(out, &answer, time.Since(began))
	return nil
}

// demoJob has tasks whose run times grow from the first to the last in equal
// ratios.
func demoJob() job.Job {
	submitted := job.Job{
		Kind: "quote",
	}
	for i := range demoTasks {
		exponent := float64(i) / (demoTasks - 1)
		runMs := firstRunMs * math.Pow(float64(lastRunMs)/firstRunMs, exponent)
		submitted.Tasks = append(submitted.Tasks, job.Task{
			RunMs:   int64(math.Round(runMs)),
			Cores:   1,
			Payload: json.RawMessage(fmt.Sprintf(`{"echo":"task %d"}`, i)),
		})
	}
	return submitted
}

func printAnswer(out io.Writer, answer *job.Answer, elapsed time.Duration) {
	const perTask, perJob = 2, 2
	fmt.Fprintf(out, "outcome: %s %s %s\n", answer.Outcome, answer.Reason, answer.Detail)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "task\tupstream\trun ms\toutput")
	for _, result := range answer.Results {
		fmt.Fprintf(table, "%d\t%s\t%d\t%s\n", result.Index, result.Upstream, result.RunMs, result.Output)
	}
	_ = table.Flush()
	fmt.Fprintf(out, "response %d ms, ideal %d ms, ratio %.2f\n", elapsed.Milliseconds(), answer.IdealMs,
		float64(elapsed.Milliseconds())/float64(max(answer.IdealMs, 1)))
	needed := int64(perTask*len(answer.Results) + perJob)
	fmt.Fprintf(out, "messages %d (tasks) + %d (job), needed %d, wasted %d\n",
		answer.Messages, perJob, needed, answer.Messages+perJob-needed)
}
