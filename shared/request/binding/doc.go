// Package binding decides which submission ID an Idempotency-Key stands for.
//
// A binding is an entry of a record on a stream of the platform's log. Of the
// valid entries for a key the one with the lowest offset wins. Binder is the
// pure state machine of one VM: it collects proposals into records, one append
// at a time, reads the stream in order and answers from what it has read.
package binding
