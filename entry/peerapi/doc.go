// Package peerapi handles the messages of other entry VMs: forwarded requests,
// heartbeats, plan pulls, loans of slots and hand-overs.
package peerapi
