// Package estimate predicts the run times of tasks on upstreams from those of
// earlier tasks.
//
// A prediction is the declared run time, times the kind's ratio of actual to
// declared work, divided by the upstream's speed. Both factors are moving averages
// in logarithmic space that start from a prior: a ratio of 1 and the declared
// speed. Speed 1 is the reference speed that declared run times refer to.
package estimate
