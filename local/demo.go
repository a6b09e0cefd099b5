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

func newDemoCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "demo",
		Short:   "Start the system, publish a sample plan and run a job of 40 tasks",
		Example: "  local demo",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(command.Context(), demoTimeout)
			defer cancel()
			return runDemo(ctx, os.Stdout)
		},
	}
}

func runDemo(ctx context.Context, out io.Writer) error {
	config := system.DefaultConfig()
	config.EntryVMLog = os.Stderr
	deployment, err := system.Start(config)
	if err != nil {
		return err
	}
	defer deployment.Stop()
	fmt.Fprintf(out, "started %d entry VMs and %d workers in %d failure domains\n",
		len(deployment.EntryVMs), len(deployment.Workers), len(config.Domains))
	if err := deployment.Publish(ctx, system.SamplePlan(config.Domains)); err != nil {
		return err
	}
	if err := deployment.AwaitReady(ctx); err != nil {
		return err
	}
	fmt.Fprintln(out, "the sample plan is in force on every entry VM")
	return runDemoJob(ctx, out, deployment)
}

func runDemoJob(ctx context.Context, out io.Writer, deployment *system.System) error {
	caller := client.New(client.Config{
		URL:  deployment.EntryVMs[0].CallerURL(),
		Team: "workshop",
	})
	defer caller.Close()
	demo := demoJob()
	fmt.Fprintf(out, "submitting a job of %d tasks of %d to %d ms to %s\n",
		len(demo.Tasks), firstRunMs, lastRunMs, deployment.EntryVMs[0].Name)
	start := time.Now()
	answer, err := caller.Run(ctx, demo)
	if err != nil {
		return err
	}
	printAnswer(out, &answer, time.Since(start))
	return nil
}

// demoJob returns a job whose run times grow from firstRunMs to lastRunMs by a
// constant factor from task to task.
func demoJob() job.Job {
	demo := job.Job{
		Kind: "quote",
	}
	for i := range demoTasks {
		exponent := float64(i) / (demoTasks - 1)
		runMs := firstRunMs * math.Pow(float64(lastRunMs)/firstRunMs, exponent)
		demo.Tasks = append(demo.Tasks, job.Task{
			RunMs:   int64(math.Round(runMs)),
			Cores:   1,
			Payload: json.RawMessage(fmt.Sprintf(`{"echo":"task %d"}`, i)),
		})
	}
	return demo
}

func printAnswer(out io.Writer, answer *job.Answer, elapsed time.Duration) {
	const messagesPerTask, messagesPerJob = 2, 2
	fmt.Fprintf(out, "outcome: %s %s %s\n", answer.Outcome, answer.Reason, answer.Detail)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "task\tupstream\trun ms\toutput")
	for _, result := range answer.Results {
		fmt.Fprintf(table, "%d\t%s\t%d\t%s\n", result.Index, result.Upstream, result.RunMs, result.Output)
	}
	_ = table.Flush()
	fmt.Fprintf(out, "response %d ms, ideal %d ms, ratio %.2f\n", elapsed.Milliseconds(), answer.IdealMs,
		float64(elapsed.Milliseconds())/float64(max(answer.IdealMs, 1)))
	minMessages := int64(messagesPerTask*len(answer.Results) + messagesPerJob)
	fmt.Fprintf(out, "messages %d (tasks) + %d (job), needed %d, wasted %d\n",
		answer.Messages, messagesPerJob, minMessages, answer.Messages+messagesPerJob-minMessages)
}
