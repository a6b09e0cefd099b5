// Package submission issues and verifies submission IDs and remembers what
// became of each.
//
// A submission ID names the one process incarnation that may ever start the
// tasks of the submission. The Ledger of that incarnation is the only place
// where an ID changes from unspent to spent, so a resubmission needs no
// agreement between VMs.
package submission
