// Package binding binds idempotency keys to submission IDs, so that all VMs
// use the same ID for a key.
//
// A binding is an entry of a record on a stream of the platform's log. The
// valid entry with the lowest offset binds its key. Binder is the state machine
// of one VM and does no I/O itself: it batches proposals into records, requests
// one append at a time, reads the stream in order and resolves keys from the
// records that it has read.
package binding
