// Package cell schedules the jobs of many entry VMs on the upstreams of one
// cell, which is the set of all upstreams that one process can schedule.
//
// A Cell is a pure state machine: it receives events and the time, and returns
// decisions for the process to carry out. Two properties make it safe to lose
// and replace a Cell. The entry VM that holds a caller's connection keeps the
// job and submits it again to a new Cell. Each upstream keeps the highest
// fencing token that it has seen and rejects the orders of a replaced Cell.
//
// A new Cell polls an upstream before it renews a lease or starts a run there,
// and adopts the runs of jobs that it has or that are submitted within the
// adoption window. A task is started again only when its previous run has
// ended, was never started and can no longer start, or has outlived its lease
// on the upstream's own clock.
package cell
