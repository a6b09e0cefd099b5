package fault

import "time"

// Window is the time in which a fault is in force. Its zero value is over. It
// is not safe for concurrent use.
type Window struct {
	started bool
	until   time.Time
}

// NewWindow returns a span from now on; a duration of 0 has no end.
func NewWindow(now time.Time, duration time.Duration) Window {
	window := Window{
		started: true,
	}
	if duration > 0 {
		window.until = now.Add(duration)
	}
	return window
}

// Active tells whether the fault is in force.
func (window *Window) Active(now time.Time) bool {
	return window.started && (window.until.IsZero() || now.Before(window.until))
}
