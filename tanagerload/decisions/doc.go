// Package decisions measures placement policies on virtual time: an event loop
// drives placement.Scheduler and estimate.Estimator directly and runs the
// tasks on modelled slots. No socket, clock or goroutine of the system takes
// part, so a run shows the quality of the decisions alone.
package decisions
