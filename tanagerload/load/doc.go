// Package load runs an experiment: it submits jobs at their scheduled times
// whatever the state of earlier ones, commands faults, and measures.
package load
