// Package worker is a stand-in for a worker: it speaks the workers' HTTP
// protocol, pretends to run tasks by waiting, and has faults on command.
//
// The protocol and the faults are described in docs/platform-protocol.md.
package worker
