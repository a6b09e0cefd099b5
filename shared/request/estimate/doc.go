// Package estimate predicts the run time of a task on an upstream.
//
// A prediction is the declared run time, times the kind's observed ratio of
// actual to declared work, divided by the upstream's observed speed. Both
// factors are exponentially weighted moving averages that start from a prior:
// ratio 1 and the declared speed.
package estimate
