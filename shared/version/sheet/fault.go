package sheet

import (
	"fmt"
	"strings"
)

// Fault describes one error in a sheet.
type Fault struct {
	// Row is the row in the spreadsheet or the line of the CSV file, from 1; 0
	// means that the fault concerns the file as a whole.
	Row int `json:"row,omitempty"`
	// Column is the name of the column, and Letter the spreadsheet's letter for
	// it. Column is empty in the header and for columns without a header; both
	// are empty if the fault concerns the whole row.
	Column string `json:"column,omitempty"`
	Letter string `json:"letter,omitempty"`
	// Value is the text of the cell, the name of a missing column or the key of
	// a duplicate row.
	Value   string `json:"value,omitempty"`
	Problem string `json:"problem"`
	// Allowed describes valid values; it is empty where that is evident.
	Allowed string `json:"allowed,omitempty"`
}

// maxQuotedRunes is the length at which String truncates a value.
const maxQuotedRunes = 60

// String returns one line with the position, the value, the problem and what is
// allowed.
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

// truncate returns the first maxQuotedRunes characters of a value, with "..." for
// the rest.
func truncate(value string) string {
	runes := []rune(value)
	if len(runes) <= maxQuotedRunes {
		return value
	}
	return string(runes[:maxQuotedRunes]) + "..."
}

// Faults is the error that Parse returns: all faults of a sheet, in the order of
// rows and columns.
type Faults []Fault

// Error returns the faults as lines, one for each fault.
func (faults Faults) Error() string {
	lines := make([]string, 0, len(faults))
	for _, fault := range faults {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}
