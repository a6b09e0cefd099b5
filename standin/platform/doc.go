// Package platform implements a stand-in for the platform: an append-only log
// of streams with offsets and retention, and a VM list that lags behind the
// VMs' actual states. It injects faults on command.
//
// docs/platform-protocol.md describes the protocol and the faults.
package platform
