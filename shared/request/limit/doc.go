// Package limit holds the small rules that keep a dispatcher within bounds:
// admission of whole jobs, the retry budget and the backoff of retries.
//
// The types are pure: the clock's reading and the random source are passed in.
package limit
