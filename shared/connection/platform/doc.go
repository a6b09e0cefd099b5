// Package platform speaks the platform's HTTP protocol: the append-only log
// with offsets and the list of VMs.
//
// The messages are described in docs/platform-protocol.md.
package platform
