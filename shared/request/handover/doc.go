// Package handover moves the ledger of an entry VM that stops as planned to a
// successor in its failure domain.
//
// The Sender sends the frozen ledger in pieces and then one commit. Whether or
// not the commit is acknowledged, it starts nothing afterwards and takes no
// other successor, unless it is certain that the commit was not delivered or
// that the receiver refused it for good. The Receiver holds the pieces apart
// and gives them to the ledger only with the commit. At no time can two VMs
// spend the same ID: a lost commit leaves none.
//
// Both are pure state machines.
package handover
