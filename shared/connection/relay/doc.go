// Package relay spreads the orders of a scheduler over the entry VMs of its
// region.
//
// An order costs its sender an HTTP exchange with the upstream, which is most
// of what a start costs. A scheduler with many upstreams therefore hands its
// orders in batches to other entry VMs, the relays, which carry them out and
// send the answers back. A relay decides nothing. An order that a relay loses
// or carries out late is to the scheduler the same as one that the network
// loses or delays.
//
// Tracker is pure: the times come in as arguments, the batches and the events
// go out. It is not safe for concurrent use.
package relay
