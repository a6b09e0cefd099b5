// Package certificate loads the TLS files of a process and serves them in a way
// that lets them be read again without a restart.
package certificate
