// Package rungroup runs the goroutines of a process as a group that stops as a
// whole: when one of them fails or a stop is requested, the context of all is
// cancelled. It is built on gopkg.in/tomb.v2.
package rungroup
