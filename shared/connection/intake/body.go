package intake

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// ErrTimeout means that a body did not arrive in time.
var ErrTimeout = eris.New("body did not arrive in time")

// blocks holds unused blocks for large bodies.
var blocks = sync.Pool{
	New: func() any { return new([blockSize]byte) },
}

// Body is the body of a request.
type Body struct {
	conn *Conn
	// first holds the beginning of the body: all of one of up to SmallBody bytes.
	first []byte
	// rest holds what follows, and restLength its length.
	rest       []*[blockSize]byte
	restLength int
}

// BeginBody limits the time for the body of a request. It has to be called before any
// other use of the body, which the server reads to the end if the handler does not.
func (conn *Conn) BeginBody(timeouts Timeouts) {
	now := time.Now()
	if conn.Conn != nil {
		_ = conn.SetReadDeadline(now.Add(timeouts.Idle))
	}
	conn.gate.mutex.Lock()
	defer conn.gate.mutex.Unlock()
	conn.gate.ledger.Read(now, conn.entry)
}

// AbortBody makes the server close the connection without reading the rest of the body. It
// has to be called before the header is written.
func (conn *Conn) AbortBody(writer http.ResponseWriter) {
	writer.Header().Set("Connection", "close")
	// The server waits between the answer and the close only after a body beyond a limit.
	// Otherwise the unread bytes reset the connection, and the client may lose the answer.
	_, _ = http.MaxBytesReader(writer, io.NopCloser(strings.NewReader("x")), 0).Read(make([]byte, 1))
	conn.gate.mutex.Lock()
	conn.gate.ledger.Leave(conn.entry)
	conn.gate.mutex.Unlock()
	conn.stop()
}

// ReadBody reads a body, of declared bytes if that is not below 0. Memory is reserved as
// bytes arrive. The error is ErrFull, ErrEvicted, ErrTimeout or that of the reader.
// Release has to be called in each case.
func (conn *Conn) ReadBody(reader io.Reader, declared int64, timeouts Timeouts) (*Body, error) {
	body := &Body{
		conn: conn,
	}
	startedAt := time.Now()
	isLarge := declared > SmallBody
	count := 0
	for {
		space, err := body.space(declared, isLarge)
		if err != nil {
			return body, err
		}
		now := time.Now()
		if now.Sub(startedAt) > timeouts.Whole {
			return body, ErrTimeout
		}
		if conn.Conn != nil {
			if err := conn.SetReadDeadline(now.Add(timeouts.Idle)); err != nil {
				return body, err
			}
		}
		if !conn.progress(now, count) {
			return body, ErrEvicted
		}
		count, err = reader.Read(space)
		body.add(count)
		switch {
		case errors.Is(err, io.EOF):
			return body, conn.endBody()
		case errors.Is(err, os.ErrDeadlineExceeded):
			if !conn.progress(now, 0) {
				return body, ErrEvicted
			}
			return body, ErrTimeout
		case err != nil:
			return body, err
		}
	}
}

// endBody ends the time limits of a body that was read whole.
func (conn *Conn) endBody() error {
	gate := conn.gate
	gate.mutex.Lock()
	gate.ledger.Serve(time.Now(), conn.entry)
	evicted := conn.entry.evicted
	gate.mutex.Unlock()
	if evicted {
		return ErrEvicted
	}
	if conn.Conn == nil {
		return nil
	}
	return conn.SetReadDeadline(time.Time{})
}

// space returns memory for the next bytes, and reserves it first.
func (body *Body) space(declared int64, isLarge bool) ([]byte, error) {
	if body.first == nil {
		size := int64(SmallBody)
		if declared >= 0 {
			// A reader may need to be read once more for the end of the body.
			size = min(declared+1, size)
		}
		if err := body.conn.reserve(size, isLarge); err != nil {
			return nil, err
		}
		body.first = make([]byte, 0, size)
	}
	if len(body.first) < cap(body.first) {
		return body.first[len(body.first):cap(body.first)], nil
	}
	used := body.restLength % blockSize
	if body.restLength == len(body.rest)*blockSize {
		if err := body.conn.reserve(blockSize, true); err != nil {
			return nil, err
		}
		body.rest = append(body.rest, blocks.Get().(*[blockSize]byte))
		used = 0
	}
	return body.rest[len(body.rest)-1][used:], nil
}

// add records that bytes were read to the memory that space returned.
func (body *Body) add(count int) {
	if len(body.first) < cap(body.first) {
		body.first = body.first[:len(body.first)+count]
		return
	}
	body.restLength += count
}

// Decode calls a function with the whole body. Large bodies are decoded one at a time.
func (body *Body) Decode(decode func(data []byte) error) error {
	if len(body.rest) == 0 {
		return decode(body.first)
	}
	body.conn.gate.assembling.Lock()
	defer body.conn.gate.assembling.Unlock()
	parts := make([][]byte, 0, 1+len(body.rest))
	parts = append(parts, body.first)
	left := body.restLength
	for _, block := range body.rest {
		length := min(left, blockSize)
		parts = append(parts, block[:length])
		left -= length
	}
	return decode(bytes.Join(parts, nil))
}

// Release ends the reservation for the body, which must not be used any more.
func (body *Body) Release() {
	for _, block := range body.rest {
		blocks.Put(block)
	}
	body.first = nil
	body.rest = nil
	body.restLength = 0
	body.conn.releaseBody()
}
