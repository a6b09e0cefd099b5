package platform

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// The errors of Client. They are wrapped with the call and its cause.
var (
	// ErrUnavailable means that the platform did not serve the call and may
	// serve it later. An append had no effect.
	ErrUnavailable = eris.New("platform unavailable")
	// ErrAppendUnknown means that an append may or may not have taken effect:
	// the request had a connection and no usable reply arrived.
	ErrAppendUnknown = eris.New("append may have taken effect")
	// ErrRefused means that the request itself is not acceptable. The same
	// request will be refused again.
	ErrRefused = eris.New("request refused by the platform")
)

// TrimmedError reports that the requested record is no longer retained.
type TrimmedError struct {
	Stream string
	// From is the requested offset.
	From int64
	// FirstOffset is the offset of the first retained record.
	FirstOffset int64
	// NextOffset is the offset that the next append gets.
	NextOffset int64
}

// Error names the stream, the requested offset and the first retained one.
func (trimmed *TrimmedError) Error() string {
	return fmt.Sprintf("stream %s: offset %d was trimmed, the first retained offset is %d",
		trimmed.Stream, trimmed.From, trimmed.FirstOffset)
}
