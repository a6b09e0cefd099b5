package sheet

import (
	"encoding/csv"
	"io"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"tanagerfall/shared/version/plan"
)

// Write writes the rules of a plan as a CSV sheet. Parse reads back the same rules
// if the catalogue permits them. Times are in UTC.
func Write(writer io.Writer, content *plan.Plan) error {
	csvWriter := csv.NewWriter(writer)
	err := csvWriter.Write(Columns())
	if err != nil {
		return eris.Wrap(err, "write the header")
	}
	for _, rule := range content.Rules {
		err := csvWriter.Write(ruleCells(rule))
		if err != nil {
			return eris.Wrapf(err, "write rule %s", rule.Key())
		}
	}
	csvWriter.Flush()
	return eris.Wrap(csvWriter.Error(), "write the sheet")
}

// ruleCells returns the cells of a rule in the order of Columns.
func ruleCells(rule plan.Rule) []string {
	return []string{
		rule.Team,
		rule.Kind,
		rule.Domain,
		strconv.FormatFloat(rule.Share, 'f', -1, 64),
		formatOptional(rule.Cap),
		formatOptional(rule.Cores),
		formatOptional(rule.MemoryMb),
		formatOptional(rule.Accelerators),
		formatFlag(rule.Idempotent),
		strconv.FormatInt(rule.DeadlineMs, 10),
		formatOptional(rule.Priority),
		formatFlag(rule.Spill),
		formatTime(rule.InForceFromMs),
	}
}

// formatOptional returns a blank cell for 0, the default.
func formatOptional(value int) string {
	if value == 0 {
		return ""
	}
	return strconv.Itoa(value)
}

func formatFlag(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}

func formatTime(unixMs int64) string {
	if unixMs == 0 {
		return ""
	}
	return time.UnixMilli(unixMs).UTC().Format(time.RFC3339Nano)
}
