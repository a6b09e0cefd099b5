// Package cell schedules the jobs of many entry VMs on the upstreams of one
// cell: all upstreams that one process can carry.
//
// A Cell is pure state: events and the time go in, decisions come out. Two
// things make it safe to lose and to replace. The entry VM that holds a
// caller's connection keeps the job, so that a new Cell gets every job again.
// Each upstream keeps the highest fencing token that it has seen, so that the
// orders of a replaced Cell have no effect.
//
// A new Cell looks at an upstream before it renews or starts anything there,
// and adopts the runs whose jobs it holds or gets within the adoption window.
// A task is started again only when its previous run has ended, was never
// started and can't start any more, or has outlived its lease on the
// upstream's own clock.
package cell
