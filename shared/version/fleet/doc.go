// Package fleet holds an entry VM's view of the other VMs and what follows
// from it: who is live, who owns which upstream, how slots are lent between
// entry VMs, and how team caps are divided.
//
// Everything here is a pure state machine: events and the current time go in,
// decisions come out. The control goroutine owns the values.
package fleet
