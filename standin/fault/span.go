package fault

import "time"

// Window is the time in which a fault is in force. Its zero value is over. It
// is not safe for concurrent use.
type Window struct {
	on    bool
	until time.Time
}

// NewWindow returns a span from now on; a duration of 0 has no end.
func NewWindow(now time.Time, duration time.Duration) Window {
	span := Window{
		on: true,
	}
	if duration > 0 {
		span.until = now.Add(duration)
	}
	return span
}

// Active tells whether the fault is in force.
func (span *Window) Active(now time.Time) bool {
	return span.on && (span.until.IsZero() || now.Before(span.until))
}
