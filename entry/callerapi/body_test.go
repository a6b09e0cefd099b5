package callerapi

import (
	"errors"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// Guards against bodies in progress that use unbounded memory, and against
// reserved memory that is not released when a request ends.
func TestBodyMemoryIsBounded(t *testing.T) {
	budget := newMemoryBudget(3 * bodyChunkBytes)
	text := strings.Repeat("x", 2*bodyChunkBytes-1)
	body, release, err := budget.read(httptest.NewRequest("PUT", "/", strings.NewReader(text)))
	assert.NilError(t, err)
	assert.Equal(t, len(body), len(text))
	_, releaseSecond, err := budget.read(httptest.NewRequest("PUT", "/", strings.NewReader(text)))
	assert.ErrorIs(t, err, errNoMemory)
	releaseSecond()
	release()
	_, releaseThird, err := budget.read(httptest.NewRequest("PUT", "/", strings.NewReader(text)))
	assert.NilError(t, err)
	releaseThird()
}

// Guards against a truncated or oversized body that is accepted as complete.
func TestIncompleteOrOversizedBodies(t *testing.T) {
	cases := []struct {
		name   string
		body   io.Reader
		length int64
		want   error
	}{
		{name: "cut", body: strings.NewReader("half"), length: 8, want: errTruncated},
		{name: "broken", body: iotest.ErrReader(errors.New("reset")), length: 8, want: errTruncated},
		{name: "too long", body: strings.NewReader(strings.Repeat("x", MaxBodyBytes+1)), length: -1, want: errTooLong},
		{name: "chunked", body: strings.NewReader("whole"), length: -1, want: nil},
		{name: "empty", body: strings.NewReader(""), length: 0, want: nil},
		{name: "chunk", body: strings.NewReader(strings.Repeat("x", bodyChunkBytes)), length: bodyChunkBytes, want: nil},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			request := httptest.NewRequest("PUT", "/", test.body)
			request.ContentLength = test.length
			_, release, err := newMemoryBudget(BodyMemoryBytes).read(request)
			defer release()
			if test.want == nil {
				assert.NilError(t, err)
				return
			}
			assert.ErrorIs(t, err, test.want)
		})
	}
}
