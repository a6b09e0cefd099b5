package platform_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	wire "tanagerfall/shared/connection/platform"
	"tanagerfall/standin/fault"
	"tanagerfall/standin/platform"
)

const streamName = "plan"

// appendText appends text to the test's stream and returns its offset.
func appendText(t *testing.T, standIn *platform.Platform, text string) int64 {
	t.Helper()
	offset, err := standIn.Append(context.Background(), streamName, []byte(text))
	assert.NilError(t, err)
	return offset
}

// readRecords reads up to 10 records from offset from on.
func readRecords(t *testing.T, standIn *platform.Platform, from int64, wait time.Duration) wire.ReadResponse {
	t.Helper()
	response, err := standIn.Read(context.Background(), streamName, from, 10, wait)
	assert.NilError(t, err)
	return response
}

// Guards against offsets that change when records expire, a read that skips
// expired records without an error, and an empty stream that reuses offsets.
func TestRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn := platform.New(platform.Config{
			Retention: time.Minute,
		})
		assert.Equal(t, appendText(t, standIn, "a"), int64(1))
		time.Sleep(40 * time.Second)
		assert.Equal(t, appendText(t, standIn, "b"), int64(2))
		assert.Equal(t, len(readRecords(t, standIn, 0, 0).Records), 2)

		time.Sleep(40 * time.Second)
		_, err := standIn.Read(context.Background(), streamName, 1, 10, time.Second)
		assert.Assert(t, errors.Is(err, platform.ErrTrimmed))
		response := readRecords(t, standIn, 2, 0)
		assert.Equal(t, response.FirstOffset, int64(2))
		assert.Equal(t, string(response.Records[0].Data), "b")

		time.Sleep(time.Minute)
		assert.Equal(t, appendText(t, standIn, "c"), int64(3))
	})
}

// Guards against long polls that return too early, too late or not at all.
func TestLongPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn := platform.New(platform.Config{
			AppendTime: 3 * time.Millisecond,
		})
		startTime := time.Now()
		assert.Equal(t, len(readRecords(t, standIn, 1, time.Second).Records), 0)
		assert.Equal(t, time.Since(startTime), time.Second)

		go appendText(t, standIn, "first")
		go appendText(t, standIn, "second")
		startTime = time.Now()
		assert.Equal(t, len(readRecords(t, standIn, 2, time.Minute).Records), 1)
		assert.Equal(t, time.Since(startTime), 6*time.Millisecond)
	})
}

// Guards against a list that shows changes without the lag, that changes while
// it is frozen, or that misses these changes afterwards.
func TestVMList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn := platform.New(platform.Config{
			Lag: time.Second,
		})
		ctx := context.Background()
		standIn.SetVM(wire.VM{
			Address: "127.0.0.1:9000",
			State:   wire.VMLive,
		})
		assert.Equal(t, len(standIn.VMs(ctx, -1, 0).VMs), 0)
		startTime := time.Now()
		response := standIn.VMs(ctx, 0, time.Minute)
		assert.Equal(t, time.Since(startTime), time.Second)
		assert.Equal(t, response.VMs[0].State, wire.VMLive)

		standIn.FreezeVMs(10 * time.Second)
		standIn.SetState("127.0.0.1:9000", wire.VMLeaving)
		time.Sleep(5 * time.Second)
		assert.Equal(t, standIn.VMs(ctx, -1, 0).VMs[0].State, wire.VMLive)
		laterResponse := standIn.VMs(ctx, response.Version, time.Minute)
		assert.Equal(t, time.Since(startTime), 11*time.Second)
		assert.Equal(t, laterResponse.VMs[0].State, wire.VMLeaving)
		standIn.RemoveVM("127.0.0.1:9000")
		assert.Equal(t, len(standIn.VMs(ctx, laterResponse.Version, time.Minute).VMs), 0)
	})
}

// sendRequest sends one request on a new connection and returns the status and
// the body of the response.
func sendRequest(t *testing.T, method, url, body, domain string) (int, string, error) {
	t.Helper()
	transport := &http.Transport{
		DisableKeepAlives: true,
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	assert.NilError(t, err)
	httpRequest.Header.Set(fault.HeaderDomain, domain)
	response, err := transport.RoundTrip(httpRequest)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// Guards against a log that works during an outage, a lost response whose
// append has no effect, and a read of trimmed records without status 410.
func TestLogFaults(t *testing.T) {
	standIn := platform.New(platform.Config{
		Address: "127.0.0.1:0",
	})
	address, err := standIn.Listen()
	assert.NilError(t, err)
	defer standIn.Close()
	records := "http://" + address + wire.PathRecords(streamName)

	standIn.LogDown(false, 0)
	status, _, err := sendRequest(t, http.MethodPost, records, "a", "")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	standIn.Clear()

	standIn.LoseAppendReplies(1, 0)
	_, _, err = sendRequest(t, http.MethodPost, records, "b", "")
	assert.ErrorContains(t, err, "EOF")
	status, body, err := sendRequest(t, http.MethodPost, records, "c", "")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, `{"offset":2}`)

	standIn.Trim(streamName, 2)
	status, body, err = sendRequest(t, http.MethodGet, records+"?from=1", "", "")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusGone)
	assert.Equal(t, body, `{"first-offset":2,"next-offset":3}`)
}

// Guards against CutDomains that answers a domain that is cut off, or that
// affects another domain.
func TestCutDomains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn := platform.New(platform.Config{})
		standIn.CutDomains([]string{"brest"}, 0)
		for _, test := range []struct {
			domain string
			cut    bool
		}{
			{domain: "brest", cut: true},
			{domain: "rennes"},
		} {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, wire.PathVMs, nil)
			assert.NilError(t, err)
			httpRequest.Header.Set(fault.HeaderDomain, test.domain)
			writer := &statusWriter{}
			startTime := time.Now()
			aborted := serveAborts(standIn.Handler(), writer, httpRequest)
			cancel()
			assert.Equal(t, aborted, test.cut)
			if test.cut {
				assert.Equal(t, time.Since(startTime), time.Minute)
				assert.Equal(t, writer.status, 0)
				continue
			}
			assert.Equal(t, writer.status, http.StatusOK)
		}
	})
}

// serveAborts serves request and reports whether handler aborted it.
func serveAborts(handler http.Handler, writer http.ResponseWriter, request *http.Request) (aborted bool) {
	defer func() { aborted = recover() != nil }()
	handler.ServeHTTP(writer, request)
	return false
}

// statusWriter records the status of a response.
type statusWriter struct {
	status int
}

func (writer *statusWriter) Header() http.Header            { return http.Header{} }
func (writer *statusWriter) Write(data []byte) (int, error) { return len(data), nil }
func (writer *statusWriter) WriteHeader(status int)         { writer.status = status }
