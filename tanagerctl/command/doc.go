// Package command is the command line of tanagerctl.
package command
