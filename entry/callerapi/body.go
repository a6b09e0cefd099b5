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
	// MaxBodyBytes bounds the body of one request.
	MaxBodyBytes = 12 << 20
	// BodyMemoryBytes bounds the total size of the bodies of all requests in
	// progress.
	BodyMemoryBytes = 64 << 20
	// bodyChunkBytes is the part of BodyMemoryBytes that a body reserves at a
	// time, as its bytes arrive. A caller that only announces a long body
	// therefore reserves little.
	bodyChunkBytes = 16 << 10
	// noMemoryRetryAfterMs is the retry delay in the answer to a caller whose
	// body exceeded the memory that was free.
	noMemoryRetryAfterMs = 200
)

// Errors of reading a body. Callers receive their texts.
var (
	errTruncated = eris.New("body was cut")
	errTooLong   = eris.Errorf("body has more than %d bytes", MaxBodyBytes)
	errNoMemory  = eris.New("too many bodies are in progress")
	// errDigest means that the body was changed in transit.
	errDigest = eris.New("body does not match its digest")
)

// memoryBudget bounds the total size of the bodies of the requests in progress.
type memoryBudget struct {
	available *semaphore.Weighted
}

func newMemoryBudget(bytes int64) *memoryBudget {
	return &memoryBudget{
		available: semaphore.NewWeighted(bytes),
	}
}

// read reads the body of a request and reserves memory for it. release frees the
// reserved memory. It must be called when the request has ended, also after an
// error.
func (memory *memoryBudget) read(request *http.Request) (body []byte, release func(), err error) {
	reserved := int64(0)
	release = func() { memory.available.Release(reserved) }
	for {
		if !memory.available.TryAcquire(bodyChunkBytes) {
			return nil, release, errNoMemory
		}
		reserved += bodyChunkBytes
		chunk := make([]byte, bodyChunkBytes)
		count, err := io.ReadFull(request.Body, chunk)
		body = append(body, chunk[:count]...)
		if len(body) > MaxBodyBytes {
			return nil, release, errTooLong
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) && isComplete(request, len(body)):
			return body, release, nil
		default:
			return nil, release, eris.Wrap(errTruncated, err.Error())
		}
	}
}

// isComplete reports whether a body that ended after length bytes has the
// announced length. io.ReadFull returns io.ErrUnexpectedEOF for a short last
// chunk as well as for a broken connection. A chunked body announces no length:
// another read distinguishes the two cases.
func isComplete(request *http.Request, length int) bool {
	if request.ContentLength >= 0 {
		return int64(length) == request.ContentLength
	}
	_, err := request.Body.Read(make([]byte, 1))
	return errors.Is(err, io.EOF)
}

// parseBody checks a body against its digest, if there is one, and parses it as
// a job of the team.
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

// unreadBodyResponse returns the response to a request whose body could not be
// read. The submission ID of the request is not spent, so another copy of the
// request may have run or may still run. The answer therefore says that it is
// unknown whether the job started.
func unreadBodyResponse(err error) errorResponse {
	if errors.Is(err, errNoMemory) {
		answer := job.Failure(job.StartedUnknown, job.ReasonNotDelivered, err.Error())
		answer.RetryAfterMs = noMemoryRetryAfterMs
		return errorResponse{
			status: http.StatusServiceUnavailable,
			answer: answer,
		}
	}
	return errorResponse{
		status: http.StatusBadRequest,
		answer: job.Failure(job.StartedUnknown, job.ReasonInvalid, err.Error()),
	}
}
