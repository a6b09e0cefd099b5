// Package certificate loads the TLS certificate, key and authorities of a process
// from PEM files. The files can be loaded again without a restart.
package certificate
