// Package command is the command line of the entry program.
package command
