// Package load runs an experiment against running entry VMs. It submits each
// job at its scheduled time, whether or not earlier jobs are answered (an open
// loop), sends fault commands to the stand-ins, measures response times and
// messages, and checks the answers against the workers' journals.
package load
