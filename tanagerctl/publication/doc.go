// Package publication publishes plans on the platform's log and reads their
// history from it.
package publication
