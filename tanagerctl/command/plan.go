package command

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"tanagerfall/shared/version/plan"
	"tanagerfall/shared/version/sheet"
	"tanagerfall/tanagerctl/publication"
)

func newPlan(flags *flags) *cobra.Command {
	command := &cobra.Command{
		Use:     "plan",
		Short:   "Checks, publishes and shows plans",
		Example: "  tanagerctl plan status --wait",
	}
	command.AddCommand(
		newCheck(flags),
		newDiff(flags),
		newPublish(flags),
		newStatus(flags),
		newHistory(flags),
		newExport(flags),
	)
	return command
}

// sheetFiles completes the file argument.
func sheetFiles(_ *cobra.Command, given []string, _ string) ([]string, cobra.ShellCompDirective) {
	if len(given) > 0 {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	return []string{"csv", "xlsx"}, cobra.ShellCompDirectiveFilterFileExt
}

// readSheet parses the sheet and writes its faults to the output.
func (flags *flags) readSheet(command *cobra.Command, loaded Settings, file string) (*plan.Plan, error) {
	catalogue, err := loaded.loadCatalogue()
	if err != nil {
		return nil, err
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(errUsage, err.Error())
	}
	parsed, err := sheet.Parse(data, catalogue)
	var faults sheet.Faults
	if !errors.As(err, &faults) {
		return parsed, err
	}
	if flags.output == outputJSON {
		written := writeJSON(command.OutOrStdout(), faultsOutput{
			File:   file,
			Faults: faults,
		})
		return nil, errors.Join(err, written)
	}
	for _, fault := range faults {
		fmt.Fprintf(command.OutOrStdout(), "%s: %s\n", file, fault)
	}
	return nil, err
}

type faultsOutput struct {
	File   string       `json:"file"`
	Faults sheet.Faults `json:"faults"`
}

type checkOutput struct {
	File   string      `json:"file"`
	Rules  int         `json:"rules"`
	Digest plan.Digest `json:"digest"`
}

func newCheck(flags *flags) *cobra.Command {
	return &cobra.Command{
		Use:               "check FILE",
		Short:             "Checks a sheet and publishes nothing",
		Example:           "  tanagerctl plan check monday.xlsx --catalogue catalogue.yaml",
		Args:              arguments(1),
		ValidArgsFunction: sheetFiles,
		RunE: func(command *cobra.Command, given []string) error {
			loaded, err := flags.load()
			if err != nil {
				return err
			}
			parsed, err := flags.readSheet(command, loaded, given[0])
			if err != nil {
				return err
			}
			checked := checkOutput{
				File:   given[0],
				Rules:  len(parsed.Rules),
				Digest: plan.DigestOf(parsed),
			}
			if flags.output == outputJSON {
				return writeJSON(command.OutOrStdout(), checked)
			}
			fmt.Fprintf(command.OutOrStdout(), "%s: no faults, %d rules, digest %s\n", checked.File, checked.Rules, checked.Digest)
			return nil
		},
	}
}

// history reads the plan stream to its end. wanted is the version to keep the
// plan of, or 0.
func (flags *flags) history(ctx context.Context, loaded Settings, wanted int64) (*publication.History, error) {
	client, err := loaded.platform()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, flags.timeout)
	defer cancel()
	history := publication.NewHistory(client, loaded.PlanStream)
	history.Keep(wanted)
	err = history.ReadToEnd(ctx)
	if err != nil {
		return nil, err
	}
	return history, nil
}

type diffOutput struct {
	File    string      `json:"file"`
	Version int64       `json:"version"`
	Change  plan.Change `json:"change"`
	Kept    []plan.Rule `json:"kept,omitempty"`
}

func newDiff(flags *flags) *cobra.Command {
	return &cobra.Command{
		Use:               "diff FILE",
		Short:             "Shows what a sheet would change in the current plan",
		Example:           "  tanagerctl plan diff monday.csv",
		Args:              arguments(1),
		ValidArgsFunction: sheetFiles,
		RunE: func(command *cobra.Command, given []string) error {
			loaded, err := flags.load()
			if err != nil {
				return err
			}
			parsed, err := flags.readSheet(command, loaded, given[0])
			if err != nil {
				return err
			}
			history, err := flags.history(command.Context(), loaded, 0)
			if err != nil {
				return err
			}
			difference := diffOutput{
				File: given[0],
			}
			difference.Version, difference.Change, difference.Kept = history.Diff(parsed)
			if flags.output == outputJSON {
				return writeJSON(command.OutOrStdout(), difference)
			}
			fmt.Fprintf(command.OutOrStdout(), "%s against version %d:\n", difference.File, difference.Version)
			writeChange(command.OutOrStdout(), difference.Change)
			writeKept(command, difference.Kept)
			return nil
		},
	}
}

func writeKept(command *cobra.Command, kept []plan.Rule) {
	for _, rule := range kept {
		fmt.Fprintf(command.OutOrStdout(), "kept until the sheet's row holds: %s\n", rule.Key())
	}
}

func newPublish(flags *flags) *cobra.Command {
	var request publication.Request
	var base int64
	command := &cobra.Command{
		Use:   "publish FILE",
		Short: "Publishes a sheet and reads it back from the log",
		Example: "  tanagerctl plan publish monday.xlsx --author ayla\n" +
			"  tanagerctl plan publish monday.xlsx --base 41",
		Args:              arguments(1),
		ValidArgsFunction: sheetFiles,
		RunE: func(command *cobra.Command, given []string) error {
			if command.Flags().Changed("base") {
				request.Base = &base
			}
			return flags.publish(command, given[0], request)
		},
	}
	local := command.Flags()
	local.Int64Var(&base, "base", 0, "version that the sheet is based on (default: the current one)")
	local.StringVar(&request.PublishID, "publish-id", "", "name of the attempt (default: derived from base, sheet, author and guards)")
	local.StringSliceVar(&request.EnableGuards, "enable-guard", nil, "guard to enable: admission, retry-budget, ejection, occupancy-check")
	local.StringSliceVar(&request.DisableGuards, "disable-guard", nil, "guard to disable")
	local.BoolVar(&request.Recover, "recover", false, "publish without a base, when no VM has a plan and the log's records are gone")
	mustComplete(command, "enable-guard", publication.Guards()...)
	mustComplete(command, "disable-guard", publication.Guards()...)
	command.MarkFlagsMutuallyExclusive("base", "recover")
	return command
}

func (flags *flags) publish(command *cobra.Command, file string, request publication.Request) error {
	loaded, err := flags.load()
	if err != nil {
		return err
	}
	if request.PublishID != "" && !plan.ValidPublishID(request.PublishID) {
		return eris.Wrapf(errUsage, "--publish-id %q, allowed are 8 to 64 letters, digits, '.', '_' and '-'", request.PublishID)
	}
	request.Author = loaded.Author
	if len(request.Author) > plan.MaxAuthorBytes {
		return eris.Wrapf(errUsage, "--author has more than %d bytes", plan.MaxAuthorBytes)
	}
	request.Sheet, err = flags.readSheet(command, loaded, file)
	if err != nil {
		return err
	}
	client, err := loaded.platform()
	if err != nil {
		return err
	}
	if request.Recover {
		err = flags.confirmRecovery(command.Context(), loaded)
		if err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(command.Context(), flags.timeout)
	defer cancel()
	result, err := publication.NewPublisher(client, loaded.PlanStream).Publish(ctx, request)
	if err != nil {
		flags.reportConflict(command, err)
		return err
	}
	if flags.output == outputJSON {
		return writeJSON(command.OutOrStdout(), result)
	}
	fmt.Fprintf(command.OutOrStdout(), "%s: %s as version %d (publish ID %s, digest %s)\n",
		file, result.Outcome, result.Version, result.PublishID, result.Digest)
	if result.Current > result.Version {
		fmt.Fprintf(command.OutOrStdout(), "replaced since: version %d is current\n", result.Current)
	}
	writeKept(command, result.Kept)
	return nil
}

// confirmRecovery refuses a recovery while a VM that can be asked has a plan:
// a recovery would replace it without a conflict.
func (flags *flags) confirmRecovery(ctx context.Context, loaded Settings) error {
	reached, err := loaded.fleet()
	if err != nil {
		return err
	}
	defer reached.client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(ctx, flags.timeout)
	defer cancel()
	for _, status := range reached.askAll(ctx, loaded.OperatorAddresses) {
		if status.Version > 0 {
			return eris.Wrapf(errUsage, "%s has version %d: --recover is for the loss of every VM's plan", status.Address, status.Version)
		}
	}
	return nil
}

type conflictOutput struct {
	Conflict string             `json:"conflict"`
	Winner   publication.Winner `json:"winner"`
	Change   plan.Change        `json:"change"`
}

// reportConflict writes the difference between the winner's plan and the one
// that was refused.
func (flags *flags) reportConflict(command *cobra.Command, err error) {
	report := conflictOutput{
		Conflict: err.Error(),
	}
	var conflict *publication.ConflictError
	var replaced *publication.ReplacedError
	switch {
	case errors.As(err, &conflict):
		report.Winner, report.Change = conflict.Winner, conflict.Change
	case errors.As(err, &replaced):
		report.Winner, report.Change = replaced.Winner, replaced.Change
	default:
		return
	}
	if flags.output == outputJSON {
		// The conflict itself is returned; a failed write adds nothing to it.
		_ = writeJSON(command.OutOrStdout(), report)
		return
	}
	fmt.Fprintf(command.OutOrStdout(), "from version %d to this sheet:\n", report.Winner.Version)
	writeChange(command.OutOrStdout(), report.Change)
}

func newHistory(flags *flags) *cobra.Command {
	var all bool
	command := &cobra.Command{
		Use:     "history",
		Short:   "Lists the versions and conflicts that the log still has",
		Example: "  tanagerctl plan history --all",
		Args:    arguments(0),
		RunE: func(command *cobra.Command, _ []string) error {
			loaded, err := flags.load()
			if err != nil {
				return err
			}
			history, err := flags.history(command.Context(), loaded, 0)
			if err != nil {
				return err
			}
			entries := shownEntries(history.Entries(), all)
			if flags.output == outputJSON {
				return writeJSON(command.OutOrStdout(), entries)
			}
			return writeTable(command.OutOrStdout(),
				[]string{"OFFSET", "AT", "RECORD", "VERDICT", "BASE", "AUTHOR", "PUBLISH ID", "DETAIL"}, entryRows(entries))
		},
	}
	command.Flags().BoolVar(&all, "all", false, "also snapshots, repeated appends and damaged records")
	return command
}

func shownEntries(entries []publication.Entry, all bool) []publication.Entry {
	shown := make([]publication.Entry, 0, len(entries))
	for _, entry := range entries {
		minor := entry.Verdict != publication.Adopted && entry.Verdict != publication.Conflict
		if all || !minor {
			shown = append(shown, entry)
		}
	}
	return shown
}

func entryRows(entries []publication.Entry) [][]string {
	rows := make([][]string, 0, len(entries))
	for _, entry := range entries {
		rows = append(rows, []string{
			strconv.FormatInt(entry.Offset, 10),
			timeOf(entry.AtMs),
			entry.Record,
			string(entry.Verdict),
			numberOrDash(entry.Base),
			textOrDash(entry.Author),
			textOrDash(entry.PublishID),
			textOrDash(entry.Detail),
		})
	}
	return rows
}

func newExport(flags *flags) *cobra.Command {
	var version int64
	command := &cobra.Command{
		Use:     "export",
		Short:   "Writes a plan as a CSV sheet, or as JSON",
		Example: "  tanagerctl plan export > current.csv",
		Args:    arguments(0),
		RunE: func(command *cobra.Command, _ []string) error {
			loaded, err := flags.load()
			if err != nil {
				return err
			}
			history, err := flags.history(command.Context(), loaded, version)
			if err != nil {
				return err
			}
			current, _, content, _ := history.Current()
			if version != 0 {
				current, content = version, history.Plan()
			}
			if current == 0 || content == nil {
				return eris.Errorf("the log has no plan of version %d", version)
			}
			if flags.output == outputJSON {
				return writeJSON(command.OutOrStdout(), content)
			}
			return sheet.Write(command.OutOrStdout(), content)
		},
	}
	command.Flags().Int64Var(&version, "version", 0, "version to be written (default: the current one)")
	return command
}
