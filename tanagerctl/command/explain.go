package command

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"text/tabwriter"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"tanagerfall/tanagerctl/explanation"
)

func newExplainCommand(flags *flags) *cobra.Command {
	var job string
	var summary bool
	command := &cobra.Command{
		Use:   "explain FILE...",
		Short: "Explains from logs of entry VMs why jobs were refused, failed or late",
		Long: "Explains from logs of entry VMs why jobs were refused, failed or late.\n" +
			"FILE is a log written by entry VMs, or - for standard input. The command calls neither VMs nor the platform.",
		Example: "  tanagerctl explain --job 5c0e7a21d94b36f8 vm-*.log\n  tanagerctl explain --summary vm-*.log",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) == 0 {
				return eris.Wrap(errUsage, "explain needs a log")
			}
			return nil
		},
		RunE: func(command *cobra.Command, args []string) error {
			logs := explanation.NewLogs()
			for _, file := range args {
				if err := readLog(command, logs, file); err != nil {
					return err
				}
			}
			explanations := logs.Explain(job)
			if flags.output == outputJSON {
				return eris.Wrap(json.NewEncoder(command.OutOrStdout()).Encode(explanations), "writing")
			}
			if summary {
				return writeSummary(command, explanations)
			}
			return writeExplanations(command, explanations)
		},
	}
	command.Flags().StringVar(&job, "job", "", "ID of one job (default: all)")
	command.Flags().BoolVar(&summary, "summary", false, "count the jobs by result and cause")
	return command
}

// readLog adds the log in a file, or from standard input for the path "-".
func readLog(command *cobra.Command, logs *explanation.Logs, path string) error {
	if path == "-" {
		return logs.Read(command.InOrStdin())
	}
	file, err := os.Open(path)
	if err != nil {
		return eris.Wrapf(errUsage, "%v", err)
	}
	defer file.Close()
	return logs.Read(file)
}

func writeExplanations(command *cobra.Command, explanations []explanation.Explanation) error {
	writer := tabwriter.NewWriter(command.OutOrStdout(), 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, "JOB\tVM\tAT\tRESULT\tCAUSE\tDETAIL")
	for _, row := range explanations {
		fmt.Fprintf(writer, "%s\t%s\t%s\t%s\t%s\t%s\n", row.Job, row.VM, row.At, row.Result, row.Cause, row.Detail)
	}
	return eris.Wrap(writer.Flush(), "writing")
}

// writeSummary writes the number of jobs by result and cause, largest first, and
// how many of all jobs are explained.
func writeSummary(command *cobra.Command, explanations []explanation.Explanation) error {
	type group struct{ result, cause string }
	counts := make(map[group]int)
	explained := 0
	for _, row := range explanations {
		counts[group{
			result: row.Result,
			cause:  row.Cause,
		}]++
		if row.Cause != explanation.Unexplained {
			explained++
		}
	}
	groups := make([]group, 0, len(counts))
	for group := range counts {
		groups = append(groups, group)
	}
	slices.SortFunc(groups, func(a, b group) int {
		if counts[a] != counts[b] {
			return counts[b] - counts[a]
		}
		if a.result+a.cause < b.result+b.cause {
			return -1
		}
		return 1
	})
	writer := tabwriter.NewWriter(command.OutOrStdout(), 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, "JOBS\tRESULT\tCAUSE")
	for _, group := range groups {
		fmt.Fprintf(writer, "%d\t%s\t%s\n", counts[group], group.result, group.cause)
	}
	if err := writer.Flush(); err != nil {
		return eris.Wrap(err, "writing")
	}
	_, err := fmt.Fprintf(command.OutOrStdout(), "%d of %d explained\n", explained, len(explanations))
	return eris.Wrap(err, "writing")
}
