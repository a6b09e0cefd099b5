// Package dispatcher runs the control loop of an entry VM of a region: it
// holds the jobs of this VM's callers, submits them to the process that
// schedules, and schedules itself when that is its turn.
//
// One goroutine owns all state; everything else sends it events.
package dispatcher
