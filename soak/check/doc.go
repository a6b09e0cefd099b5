// Package check holds what callers and workers see against the promises.
package check
