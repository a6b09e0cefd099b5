// Package handover moves the ledger of an entry VM to a successor in its failure
// domain during a graceful shutdown.
//
// The Sender sends the frozen ledger in pieces and then one commit. Once the
// commit is sent, the sending VM spends no ID of the ledger and tries no other
// successor, whether or not the commit is acknowledged. The exceptions are a
// commit that certainly was not delivered and one that the receiver refused
// permanently. The Receiver stages the pieces and passes them to the ledger only with
// the commit. Two VMs can therefore never spend the same ID, and if a commit is
// lost, no VM can.
//
// Both are state machines that do no I/O themselves.
package handover
