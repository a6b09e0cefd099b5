// Package region decides, without a consensus protocol, which process schedules
// the upstreams of a region.
//
// Every process receives the heartbeats of the others and evaluates the same
// election rule on them. Processes may come to a wrong or to different results
// without harm: an upstream obeys the highest fencing token only, so two
// schedulers never run the same upstream, and a process that can't reach most
// of the others claims only the upstreams whose home process it can reach.
//
// The home of an upstream is the process with the highest rendezvous score for
// it, within the failure domain of the upstream if that has a process. A
// process follows the scheduler to which it submits its jobs.
//
// A region is the set of failure domains whose entry VMs can reach each other within
// a few ms. A large region is divided: each failure domain is then a cell with a
// scheduler of its own, and a View holds the peers of its own cell. The roster holds
// the processes of all cells.
package region
