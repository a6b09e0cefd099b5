// Package proxy forwards TCP connections and injects network faults: silence,
// one-way loss, delay, stalls, frozen connections and reset.
package proxy
