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

const stream = "plan"

func appendText(t *testing.T, stand *platform.Platform, text string) int64 {
	t.Helper()
	offset, err := stand.Append(context.Background(), stream, []byte(text))
	assert.NilError(t, err)
	return offset
}

func read(t *testing.T, stand *platform.Platform, from int64, wait time.Duration) wire.ReadResponse {
	t.Helper()
	response, err := stand.Read(context.Background(), stream, from, 10, wait)
	assert.NilError(t, err)
	return response
}

// Guards against offsets that change by retention, trimmed records that are
// passed over in silence, and a stream that forgets its next offset.
func TestRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stand := platform.New(platform.Config{
			Retention: time.Minute,
		})
		assert.Equal(t, appendText(t, stand, "a"), int64(1))
		time.Sleep(40 * time.Second)
		assert.Equal(t, appendText(t, stand, "b"), int64(2))
		assert.Equal(t, len(read(t, stand, 0, 0).Records), 2)

		time.Sleep(40 * time.Second)
		_, err := stand.Read(context.Background(), stream, 1, 10, time.Second)
		assert.Assert(t, errors.Is(err, platform.ErrTrimmed))
		response := read(t, stand, 2, 0)
		assert.Equal(t, response.FirstOffset, int64(2))
		assert.Equal(t, string(response.Records[0].Data), "b")

		time.Sleep(time.Minute)
		assert.Equal(t, appendText(t, stand, "c"), int64(3))
	})
}

// Guards against long polls that return early, late or not at all.
func TestLongPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stand := platform.New(platform.Config{
			AppendTime: 3 * time.Millisecond,
		})
		began := time.Now()
		assert.Equal(t, len(read(t, stand, 1, time.Second).Records), 0)
		assert.Equal(t, time.Since(began), time.Second)

		go appendText(t, stand, "first")
		go appendText(t, stand, "second")
		began = time.Now()
		assert.Equal(t, len(read(t, stand, 2, time.Minute).Records), 1)
		assert.Equal(t, time.Since(began), 6*time.Millisecond)
	})
}

// Guards against a list without a lag, one that changes while it is frozen,
// and one that misses the changes of that time afterwards.
func TestVmList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stand := platform.New(platform.Config{
			Lag: time.Second,
		})
		ctx := context.Background()
		stand.SetVm(wire.Vm{
			Address: "127.0.0.1:9000",
			State:   wire.VmLive,
		})
		assert.Equal(t, len(stand.Vms(ctx, -1, 0).Vms), 0)
		began := time.Now()
		response := stand.Vms(ctx, 0, time.Minute)
		assert.Equal(t, time.Since(began), time.Second)
		assert.Equal(t, response.Vms[0].State, wire.VmLive)

		stand.FreezeVms(10 * time.Second)
		stand.SetState("127.0.0.1:9000", wire.VmLeaving)
		time.Sleep(5 * time.Second)
		assert.Equal(t, stand.Vms(ctx, -1, 0).Vms[0].State, wire.VmLive)
		later := stand.Vms(ctx, response.Version, time.Minute)
		assert.Equal(t, time.Since(began), 11*time.Second)
		assert.Equal(t, later.Vms[0].State, wire.VmLeaving)
		stand.RemoveVm("127.0.0.1:9000")
		assert.Equal(t, len(stand.Vms(ctx, later.Version, time.Minute).Vms), 0)
	})
}

// request sends one request on a new connection and returns status and body.
func request(t *testing.T, method, url, body, domain string) (int, string, error) {
	t.Helper()
	transport := &http.Transport{
		DisableKeepAlives: true,
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	built, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	assert.NilError(t, err)
	built.Header.Set(fault.HeaderDomain, domain)
	response, err := transport.RoundTrip(built)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// Guards against an outage that answers, a lost reply whose append has no
// effect, and a trim that does not answer 410.
func TestLogFaults(t *testing.T) {
	stand := platform.New(platform.Config{
		Address: "127.0.0.1:0",
	})
	address, err := stand.Listen()
	assert.NilError(t, err)
	defer stand.Close()
	records := "http://" + address + wire.PathRecords(stream)

	stand.LogDown(false, 0)
	status, _, err := request(t, http.MethodPost, records, "a", "")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	stand.Clear()

	stand.LoseAppendReplies(1, 0)
	_, _, err = request(t, http.MethodPost, records, "b", "")
	assert.ErrorContains(t, err, "EOF")
	status, body, err := request(t, http.MethodPost, records, "c", "")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, `{"offset":2}`)

	stand.Trim(stream, 2)
	status, body, err = request(t, http.MethodGet, records+"?from=1", "", "")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusGone)
	assert.Equal(t, body, `{"first-offset":2,"next-offset":3}`)
}

// Guards against a partition that answers a domain that is cut off, or cuts
// off another one.
func TestCutDomains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stand := platform.New(platform.Config{})
		stand.CutDomains([]string{"brest"}, 0)
		for _, test := range []struct {
			domain string
			cut    bool
		}{
			{domain: "brest", cut: true},
			{domain: "rennes"},
		} {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			built, err := http.NewRequestWithContext(ctx, http.MethodGet, wire.PathVms, nil)
			assert.NilError(t, err)
			built.Header.Set(fault.HeaderDomain, test.domain)
			writer := &statusWriter{}
			began := time.Now()
			aborted := serve(stand.Handler(), writer, built)
			cancel()
			assert.Equal(t, aborted, test.cut)
			if test.cut {
				assert.Equal(t, time.Since(began), time.Minute)
				assert.Equal(t, writer.status, 0)
				continue
			}
			assert.Equal(t, writer.status, http.StatusOK)
		}
	})
}

// serve tells whether handler aborted the request.
func serve(handler http.Handler, writer http.ResponseWriter, request *http.Request) (aborted bool) {
	defer func() { aborted = recover() != nil }()
	handler.ServeHTTP(writer, request)
	return false
}

// statusWriter records the status of an answer.
type statusWriter struct {
	status int
}

func (writer *statusWriter) Header() http.Header            { return http.Header{} }
func (writer *statusWriter) Write(data []byte) (int, error) { return len(data), nil }
func (writer *statusWriter) WriteHeader(status int)         { writer.status = status }
