// Package standin implements stand-ins for the platform's log and for workers, with
// faults that a soak switches on and off.
package standin
