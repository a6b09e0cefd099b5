// Package job defines jobs, their tasks and their answers in the form in which they
// are exchanged with callers, and validates submitted jobs.
//
// The types are encoded as JSON with kebab-case keys. Times are in milliseconds,
// memory is in megabytes.
package job
