// Package result holds the JSON result of an experiment and computes it from
// the outcomes of its jobs.
package result
