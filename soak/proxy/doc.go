// Package proxy forwards TCP connections on loopback and disturbs them.
package proxy
