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

// Guards against bodies in progress that take memory without bound, and
// against memory that is not given back.
func TestBodiesInProgressAreBounded(t *testing.T) {
	held := newMemory(3 * bodyChunkBytes)
	long := strings.Repeat("x", 2*bodyChunkBytes-1)
	body, release, err := held.read(httptest.NewRequest("PUT", "/", strings.NewReader(long)))
	assert.NilError(t, err)
	assert.Equal(t, len(body), len(long))
	_, second, err := held.read(httptest.NewRequest("PUT", "/", strings.NewReader(long)))
	assert.ErrorIs(t, err, errMemory)
	second()
	release()
	_, third, err := held.read(httptest.NewRequest("PUT", "/", strings.NewReader(long)))
	assert.NilError(t, err)
	third()
}

// Guards against a cut or oversized body that is taken as a whole one.
func TestBodiesThatAreNotWhole(t *testing.T) {
	cases := []struct {
		name   string
		body   io.Reader
		length int64
		want   error
	}{
		{name: "cut", body: strings.NewReader("half"), length: 8, want: errCut},
		{name: "broken", body: iotest.ErrReader(errors.New("reset")), length: 8, want: errCut},
		{name: "too long", body: strings.NewReader(strings.Repeat("x", MaxBodyBytes+1)), length: -1, want: errTooLong},
		{name: "chunked", body: strings.NewReader("whole"), length: -1, want: nil},
		{name: "empty", body: strings.NewReader(""), length: 0, want: nil},
		{name: "chunk", body: strings.NewReader(strings.Repeat("x", bodyChunkBytes)), length: bodyChunkBytes, want: nil},
	}
	for _, row := range cases {
		t.Run(row.name, func(t *testing.T) {
			request := httptest.NewRequest("PUT", "/", row.body)
			request.ContentLength = row.length
			_, release, err := newMemory(BodyMemoryBytes).read(request)
			defer release()
			if row.want == nil {
				assert.NilError(t, err)
				return
			}
			assert.ErrorIs(t, err, row.want)
		})
	}
}
