package sheet

import (
	"fmt"
	"strings"
)

// Fault is one fault of a sheet.
type Fault struct {
	// Row is the row in the spreadsheet or the line of the CSV file, from 1;
	// 0 means the file as a whole.
	Row int `json:"row,omitempty"`
	// Column is the name of the column, and Letter its place in the
	// spreadsheet; both are empty where the fault concerns the whole row.
	Column  string `json:"column,omitempty"`
	Letter  string `json:"letter,omitempty"`
	Value   string `json:"value,omitempty"`
	Problem string `json:"problem"`
	Allowed string `json:"allowed,omitempty"`
}

// maxQuotedRunes bounds how much of a value is quoted.
const maxQuotedRunes = 60

// String returns one line: place, value, problem and what is allowed.
func (fault Fault) String() string {
	var text strings.Builder
	switch {
	case fault.Row == 0:
		text.WriteString("file")
	case fault.Column == "" && fault.Letter == "":
		fmt.Fprintf(&text, "row %d", fault.Row)
	case fault.Column == "":
		fmt.Fprintf(&text, "row %d, column %s", fault.Row, fault.Letter)
	default:
		fmt.Fprintf(&text, "row %d, column %s (%s%d)", fault.Row, fault.Column, fault.Letter, fault.Row)
	}
	if fault.Value != "" {
		fmt.Fprintf(&text, ": %q", truncate(fault.Value))
	}
	text.WriteString(": " + fault.Problem)
	if fault.Allowed != "" {
		text.WriteString("; allowed: " + fault.Allowed)
	}
	return text.String()
}

func truncate(value string) string {
	runes := []rune(value)
	if len(runes) <= maxQuotedRunes {
		return value
	}
	return string(runes[:maxQuotedRunes]) + "..."
}

// Faults are all the faults of a sheet, in the order of rows and columns.
type Faults []Fault

// Error returns one line for each fault.
func (faults Faults) Error() string {
	lines := make([]string, 0, len(faults))
	for _, fault := range faults {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}
