// Package caller submits jobs to entry VMs through the callers' HTTP interface
// (docs/caller-api.md), with retries and failover like a production caller, and
// counts the requests that this takes.
package caller
