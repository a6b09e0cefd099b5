// Package submission issues and verifies submission IDs and records the state
// of each submission.
//
// A submission ID names the one process incarnation that may start the tasks
// of the submission. Only the Ledger of that incarnation changes an ID from
// unspent to spent, so a resubmission needs no agreement between VMs. A
// graceful shutdown hands the ledger over to another VM with Freeze, Export and
// Import.
package submission
