// Package check holds the answers of a run against the journals of all
// workers.
package check
