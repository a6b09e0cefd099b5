// Package fault holds what the stand-ins for workers and for the platform
// share to inject faults on command: the JSON form and the HTTP handler of the
// commands, the gate that freezes a stand-in, and the HTTP middleware for
// delays and partitions.
//
// docs/platform-protocol.md describes the commands.
package fault
