// Package callerapi serves callers over HTTP: it issues submission IDs and runs
// jobs and single requests. docs/caller-api.md describes the interface.
package callerapi
