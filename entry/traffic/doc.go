// Package traffic executes the decisions of the control loop that need I/O: an
// Executor sends tasks and status queries to upstreams, and a PeerSender sends
// messages to peers. Each operation runs on a goroutine of its own and reports its
// result to the control loop.
package traffic
