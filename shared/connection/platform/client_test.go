package platform_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"tanagerfall/shared/connection/platform"
)

func serve(t *testing.T, handler http.HandlerFunc) *platform.Client {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return platform.NewClient(server.URL+"/", server.Client())
}

// Guards against an append that is reported to have had no effect although it may
// have had one, and the reverse.
func TestAppendErrorsClassifyEffect(t *testing.T) {
	cases := []struct {
		name   string
		answer http.HandlerFunc
		err    error
	}{
		{
			name:   "accepted",
			answer: func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write([]byte(`{"offset":7}`)) },
		},
		{
			name:   "connection closed without a reply",
			answer: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			err:    platform.ErrAppendUnknown,
		},
		{
			name: "truncated reply",
			answer: func(writer http.ResponseWriter, _ *http.Request) {
				writer.Header().Set("Content-Length", "40")
				_, _ = writer.Write([]byte(`{"off`))
			},
			err: platform.ErrAppendUnknown,
		},
		{
			name:   "reply without an offset",
			answer: func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write([]byte(`{}`)) },
			err:    platform.ErrAppendUnknown,
		},
		{
			name:   "reply lost by a gateway",
			answer: func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusGatewayTimeout) },
			err:    platform.ErrAppendUnknown,
		},
		{
			name:   "outage",
			answer: func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusServiceUnavailable) },
			err:    platform.ErrUnavailable,
		},
		{
			name: "refused",
			answer: func(writer http.ResponseWriter, _ *http.Request) {
				writer.WriteHeader(http.StatusRequestEntityTooLarge)
			},
			err: platform.ErrRefused,
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var requests atomic.Int32
			client := serve(t, func(writer http.ResponseWriter, request *http.Request) {
				requests.Add(1)
				data, _ := io.ReadAll(request.Body)
				assert.Equal(t, request.Method+" "+request.URL.Path+" "+string(data), "POST /v1/streams/plan/records data")
				test.answer(writer, request)
			})
			offset, err := client.Append(t.Context(), "plan", []byte("data"))
			assert.Equal(t, requests.Load(), int32(1), "an append must not be repeated by the client")
			if test.err == nil {
				assert.NilError(t, err)
				assert.Equal(t, offset, int64(7))
				return
			}
			assert.ErrorIs(t, err, test.err)
		})
	}
}

// Guards against a refused connection that is reported as an append that may have
// taken effect.
func TestAppendToClosedPortHadNoEffect(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	_, err := platform.NewClient(server.URL, http.DefaultClient).Append(t.Context(), "plan", nil)
	assert.ErrorIs(t, err, platform.ErrUnavailable)
}

// Guards against a read of a trimmed offset that is reported as an outage.
func TestReadReportsTrimmedOffset(t *testing.T) {
	client := serve(t, func(writer http.ResponseWriter, request *http.Request) {
		assert.Equal(t, request.URL.RawQuery, "from=3&max=10&wait-ms=250")
		writer.WriteHeader(http.StatusGone)
		_ = json.NewEncoder(writer).Encode(platform.TrimmedResponse{FirstOffset: 9, NextOffset: 12})
	})
	_, err := client.Read(t.Context(), "plan", 3, 10, 250*time.Millisecond)
	var trimmed *platform.TrimmedError
	assert.Assert(t, eris.As(err, &trimmed))
	assert.DeepEqual(t, *trimmed, platform.TrimmedError{Stream: "plan", From: 3, FirstOffset: 9, NextOffset: 12})
}

// transport answers requests with a function and without a network, so that tests
// run in virtual time.
type transport func(*http.Request) (string, error)

func (transport transport) RoundTrip(request *http.Request) (*http.Response, error) {
	body, err := transport(request)
	if err != nil {
		return nil, err
	}
	return &http.Response{
		StatusCode: http.StatusOK,
		Body:       io.NopCloser(strings.NewReader(body)),
	}, nil
}

// poolingTransport is a transport that counts the calls of CloseIdleConnections.
type poolingTransport struct {
	transport
	closeCalls int
}

func (poolingTransport *poolingTransport) CloseIdleConnections() { poolingTransport.closeCalls++ }

// Guards against a request that uses another idle connection of the same silent
// host after a failed request.
func TestFailureClosesIdleConnections(t *testing.T) {
	failing := &poolingTransport{
		transport: func(*http.Request) (string, error) { return "", io.ErrUnexpectedEOF },
	}
	client := platform.NewClient("http://platform", &http.Client{
		Transport: failing,
	})
	_, err := client.Read(t.Context(), "plan", 1, 1, 0)
	assert.ErrorIs(t, err, platform.ErrUnavailable)
	assert.Equal(t, failing.closeCalls, 1)
	_, err = client.Append(t.Context(), "plan", nil)
	assert.ErrorIs(t, err, platform.ErrUnavailable)
	assert.Equal(t, failing.closeCalls, 2)
}

// newVirtualClient returns a client whose requests are answered by transport.
func newVirtualClient(transport transport) *platform.Client {
	return platform.NewClient("http://platform", &http.Client{
		Transport: transport,
	})
}

// awaitTimeout leaves a request without a reply, like a silent connection.
func awaitTimeout(request *http.Request) (string, error) {
	<-request.Context().Done()
	return "", request.Context().Err()
}

// Guards against a plan that is late because a connection went silent for good:
// two polls in a row are lost on it. The third poll must read the record within
// the 3 s of the target.
func TestFollowAbandonsSilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		polls := 0
		client := newVirtualClient(func(request *http.Request) (string, error) {
			polls++
			if polls <= 2 {
				return awaitTimeout(request)
			}
			return `{"next-offset":6,"records":[{"offset":5,"data":"eA=="}]}`, nil
		})
		startedAt := time.Now()
		done := eris.New("done")
		failedReads := 0
		config := platform.FollowConfig{
			Random: func() float64 { return 0.999 },
		}
		err := client.FollowRecords(t.Context(), "plan", config, 5,
			func(_ context.Context, result platform.ReadResult) (int64, error) {
				read, ok := result.(platform.RecordsRead)
				if !ok {
					failedReads++
					return 5, nil
				}
				assert.Equal(t, string(read.Response.Records[0].Data), "x")
				return 6, done
			})
		assert.ErrorIs(t, err, done)
		assert.Equal(t, failedReads, 2)
		assert.Assert(t, time.Since(startedAt) < 3*time.Second, "took %s", time.Since(startedAt))
	})
}

// Guards against a busy loop during an outage or with a platform that does not
// hold long polls, and against a backoff that delays the first poll after an
// outage by more than a second.
func TestFollowBacksOff(t *testing.T) {
	transports := map[string]transport{
		"outage":      func(*http.Request) (string, error) { return "", io.ErrUnexpectedEOF },
		"empty reply": func(*http.Request) (string, error) { return `{"next-offset":5}`, nil },
	}
	for name, transport := range transports {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				var polls []time.Time
				client := newVirtualClient(func(request *http.Request) (string, error) {
					polls = append(polls, time.Now())
					return transport(request)
				})
				config := platform.FollowConfig{
					Random: func() float64 { return 0.999 },
				}
				err := client.FollowRecords(ctx, "plan", config, 5,
					func(context.Context, platform.ReadResult) (int64, error) { return 5, nil })
				assert.ErrorIs(t, err, context.DeadlineExceeded)
				assert.Assert(t, len(polls) < 70, "%d polls in a minute", len(polls))
				for i := range polls[1:] {
					assert.Assert(t, polls[i+1].Sub(polls[i]) <= time.Second)
				}
			})
		})
	}
}

// Guards against a log that is never read because it takes longer to answer than
// the timeout of a poll.
func TestFollowReadsSlowLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := newVirtualClient(func(request *http.Request) (string, error) {
			select {
			case <-request.Context().Done():
				return "", request.Context().Err()
			case <-time.After(3 * time.Second):
				return `{"records":[{"offset":5}]}`, nil
			}
		})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Minute)
		defer cancel()
		reads := 0
		err := client.FollowRecords(ctx, "plan", platform.FollowConfig{}, 5, func(_ context.Context, result platform.ReadResult) (int64, error) {
			if _, ok := result.(platform.RecordsRead); ok {
				reads++
			}
			return 5, nil
		})
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Assert(t, reads >= 15, "%d reads in 5 minutes", reads)
	})
}

// Guards against a VM list that is delivered twice, and against one that is
// skipped.
func TestFollowVMsDeliversEachVersionOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		versions := []string{"4", "4", "5"}
		client := newVirtualClient(func(request *http.Request) (string, error) {
			if len(versions) == 0 {
				return awaitTimeout(request)
			}
			version := versions[0]
			versions = versions[1:]
			return `{"version":` + version + `}`, nil
		})
		var delivered []int64
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		err := client.FollowVMs(ctx, platform.FollowConfig{}, func(_ context.Context, list platform.VMsResponse, readErr error) error {
			if readErr == nil {
				delivered = append(delivered, list.Version)
			}
			return nil
		})
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.DeepEqual(t, delivered, []int64{4, 5})
	})
}
