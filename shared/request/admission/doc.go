// Package admission decides which waiting jobs of a cell start next, which wait and
// which are refused when there is too little capacity for all of them.
//
// It answers these patterns of load: more work arrives than the upstreams can do
// before the deadlines (all kinds, or one kind alone), upstreams leave while the load
// stays, one key or one failure domain sends most of the work, and many jobs can't be
// done at all. While all jobs can meet their objectives, the order is least slack.
//
// The package is pure: jobs, capacity and the time go in, decisions come out. The
// caller places the tasks on upstreams.
package admission
