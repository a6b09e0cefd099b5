// Package check compares what callers and workers see with the platform's
// guarantees: no task runs twice at the same time, a job reported as not run
// starts no task, a job reported as complete has run all its tasks, a draining
// worker gets no tasks, and a process keeps the configurations that it serves.
package check
