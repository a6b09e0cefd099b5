// Package operatorapi serves operators over HTTP: health, readiness, metrics,
// state dump and drain.
package operatorapi
