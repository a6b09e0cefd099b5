// Package caller submits jobs to entry VMs by the callers' HTTP interface
// (docs/caller-api.md) and counts the requests that it takes.
package caller
