package platform

import (
	"io"
	"net/http"
	"regexp"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"goji.io"
	"goji.io/pat"

	wire "tanagerfall/shared/connection/platform"
	"tanagerfall/standin/fault"
)

// defaultReadRecords is the maximum number of records of a read without the
// parameter max.
const defaultReadRecords = 100

// streamNamePattern matches valid stream names.
var streamNamePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,99}$`)

// errMalformedParameter is wrapped by errors about query parameters that are
// not integers.
var errMalformedParameter = eris.New("malformed parameter")

// routes returns the handler of the protocol without the middleware that
// injects faults.
func (platform *Platform) routes() http.Handler {
	mux := goji.NewMux()
	records := wire.PathRecords(":stream")
	mux.HandleFunc(pat.Post(records), platform.serveAppend)
	mux.HandleFunc(pat.Get(records), platform.serveRead)
	mux.HandleFunc(pat.Get(wire.PathVMs), platform.serveVMs)
	platform.addControl(mux)
	return mux
}

// ControlHandler returns a handler that serves only the fault commands and the
// changes of VMs. Served on another port, it answers while the platform is
// frozen, silent or stopped.
func (platform *Platform) ControlHandler() http.Handler {
	mux := goji.NewMux()
	platform.addControl(mux)
	return mux
}

func (platform *Platform) addControl(mux *goji.Mux) {
	mux.Handle(pat.Post(fault.PathFaults), fault.Handler(platform))
	mux.HandleFunc(pat.Put(wire.PathVMs), platform.servePutVM)
	mux.HandleFunc(pat.Delete(wire.PathVMs+"/:address"), platform.serveDeleteVM)
}

func (platform *Platform) serveAppend(writer http.ResponseWriter, request *http.Request) {
	name := pat.Param(request, "stream")
	if !streamNamePattern.MatchString(name) {
		fault.WriteError(writer, http.StatusBadRequest, "malformed stream name")
		return
	}
	if platform.answerOutage(writer, request, &platform.logDown) {
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, MaxRecordBytes))
	if err != nil {
		fault.WriteError(writer, http.StatusRequestEntityTooLarge, "record: "+err.Error())
		return
	}
	offset, err := platform.Append(request.Context(), name, data)
	if err != nil || platform.consumeReplyLoss() {
		panic(http.ErrAbortHandler)
	}
	platform.delayLog(request)
	fault.WriteJSON(writer, http.StatusOK, wire.AppendResponse{
		Offset: offset,
	})
}

func (platform *Platform) serveRead(writer http.ResponseWriter, request *http.Request) {
	name := pat.Param(request, "stream")
	if !streamNamePattern.MatchString(name) {
		fault.WriteError(writer, http.StatusBadRequest, "malformed stream name")
		return
	}
	if platform.answerOutage(writer, request, &platform.logDown) {
		return
	}
	from, err := integerParameter(request, "from", 0)
	if err != nil {
		fault.WriteError(writer, http.StatusBadRequest, err.Error())
		return
	}
	maxRecords, err := integerParameter(request, "max", defaultReadRecords)
	if err != nil {
		fault.WriteError(writer, http.StatusBadRequest, err.Error())
		return
	}
	wait, err := integerParameter(request, "wait-ms", 0)
	if err != nil {
		fault.WriteError(writer, http.StatusBadRequest, err.Error())
		return
	}
	maxRecords = min(max(maxRecords, 1), MaxReadRecords)
	response, err := platform.Read(request.Context(), name, from, int(maxRecords), boundedWait(wait))
	platform.delayLog(request)
	// An outage that began during the long poll applies to its response too.
	if platform.answerOutage(writer, request, &platform.logDown) {
		return
	}
	if err != nil {
		fault.WriteJSON(writer, http.StatusGone, wire.TrimmedResponse{
			FirstOffset: response.FirstOffset,
			NextOffset:  response.NextOffset,
		})
		return
	}
	fault.WriteJSON(writer, http.StatusOK, response)
}

func (platform *Platform) serveVMs(writer http.ResponseWriter, request *http.Request) {
	if platform.answerOutage(writer, request, &platform.vmsDown) {
		return
	}
	after, err := integerParameter(request, "after", -1)
	if err != nil {
		fault.WriteError(writer, http.StatusBadRequest, err.Error())
		return
	}
	wait, err := integerParameter(request, "wait-ms", 0)
	if err != nil {
		fault.WriteError(writer, http.StatusBadRequest, err.Error())
		return
	}
	response := platform.VMs(request.Context(), after, boundedWait(wait))
	if platform.answerOutage(writer, request, &platform.vmsDown) {
		return
	}
	fault.WriteJSON(writer, http.StatusOK, response)
}

// answerOutage returns false if downtime is not active. Otherwise it responds
// with status 503 and returns true, or leaves the request unanswered and
// aborts it.
func (platform *Platform) answerOutage(writer http.ResponseWriter, request *http.Request, downtime *outage) bool {
	platform.mutex.Lock()
	active, noAnswer := downtime.window.Active(time.Now()), downtime.noAnswer
	platform.mutex.Unlock()
	if !active {
		return false
	}
	if noAnswer {
		fault.HoldUnanswered(request.Context())
	}
	fault.WriteError(writer, http.StatusServiceUnavailable, "unavailable")
	return true
}

// delayLog waits for the delay of LogSlow if it is active.
func (platform *Platform) delayLog(request *http.Request) {
	platform.mutex.Lock()
	active, delay := platform.logSlowWindow.Active(time.Now()), platform.logDelay
	platform.mutex.Unlock()
	if active {
		fault.Sleep(request.Context(), delay)
	}
}

// integerParameter returns an integer query parameter, or fallback if it is
// missing. The error wraps errMalformedParameter.
func integerParameter(request *http.Request, name string, fallback int64) (int64, error) {
	text := request.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, eris.Wrapf(errMalformedParameter, "%s=%.32q", name, text)
	}
	return value, nil
}

// boundedWait converts wait-ms to a duration of at most MaxWait, so that a
// large value does not overflow.
func boundedWait(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), MaxWait.Milliseconds())) * time.Millisecond
}
