package callerapi

import (
	"errors"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/semaphore"

	"tanagerfall/entry/route"
	"tanagerfall/shared/request/job"
)

const (
	// MaxBodyBytes bounds the body of a job.
	MaxBodyBytes = 12 << 20
	// BodyMemoryBytes bounds the bodies of all requests in progress together.
	BodyMemoryBytes = 64 << 20
	// bodyChunkBytes is what a body takes of BodyMemoryBytes at a time, as its
	// bytes arrive: a caller that only announces a long body holds little.
	bodyChunkBytes = 16 << 10
)

// The errors of reading a body.
var (
	errCut     = eris.New("body was cut")
	errTooLong = eris.Errorf("body has more than %d bytes", MaxBodyBytes)
	errMemory  = eris.New("too many bodies are in progress")
	// errDigest means that the body was changed on its way.
	errDigest = eris.New("body does not match its digest")
)

// memory is a bound on the bytes of the bodies in progress.
type memory struct {
	left *semaphore.Weighted
}

func newMemory(bytes int64) *memory {
	return &memory{
		left: semaphore.NewWeighted(bytes),
	}
}

// read reads a body. release must be called when the request has ended,
// whatever the error.
func (memory *memory) read(request *http.Request) (body []byte, release func(), err error) {
	held := int64(0)
	release = func() { memory.left.Release(held) }
	for {
		if !memory.left.TryAcquire(bodyChunkBytes) {
			return nil, release, errMemory
		}
		held += bodyChunkBytes
		chunk := make([]byte, bodyChunkBytes)
		count, err := io.ReadFull(request.Body, chunk)
		body = append(body, chunk[:count]...)
		if len(body) > MaxBodyBytes {
			return nil, release, errTooLong
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) && whole(request, len(body)):
			return body, release, nil
		default:
			return nil, release, eris.Wrap(errCut, err.Error())
		}
	}
}

// whole reports whether a body that ended has the announced length. Both a
// short last chunk and a broken connection end with io.ErrUnexpectedEOF.
func whole(request *http.Request, length int) bool {
	if request.ContentLength >= 0 {
		return int64(length) == request.ContentLength
	}
	_, err := request.Body.Read(make([]byte, 1))
	return errors.Is(err, io.EOF)
}

func parseBody(data []byte, digest, team string) route.Body {
	if digest != "" && digest != Digest(data) {
		return route.Body{
			Invalid: errDigest,
		}
	}
	parsed, err := job.Parse(data, team)
	return route.Body{
		Raw:     data,
		Job:     parsed,
		Invalid: err,
	}
}

// unread answers a request whose body could not be read. Its submission ID is
// not spent, so nothing says that no other copy of it ran or will run.
func unread(err error) problem {
	if errors.Is(err, errMemory) {
		answer := job.Failure(job.StartedUnknown, job.ReasonNotDelivered, err.Error())
		answer.RetryAfterMs = retryAfterMemoryMs
		return problem{
			status: http.StatusServiceUnavailable,
			answer: answer,
		}
	}
	return problem{
		status: http.StatusBadRequest,
		answer: job.Failure(job.StartedUnknown, job.ReasonInvalid, err.Error()),
	}
}

// retryAfterMemoryMs is the advice to callers whose body found no room.
const retryAfterMemoryMs = 200
