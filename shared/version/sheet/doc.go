// Package sheet parses the operators' spreadsheet, in CSV or XLSX, into a plan,
// and writes a plan as CSV. Parsing reports all faults of a sheet at once, each
// with its row and column.
//
// docs/operators.md describes the columns. A Catalogue limits what a sheet may
// name and assign.
package sheet
