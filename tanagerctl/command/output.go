package command

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"tanagerfall/shared/version/plan"
)

// maxShownRules is the maximum number of changed rules in the text output. The
// JSON output has all of them.
const maxShownRules = 50

func writeJSON(writer io.Writer, value any) error {
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	return eris.Wrap(encoder.Encode(value), "write the output")
}

// writeTable writes a header and rows with aligned columns.
func writeTable(writer io.Writer, header []string, rows [][]string) error {
	const padding = 2
	table := tabwriter.NewWriter(writer, 0, 0, padding, ' ', 0)
	for _, row := range append([][]string{header}, rows...) {
		fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	return eris.Wrap(table.Flush(), "write the output")
}

// writeChange writes one line for each changed rule: "+" marks an added rule or the
// new value of a changed one, "-" a removed rule. "~" marks a change of the failure
// domains, guards or evacuations.
func writeChange(writer io.Writer, change plan.Change) {
	if change.IsEmpty() {
		fmt.Fprintln(writer, "no difference")
		return
	}
	if change.Domains != nil {
		fmt.Fprintln(writer, "~ failure domains: "+strings.Join(*change.Domains, ", "))
	}
	if change.Guards != nil {
		fmt.Fprintf(writer, "~ guards: %s\n", describeGuards(*change.Guards))
	}
	if change.Evacuated != nil {
		fmt.Fprintf(writer, "~ evacuated: %s\n", describeDomains(*change.Evacuated))
	}
	shown := 0
	for _, key := range change.Remove {
		shown = writeRuleLine(writer, shown, "- "+key.String())
	}
	for _, rule := range change.Set {
		shown = writeRuleLine(writer, shown, "+ "+rule.Key().String()+" "+describeRule(rule))
	}
	if hidden := len(change.Remove) + len(change.Set) - shown; hidden > 0 {
		fmt.Fprintf(writer, "... and %d more; --output json shows all\n", hidden)
	}
}

// writeRuleLine writes the line of one rule, unless shown rules are already the
// maximum. It returns the new number of shown rules.
func writeRuleLine(writer io.Writer, shown int, line string) int {
	if shown >= maxShownRules {
		return shown
	}
	fmt.Fprintln(writer, line)
	return shown + 1
}

func describeRule(rule plan.Rule) string {
	return fmt.Sprintf("share %g, cap %d, cores %d, memory-mb %d, accelerators %d, idempotent %t, deadline-ms %d, priority %d, spill %t",
		rule.Share, rule.Cap, rule.Cores, rule.MemoryMb, rule.Accelerators, rule.Idempotent, rule.DeadlineMs, rule.Priority, rule.Spill)
}

func describeDomains(domains plan.Domains) string {
	if len(domains) == 0 {
		return "none"
	}
	return strings.Join(domains, ", ")
}

func describeGuards(guards plan.Guards) string {
	if guards == (plan.Guards{}) {
		return "all enabled"
	}
	var disabled []string
	for _, guard := range []struct {
		name     string
		disabled bool
	}{
		{
			name:     "admission",
			disabled: guards.NoAdmission,
		},
		{
			name:     "retry-budget",
			disabled: guards.NoRetryBudget,
		},
		{
			name:     "ejection",
			disabled: guards.NoEjection,
		},
		{
			name:     "occupancy-check",
			disabled: guards.NoOccupancyCheck,
		},
	} {
		if guard.disabled {
			disabled = append(disabled, guard.name)
		}
	}
	return strings.Join(disabled, ", ") + " disabled"
}

// timeOrDash formats a Unix time in ms in UTC, and returns "-" for 0.
func timeOrDash(unixMs int64) string {
	if unixMs == 0 {
		return "-"
	}
	return time.UnixMilli(unixMs).UTC().Format(time.RFC3339)
}

func numberOrDash(number int64) string {
	if number == 0 {
		return "-"
	}
	return strconv.FormatInt(number, 10)
}

func textOrDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
