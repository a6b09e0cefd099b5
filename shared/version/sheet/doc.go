// Package sheet turns the operators' spreadsheet, CSV or XLSX, into a plan, or
// into the list of all its faults by row and column.
//
// The columns are described in docs/operators.md.
package sheet
