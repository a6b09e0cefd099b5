// Package worker implements a stand-in for a worker, the VM that runs tasks.
// It serves the workers' HTTP protocol, simulates tasks by waiting for their
// run time, and injects faults on command.
//
// docs/platform-protocol.md describes the protocol and the faults.
package worker
