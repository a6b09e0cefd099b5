// Package upstream speaks the workers' HTTP protocol and says, for each task
// that did not end normally, whether it is proved that it never started.
//
// The messages are described in docs/platform-protocol.md.
package upstream
