// Package upstream is a client of the HTTP protocol of the workers, the VMs that
// serve as upstreams. For each task that did not end normally it says whether it
// is proved that the task never started.
//
// Client.Start runs a task. Client.Query renews leases, cancels tasks and reads
// the states of tasks. The messages are described in docs/platform-protocol.md.
package upstream
