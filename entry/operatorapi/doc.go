// Package operatorapi serves operators of an entry VM over HTTP: health,
// readiness, metrics, state dump and drain.
package operatorapi
