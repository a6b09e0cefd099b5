// Package operatorapi serves operators of an entry VM over HTTP: health,
// readiness, metrics, state dump and the start of the graceful shutdown.
package operatorapi
