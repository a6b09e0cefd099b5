package fault

import "time"

// Window is the period during which a fault is active. Its zero value is never
// active. It is not safe for concurrent use.
type Window struct {
	started bool
	// until is the end of the window, or zero if it has none.
	until time.Time
}

// NewWindow returns a window that begins at now. It has no end if duration is
// 0.
func NewWindow(now time.Time, duration time.Duration) Window {
	window := Window{
		started: true,
	}
	if duration > 0 {
		window.until = now.Add(duration)
	}
	return window
}

// Active reports whether now lies within the window.
func (window *Window) Active(now time.Time) bool {
	return window.started && (window.until.IsZero() || now.Before(window.until))
}
