// Package workload draws the jobs of an experiment and their arrival times
// from a seed, and computes their ideal response times.
package workload
