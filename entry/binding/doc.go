// Package binding binds Idempotency-Keys to submission IDs: it carries out the
// steps of the state machine in shared/request/binding with the platform's
// client.
package binding
