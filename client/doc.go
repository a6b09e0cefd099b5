// Package client is the Go client for callers of tanagerfall.
package client
