// Package platform is a stand-in for the platform: an append-only log with
// offsets and retention, and the lagging list of VMs, with faults on command.
//
// The protocol and the faults are described in docs/platform-protocol.md.
package platform
