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

func newPlanCommand(flags *flags) *cobra.Command {
	command := &cobra.Command{
		Use:     "plan",
		Short:   "Checks, publishes and shows plans",
		Example: "  tanagerctl plan status --wait",
	}
	command.AddCommand(
		newPlanCheckCommand(flags),
		newPlanDiffCommand(flags),
		newPlanPublishCommand(flags),
		newPlanEvacuateCommand(flags),
		newPlanStatusCommand(flags),
		newPlanHistoryCommand(flags),
		newPlanExportCommand(flags),
	)
	return command
}

// completeSheetFile completes the argument FILE with the names of sheets.
func completeSheetFile(_ *cobra.Command, args []string, _ string) ([]string, cobra.ShellCompDirective) {
	if len(args) > 0 {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	return []string{"csv", "xlsx"}, cobra.ShellCompDirectiveFilterFileExt
}

// readSheet parses the sheet in a file. If the sheet has faults, it writes them to
// the output and returns them as the error.
func (flags *flags) readSheet(command *cobra.Command, settings Settings, file string) (*plan.Plan, error) {
	catalogue, err := settings.loadCatalogue()
	if err != nil {
		return nil, err
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(errUsage, err.Error())
	}
	sheetPlan, err := sheet.Parse(data, catalogue)
	var faults sheet.Faults
	if !errors.As(err, &faults) {
		return sheetPlan, err
	}
	if flags.output == outputJSON {
		writeErr := writeJSON(command.OutOrStdout(), faultsOutput{
			File:   file,
			Faults: faults,
		})
		return nil, errors.Join(err, writeErr)
	}
	for _, fault := range faults {
		fmt.Fprintf(command.OutOrStdout(), "%s: %s\n", file, fault)
	}
	return nil, err
}

// faultsOutput is the JSON output for a sheet with faults.
type faultsOutput struct {
	File   string       `json:"file"`
	Faults sheet.Faults `json:"faults"`
}

// checkOutput is the JSON output of plan check for a sheet without faults.
type checkOutput struct {
	File   string      `json:"file"`
	Rules  int         `json:"rules"`
	Digest plan.Digest `json:"digest"`
}

func newPlanCheckCommand(flags *flags) *cobra.Command {
	return &cobra.Command{
		Use:               "check FILE",
		Short:             "Checks a sheet and publishes nothing",
		Example:           "  tanagerctl plan check monday.xlsx --catalogue catalogue.yaml",
		Args:              exactArgs(1),
		ValidArgsFunction: completeSheetFile,
		RunE: func(command *cobra.Command, args []string) error {
			settings, err := flags.loadSettings()
			if err != nil {
				return err
			}
			sheetPlan, err := flags.readSheet(command, settings, args[0])
			if err != nil {
				return err
			}
			output := checkOutput{
				File:   args[0],
				Rules:  len(sheetPlan.Rules),
				Digest: plan.DigestOf(sheetPlan),
			}
			if flags.output == outputJSON {
				return writeJSON(command.OutOrStdout(), output)
			}
			fmt.Fprintf(command.OutOrStdout(), "%s: no faults, %d rules, digest %s\n", output.File, output.Rules, output.Digest)
			return nil
		},
	}
}

// readHistory reads the plan stream to its end. keptVersion is the version whose
// plan the History keeps, 0 for none.
func (flags *flags) readHistory(ctx context.Context, settings Settings, keptVersion int64) (*publication.History, error) {
	client, err := settings.newPlatformClient()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, flags.timeout)
	defer cancel()
	history := publication.NewHistory(client, settings.PlanStream)
	history.KeepPlan(keptVersion)
	err = history.ReadToEnd(ctx)
	if err != nil {
		return nil, err
	}
	return history, nil
}

// diffOutput is the JSON output of plan diff.
type diffOutput struct {
	File    string      `json:"file"`
	Version int64       `json:"version"`
	Change  plan.Change `json:"change"`
	Kept    []plan.Rule `json:"kept,omitempty"`
}

func newPlanDiffCommand(flags *flags) *cobra.Command {
	return &cobra.Command{
		Use:               "diff FILE",
		Short:             "Shows what a sheet would change in the current plan",
		Example:           "  tanagerctl plan diff monday.csv",
		Args:              exactArgs(1),
		ValidArgsFunction: completeSheetFile,
		RunE: func(command *cobra.Command, args []string) error {
			settings, err := flags.loadSettings()
			if err != nil {
				return err
			}
			sheetPlan, err := flags.readSheet(command, settings, args[0])
			if err != nil {
				return err
			}
			history, err := flags.readHistory(command.Context(), settings, 0)
			if err != nil {
				return err
			}
			output := diffOutput{
				File: args[0],
			}
			output.Version, output.Change, output.Kept = history.Diff(sheetPlan)
			if flags.output == outputJSON {
				return writeJSON(command.OutOrStdout(), output)
			}
			fmt.Fprintf(command.OutOrStdout(), "%s against version %d:\n", output.File, output.Version)
			writeChange(command.OutOrStdout(), output.Change)
			writeKeptRules(command, output.Kept)
			return nil
		},
	}
}

// writeKeptRules lists the current rules that stay in force until the sheet's rules
// with a later time replace them.
func writeKeptRules(command *cobra.Command, kept []plan.Rule) {
	for _, rule := range kept {
		fmt.Fprintf(command.OutOrStdout(), "kept until the sheet's row comes into force: %s\n", rule.Key())
	}
}

func newPlanPublishCommand(flags *flags) *cobra.Command {
	var request publication.Request
	var base int64
	command := &cobra.Command{
		Use:   "publish FILE",
		Short: "Publishes a sheet and reads it back from the log",
		Example: "  tanagerctl plan publish monday.xlsx --author ayla\n" +
			"  tanagerctl plan publish monday.xlsx --base 41",
		Args:              exactArgs(1),
		ValidArgsFunction: completeSheetFile,
		RunE: func(command *cobra.Command, args []string) error {
			if command.Flags().Changed("base") {
				request.Base = &base
			}
			return flags.publish(command, args[0], request)
		},
	}
	flagSet := command.Flags()
	flagSet.Int64Var(&base, "base", 0, "version that the sheet is based on (default: the current one)")
	flagSet.StringVar(&request.PublishID, "publish-id", "", "ID of the publication (default: derived from base, sheet, author and guards)")
	flagSet.StringSliceVar(&request.EnableGuards, "enable-guard", nil, "guard to enable: admission, retry-budget, ejection, occupancy-check")
	flagSet.StringSliceVar(&request.DisableGuards, "disable-guard", nil, "guard to disable")
	flagSet.BoolVar(&request.Recover, "recover", false, "publish without a base, when no VM has a plan and the log has trimmed its records")
	mustRegisterCompletion(command, "enable-guard", publication.GuardNames()...)
	mustRegisterCompletion(command, "disable-guard", publication.GuardNames()...)
	command.MarkFlagsMutuallyExclusive("base", "recover")
	return command
}

// publish publishes the sheet in a file with the options in request.
func (flags *flags) publish(command *cobra.Command, file string, request publication.Request) error {
	settings, err := flags.loadSettings()
	if err != nil {
		return err
	}
	if request.PublishID != "" && !plan.ValidPublishID(request.PublishID) {
		return eris.Wrapf(errUsage, "--publish-id %q, allowed are 8 to 64 letters, digits, '.', '_' and '-'", request.PublishID)
	}
	request.Sheet, err = flags.readSheet(command, settings, file)
	if err != nil {
		return err
	}
	return flags.publishRequest(command, settings, file, request)
}

// publishRequest publishes a request and writes the result. subject names what is
// published.
func (flags *flags) publishRequest(command *cobra.Command, settings Settings, subject string, request publication.Request) error {
	request.Author = settings.Author
	if len(request.Author) > plan.MaxAuthorBytes {
		return eris.Wrapf(errUsage, "--author has more than %d bytes", plan.MaxAuthorBytes)
	}
	client, err := settings.newPlatformClient()
	if err != nil {
		return err
	}
	if request.Recover {
		err = flags.refuseNeedlessRecovery(command.Context(), settings)
		if err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(command.Context(), flags.timeout)
	defer cancel()
	result, err := publication.NewPublisher(client, settings.PlanStream).Publish(ctx, request)
	if err != nil {
		flags.writeConflict(command, err)
		return err
	}
	if flags.output == outputJSON {
		return writeJSON(command.OutOrStdout(), result)
	}
	fmt.Fprintf(command.OutOrStdout(), "%s: %s as version %d (publish ID %s, digest %s)\n",
		subject, result.Outcome, result.Version, result.PublishID, result.Digest)
	if result.CurrentVersion > result.Version {
		fmt.Fprintf(command.OutOrStdout(), "replaced since: version %d is current\n", result.CurrentVersion)
	}
	writeKeptRules(command, result.Kept)
	return nil
}

// refuseNeedlessRecovery returns an error if an entry VM that can be reached has a
// plan, because a recovery would replace this plan without a conflict.
func (flags *flags) refuseNeedlessRecovery(ctx context.Context, settings Settings) error {
	operatorClient, err := settings.newOperatorClient()
	if err != nil {
		return err
	}
	defer operatorClient.httpClient.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(ctx, flags.timeout)
	defer cancel()
	for _, status := range operatorClient.queryAll(ctx, settings.OperatorAddresses) {
		if status.Version > 0 {
			return eris.Wrapf(errUsage, "%s has version %d: --recover is for the loss of every VM's plan", status.Address, status.Version)
		}
	}
	return nil
}

// conflictOutput is the JSON output of plan publish after a conflict.
type conflictOutput struct {
	Conflict string                  `json:"conflict"`
	Current  publication.VersionInfo `json:"winner"`
	Change   plan.Change             `json:"change"`
}

// writeConflict writes the change from the current plan to the rejected one if err
// is a conflict, and nothing for other errors.
func (flags *flags) writeConflict(command *cobra.Command, err error) {
	output := conflictOutput{
		Conflict: err.Error(),
	}
	var conflictError *publication.ConflictError
	var replacedError *publication.ReplacedError
	switch {
	case errors.As(err, &conflictError):
		output.Current, output.Change = conflictError.Current, conflictError.Change
	case errors.As(err, &replacedError):
		output.Current, output.Change = replacedError.Current, replacedError.Change
	default:
		return
	}
	if flags.output == outputJSON {
		// The caller returns the conflict as the error of the command, which
		// takes precedence over a failed write.
		_ = writeJSON(command.OutOrStdout(), output)
		return
	}
	fmt.Fprintf(command.OutOrStdout(), "from version %d to this sheet:\n", output.Current.Version)
	writeChange(command.OutOrStdout(), output.Change)
}

func newPlanHistoryCommand(flags *flags) *cobra.Command {
	var all bool
	command := &cobra.Command{
		Use:     "history",
		Short:   "Lists the versions and conflicts that the log still has",
		Example: "  tanagerctl plan history --all",
		Args:    exactArgs(0),
		RunE: func(command *cobra.Command, _ []string) error {
			settings, err := flags.loadSettings()
			if err != nil {
				return err
			}
			history, err := flags.readHistory(command.Context(), settings, 0)
			if err != nil {
				return err
			}
			entries := filterEntries(history.Entries(), all)
			if flags.output == outputJSON {
				return writeJSON(command.OutOrStdout(), entries)
			}
			return writeTable(command.OutOrStdout(),
				[]string{"OFFSET", "AT", "RECORD", "VERDICT", "BASE", "AUTHOR", "PUBLISH ID", "DETAIL"}, entryRows(entries))
		},
	}
	command.Flags().BoolVar(&all, "all", false, "also list snapshots, repeated appends and damaged records")
	return command
}

// filterEntries returns the entries with adopted versions and conflicts, or all of
// them.
func filterEntries(entries []publication.Entry, all bool) []publication.Entry {
	shown := make([]publication.Entry, 0, len(entries))
	for _, entry := range entries {
		omittedByDefault := entry.Outcome != publication.Adopted && entry.Outcome != publication.Conflict
		if all || !omittedByDefault {
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
			timeOrDash(entry.AtMs),
			entry.RecordType,
			string(entry.Outcome),
			numberOrDash(entry.Base),
			textOrDash(entry.Author),
			textOrDash(entry.PublishID),
			textOrDash(entry.Detail),
		})
	}
	return rows
}

func newPlanExportCommand(flags *flags) *cobra.Command {
	var version int64
	command := &cobra.Command{
		Use:     "export",
		Short:   "Writes a plan as a CSV sheet, or as JSON",
		Example: "  tanagerctl plan export > current.csv",
		Args:    exactArgs(0),
		RunE: func(command *cobra.Command, _ []string) error {
			settings, err := flags.loadSettings()
			if err != nil {
				return err
			}
			history, err := flags.readHistory(command.Context(), settings, version)
			if err != nil {
				return err
			}
			exportedVersion, _, exportedPlan, _ := history.Current()
			if version != 0 {
				exportedVersion, exportedPlan = version, history.KeptPlan()
			}
			if exportedVersion == 0 || exportedPlan == nil {
				return eris.Errorf("the log has no plan of version %d", version)
			}
			if flags.output == outputJSON {
				return writeJSON(command.OutOrStdout(), exportedPlan)
			}
			return sheet.Write(command.OutOrStdout(), exportedPlan)
		},
	}
	command.Flags().Int64Var(&version, "version", 0, "version to be written (default: the current one)")
	return command
}
