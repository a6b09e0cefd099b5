// Package logevent defines the numbered log events of all processes and the Logger
// that writes them.
//
// The catalogue for operators is docs/log-events.md; a test compares it with the
// events in the code.
package logevent
