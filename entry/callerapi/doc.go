// Package callerapi serves callers over HTTP: submission IDs, jobs and single
// requests. docs/caller-api.md describes it.
package callerapi
