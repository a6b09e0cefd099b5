// Package proxy forwards TCP connections and injects network faults: silence,
// one-way loss, delay and reset.
package proxy
