// Package region runs the platform processes of a soak on loopback addresses, with
// stand-ins for the log and the workers and with callers, under a seeded schedule
// of faults.
package region
