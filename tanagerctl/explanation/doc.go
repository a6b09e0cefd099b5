// Package explanation determines from the logs of entry VMs why jobs were refused,
// failed or answered late.
//
// Logs collects the log events about the end of jobs, the runs that were stopped
// or lost, and the changes of the scheduler. Logs.Explain derives a cause for each
// job from the events with its ID and from those of its entry VM during its time.
package explanation
