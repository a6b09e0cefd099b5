// Package command implements the command line of the entry program, the process
// of an entry VM.
package command
