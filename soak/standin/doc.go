// Package standin holds the stand-ins of a soak for the platform's log and its
// workers, with faults.
package standin
