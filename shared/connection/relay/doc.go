// Package relay spreads the orders of a scheduler over the entry VMs of its
// region.
//
// An order costs its sender an HTTP request to the upstream, which is most of
// the cost of starting a run. A scheduler with many upstreams therefore sends
// its orders in batches to other entry VMs, the relays, which execute them and
// send the replies back. A relay makes no decisions. An order that a relay loses
// or executes late is to the scheduler the same as one that the network loses or
// delays.
//
// Tracker is free of side effects: it receives the time as an argument and
// returns the batches to send and the events for the scheduler's cell.Cell. It is
// not safe for concurrent use.
package relay
