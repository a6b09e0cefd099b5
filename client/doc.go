// Package client is the Go client for callers of tanagerfall.
//
// It keeps submission IDs by connection, so that behind a balancer that places
// connections a job goes straight to the VM that owns its ID. It repeats a
// submission under the same ID after a lost answer, and takes a fresh ID only
// where that is safe.
package client
