// Package binding binds Idempotency-Keys to submission IDs. Its Service runs the
// state machine of shared/request/binding: it carries out the appends and reads
// that the state machine requests, and returns the results to the callers.
package binding
