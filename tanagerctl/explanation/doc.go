// Package explanation finds out from the logs of entry VMs why jobs were
// refused, failed or answered late.
package explanation
