// Package fault holds what the stand-ins of workers and of the platform share
// for faults on command: the command's JSON form, the gate that freezes a
// stand-in, and the HTTP middleware for delays and partitions.
//
// The commands are described in docs/platform-protocol.md.
package fault
