// Package logevent defines the numbered log events of all processes. The
// catalogue for operators is docs/log-events.md; a test holds the two against
// each other.
package logevent
