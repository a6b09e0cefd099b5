// Package check compares what callers and workers see with the platform's
// guarantees: no task runs twice at the same time, a task of a kept job does not
// start again after its end was noted, a job reported as not run starts no task, a
// job reported as complete has run all its tasks, a draining worker gets no tasks,
// and a process keeps the configurations that it serves. Steps with speculative
// copies are not covered.
package check
