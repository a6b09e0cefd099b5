package platform

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// The errors of the client. They are wrapped with the call and its cause.
var (
	// ErrUnavailable means that the platform did not serve the call, and that
	// an append had no effect.
	ErrUnavailable = eris.New("platform unavailable")
	// ErrAppendUnknown means that an append may or may not have taken effect:
	// the request was handed to the connection and no usable reply came.
	ErrAppendUnknown = eris.New("append may have taken effect")
	// ErrRefused means that the platform refused the request itself; the same
	// request will be refused again.
	ErrRefused = eris.New("request refused by the platform")
)

// TrimmedError says that the record asked for is no longer retained.
type TrimmedError struct {
	Stream      string
	From        int64
	FirstOffset int64
	NextOffset  int64
}

// Error describes the gap.
func (trimmed *TrimmedError) Error() string {
	return fmt.Sprintf("stream %s: offset %d is trimmed, the first retained offset is %d",
		trimmed.Stream, trimmed.From, trimmed.FirstOffset)
}
