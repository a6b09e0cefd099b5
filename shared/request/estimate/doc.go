// Package estimate predicts the run time of a task on an upstream.
//
// A prediction is the declared run time, times the kind's ratio of actual to
// declared work, divided by the upstream's speed. Both factors are averages in
// log space that start from a prior: ratio 1 and the declared speed.
package estimate
