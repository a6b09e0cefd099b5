package fault

import "time"

// Span is the time in which a fault is in force. Its zero value is over. It
// is not safe for concurrent use.
type Span struct {
	on    bool
	until time.Time
}

// NewSpan returns a span from now on; a duration of 0 has no end.
func NewSpan(now time.Time, duration time.Duration) Span {
	span := Span{
		on: true,
	}
	if duration > 0 {
		span.until = now.Add(duration)
	}
	return span
}

// In tells whether the fault is in force.
func (span *Span) In(now time.Time) bool {
	return span.on && (span.until.IsZero() || now.Before(span.until))
}
