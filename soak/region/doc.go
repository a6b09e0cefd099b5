// Package region runs the processes of a soak with their stand-ins and callers
// on loopback, under a seeded schedule of faults.
package region
