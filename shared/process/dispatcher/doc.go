// Package dispatcher runs the control loop of an entry VM in a region.
//
// The loop holds the jobs of this VM's callers and submits them to the elected
// scheduler of the region. It follows the heartbeats of the other entry VMs, and
// when it is elected itself it schedules the region with a cell.Cell. It also
// acts as a relay: it executes orders to upstreams for a scheduler elsewhere.
//
// A single goroutine owns all state; all other goroutines send it events.
//
// In a divided region a process exchanges heartbeats with the processes of its own
// cell, and with processes of other cells only while one of the two has jobs of the
// other.
package dispatcher
