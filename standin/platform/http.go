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

// defaultReadRecords applies to reads without the parameter max.
const defaultReadRecords = 100

// streamNamePattern is the form of a stream's name.
var streamNamePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,99}$`)

// errMalformedParameter is wrapped if a parameter of the query is malformed.
var errMalformedParameter = eris.New("malformed parameter")

// routes returns the handler of the protocol without the faults of the path.
func (platform *Platform) routes() http.Handler {
	mux := goji.NewMux()
	records := wire.PathRecords(":stream")
	mux.HandleFunc(pat.Post(records), platform.serveAppend)
	mux.HandleFunc(pat.Get(records), platform.serveRead)
	mux.HandleFunc(pat.Get(wire.PathVms), platform.serveVms)
	platform.addControl(mux)
	return mux
}

// ControlHandler returns a handler of the fault commands and of changes of
// the VMs alone. Served on another port it answers while the platform is
// frozen, silent or stopped.
func (platform *Platform) ControlHandler() http.Handler {
	mux := goji.NewMux()
	platform.addControl(mux)
	return mux
}

func (platform *Platform) addControl(mux *goji.Mux) {
	mux.Handle(pat.Post(fault.PathFaults), fault.Handler(platform))
	mux.HandleFunc(pat.Put(wire.PathVms), platform.servePutVm)
	mux.HandleFunc(pat.Delete(wire.PathVms+"/:address"), platform.serveDeleteVm)
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
	// An outage that began during the long poll applies to its answer too.
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

func (platform *Platform) serveVms(writer http.ResponseWriter, request *http.Request) {
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
	response := platform.Vms(request.Context(), after, boundedWait(wait))
	if platform.answerOutage(writer, request, &platform.vmsDown) {
		return
	}
	fault.WriteJSON(writer, http.StatusOK, response)
}

// answerOutage answers 503, or nothing, and returns true while down is in force.
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

// delayLog waits while the log is slow.
func (platform *Platform) delayLog(request *http.Request) {
	platform.mutex.Lock()
	active, delay := platform.logSlowWindow.Active(time.Now()), platform.logDelay
	platform.mutex.Unlock()
	if active {
		fault.Sleep(request.Context(), delay)
	}
}

// integerParameter returns an integer parameter of the query, or fallback if it is
// missing. The error wraps errParameter.
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

// boundedWait returns a bounded duration, so that a large wait-ms does not
// overflow.
func boundedWait(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), MaxWait.Milliseconds())) * time.Millisecond
}
