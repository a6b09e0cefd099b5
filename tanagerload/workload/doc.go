// Package workload generates the jobs of an experiment and their arrival times
// from a seed, and computes their ideal response times. The same seed gives the
// same jobs.
package workload
