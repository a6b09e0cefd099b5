// Package limit provides the overload protection of a dispatcher: admission
// control for whole jobs, token buckets that limit retries and other extra work
// in proportion to the regular traffic, and exponential backoff with jitter.
//
// The package reads no clock and does no I/O: times and the random source are
// passed in.
package limit
