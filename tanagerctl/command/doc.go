// Package command implements the command line of tanagerctl: the commands plan,
// vm and explain with their flags, settings, output formats and exit codes.
//
// plan checks, publishes and shows plans, vm drains an entry VM or dumps its state,
// and explain finds the causes of failed and late jobs in logs.
package command
