// Package placement assigns waiting tasks to idle slots of upstreams and decides
// in which order and when.
//
// A Scheduler holds the waiting tasks and the slots of the upstreams that one
// entry VM may use. Each change (Enqueue, Requeue, Finish, SetUpstream and so
// on) is followed by calls of Next until it places no more tasks; Wake returns
// the time at which Next has to be called although nothing changed. The order
// of the tasks and the choice of the upstream follow a Policy, a sealed
// interface handled by type switches. Teams share the slots by weight.
//
// The ideal response time of a job is the shortest possible one: that of its longest
// task on the fastest upstream or of all its work on the total capacity, whichever is
// longer, plus the network round trip.
//
// The package reads no clock and does no I/O: the caller passes in the time and
// the random source. Run times come from an estimate.Estimator.
package placement
