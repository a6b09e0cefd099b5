// Package decisions measures placement policies by discrete-event simulation:
// an event loop on virtual time drives placement.Scheduler and
// estimate.Estimator directly and runs the tasks on simulated slots. No
// connection, clock or goroutine of the dispatcher is involved, so the results
// show the quality of the placement decisions alone.
package decisions
