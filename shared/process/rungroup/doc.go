// Package rungroup runs the goroutines of a process as one group that stops
// together, built on tomb.
package rungroup
