// Package result defines the JSON result of an experiment and computes it from
// the outcomes of the jobs: quantiles, goodput, message counts and a timeline.
package result
