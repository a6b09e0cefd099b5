// Package region decides, without agreement, which process schedules the
// upstreams of a region.
//
// Every process hears the heartbeats of the others and computes the same rule
// from them. A wrong or differing result is harmless: upstreams obey the
// highest fencing token only, so two schedulers never run the same upstream,
// and a process that can't see most of the others takes only the upstreams
// whose home is a process that it sees.
package region
