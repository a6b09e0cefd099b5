package worker

import (
	"encoding/json"
	"net/http"

	"goji.io"
	"goji.io/pat"

	"tanagerfall/shared/connection/upstream"
	"tanagerfall/standin/fault"
)

// PathResults is the path prefix for fetching a result; the task ID follows
// it.
const PathResults = "/v1/results/"

// maxRequestBytes bounds the body of a request. The largest ones are a start
// with a payload of 16 KB and a lease request that lists some thousand tasks.
const maxRequestBytes = 1 << 20

// JournalResponse is the response to GET /v1/journal.
type JournalResponse struct {
	// Worker is the address of the worker.
	Worker string `json:"worker"`
	// DroppedEntries is the number of starts that were not recorded because
	// the journal was full.
	DroppedEntries int64 `json:"lost,omitempty"`
	// Requests counts the requests since the worker was created.
	Requests RequestCounts `json:"requests"`
	Entries  []Start       `json:"entries"`
}

// routes returns the handler of the protocol without the middleware that
// injects faults.
func (worker *Worker) routes() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Post(upstream.PathTasks), worker.serveStart)
	mux.HandleFunc(pat.Post(upstream.PathLeases), worker.serveLeases)
	mux.HandleFunc(pat.Get(PathResults+":task-id"), worker.serveResult)
	worker.addControl(mux)
	return mux
}

// ControlHandler returns a handler that serves only the journal and the fault
// commands. Served on another port, it answers while the worker is frozen,
// silent or stopped.
func (worker *Worker) ControlHandler() http.Handler {
	mux := goji.NewMux()
	worker.addControl(mux)
	return mux
}

func (worker *Worker) addControl(mux *goji.Mux) {
	mux.HandleFunc(pat.Get(upstream.PathJournal), worker.serveJournal)
	mux.Handle(pat.Post(fault.PathFaults), fault.Handler(worker))
}

func (worker *Worker) serveStart(writer http.ResponseWriter, request *http.Request) {
	var body upstream.StartRequest
	if !decode(writer, request, &body) {
		return
	}
	status, report, err := worker.Run(request.Context(), body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if report.State != upstream.NeverStarted && worker.consumeReplyLoss() {
		panic(http.ErrAbortHandler)
	}
	fault.WriteJSON(writer, status, report)
}

func (worker *Worker) serveLeases(writer http.ResponseWriter, request *http.Request) {
	var body upstream.LeaseRequest
	if !decode(writer, request, &body) {
		return
	}
	fault.WriteJSON(writer, http.StatusOK, worker.Lease(body))
}

func (worker *Worker) serveResult(writer http.ResponseWriter, request *http.Request) {
	report, ok := worker.Result(pat.Param(request, "task-id"))
	if !ok {
		fault.WriteError(writer, http.StatusNotFound, "task is not known")
		return
	}
	fault.WriteJSON(writer, http.StatusOK, report)
}

func (worker *Worker) serveJournal(writer http.ResponseWriter, _ *http.Request) {
	worker.mutex.Lock()
	response := JournalResponse{
		Worker:         worker.config.Address,
		DroppedEntries: worker.droppedEntries,
		Requests:       worker.requests,
		Entries:        worker.journal[:len(worker.journal):len(worker.journal)],
	}
	worker.mutex.Unlock()
	if response.Entries == nil {
		response.Entries = []Start{}
	}
	fault.WriteJSON(writer, http.StatusOK, response)
}

// decode reads a JSON body. If that fails it responds with status 400 and
// returns false.
func decode[Body any](writer http.ResponseWriter, request *http.Request, body *Body) bool {
	err := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxRequestBytes)).Decode(body)
	if err != nil {
		fault.WriteError(writer, http.StatusBadRequest, "request body: "+err.Error())
		return false
	}
	return true
}
