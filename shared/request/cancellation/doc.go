// Package cancellation remembers the jobs that callers have cancelled, so that a
// process that still holds such a job, or receives it again, does not start it.
package cancellation
