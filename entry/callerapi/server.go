package callerapi

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"goji.io"
	"goji.io/pat"

	"tanagerfall/entry/control"
	"tanagerfall/entry/route"
	"tanagerfall/shared/request/job"
	"tanagerfall/shared/request/submission"
)

// Headers of requests and responses.
const (
	// HeaderTeam names the caller's team.
	HeaderTeam = "Tanager-Team"
	// HeaderIDs holds new submission IDs for the caller, separated by commas.
	HeaderIDs = "Tanager-Submission-Ids"
	// HeaderRetry is "true" in every attempt to deliver a submission except the
	// first.
	HeaderRetry = "Tanager-Retry"
	// HeaderDigest holds the SHA-256 digest of the body, as defined by RFC 9530.
	HeaderDigest = "Repr-Digest"
)

// Submissions holds the methods of route.Router that a Server uses.
type Submissions interface {
	Issue(ctx context.Context, team string, count int) ([]submission.ID, error)
	Submit(ctx context.Context, id submission.ID, body route.Body, hops int) (control.Reply, error)
	Request(ctx context.Context, id submission.ID, single job.Job) (control.Reply, error)
	Lookup(ctx context.Context, id submission.ID, hops int) (control.Reply, error)
	Cancel(ctx context.Context, id submission.ID, hops int) (control.Reply, error)
}

// Server is the HTTP interface for callers.
type Server struct {
	submissions Submissions
	keys        Keys
	keyring     func() *submission.Keyring
	memory      *memoryBudget
}

// New returns a Server. keyring returns the current keyring, which decodes and
// encodes submission IDs.
func New(submissions Submissions, keys Keys, keyring func() *submission.Keyring) *Server {
	return &Server{
		submissions: submissions,
		keys:        keys,
		keyring:     keyring,
		memory:      newMemoryBudget(BodyMemoryBytes),
	}
}

// Handler returns the handler for all paths of the interface.
func (server *Server) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Post("/v1/submission-ids"), server.issue)
	mux.HandleFunc(pat.Post("/v1/jobs"), server.submitWithKey)
	mux.HandleFunc(pat.Put("/v1/jobs/:id"), server.submit)
	mux.HandleFunc(pat.Get("/v1/jobs/:id"), server.handleID(server.submissions.Lookup))
	mux.HandleFunc(pat.Delete("/v1/jobs/:id"), server.handleID(server.submissions.Cancel))
	mux.HandleFunc(pat.Post("/v1/requests/:kind"), server.request)
	return mux
}

// IssuedIDs is the response to POST /v1/submission-ids.
type IssuedIDs struct {
	SubmissionIDs []string `json:"submission-ids"`
}

// issue responds with new submission IDs. The query parameter count is their
// number.
func (server *Server) issue(writer http.ResponseWriter, request *http.Request) {
	team := request.Header.Get(HeaderTeam)
	if team == "" {
		server.writeAnswer(writer, http.StatusBadRequest, job.Refusal(job.ReasonInvalid, "header "+HeaderTeam+" is missing"))
		return
	}
	count, err := strconv.Atoi(request.URL.Query().Get("count"))
	if err != nil || count < 1 || count > submission.MaxBlock {
		server.writeAnswer(writer, http.StatusBadRequest,
			job.Refusal(job.ReasonInvalid, fmt.Sprintf("count must be from 1 to %d", submission.MaxBlock)))
		return
	}
	ids, err := server.submissions.Issue(request.Context(), team, count)
	if err != nil || len(ids) == 0 {
		server.writeAnswer(writer, http.StatusServiceUnavailable, job.Refusal(job.ReasonStopping, "the VM is stopping"))
		return
	}
	writeJSON(writer, http.StatusOK, IssuedIDs{
		SubmissionIDs: server.encodeIDs(ids),
	})
}

// submit runs the job in the body under the submission ID in the path.
func (server *Server) submit(writer http.ResponseWriter, request *http.Request) {
	id, response := server.decodeID(request)
	if response != nil {
		server.writeAnswer(writer, response.status, response.answer)
		return
	}
	data, release, err := server.memory.read(request)
	defer release()
	if err != nil {
		response := unreadBodyResponse(err)
		server.writeAnswer(writer, response.status, response.answer)
		return
	}
	body := parseBody(data, request.Header.Get(HeaderDigest), id.Team)
	body.Retry = request.Header.Get(HeaderRetry) == "true"
	server.replyWriter(writer, id)(server.submissions.Submit(request.Context(), id, body, 0))
}

// handleID returns a handler that calls lookupOrCancel with the submission ID in
// the path. The requests have no body.
func (server *Server) handleID(lookupOrCancel func(context.Context, submission.ID, int) (control.Reply, error)) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		id, response := server.decodeID(request)
		if response != nil {
			server.writeAnswer(writer, response.status, response.answer)
			return
		}
		server.replyWriter(writer, id)(lookupOrCancel(request.Context(), id, 0))
	}
}

// request runs a single task under a new submission ID of this VM.
func (server *Server) request(writer http.ResponseWriter, request *http.Request) {
	team := request.Header.Get(HeaderTeam)
	if team == "" {
		server.writeAnswer(writer, http.StatusBadRequest, job.Refusal(job.ReasonInvalid, "header "+HeaderTeam+" is missing"))
		return
	}
	body, release, err := server.memory.read(request)
	defer release()
	if err != nil {
		response := unreadBodyResponse(err)
		server.writeAnswer(writer, response.status, response.answer)
		return
	}
	var task job.Task
	if err := json.Unmarshal(body, &task); err != nil {
		server.writeAnswer(writer, http.StatusBadRequest, job.Refusal(job.ReasonInvalid, "body is not a task: "+err.Error()))
		return
	}
	single := job.Job{
		Kind:  pat.Param(request, "kind"),
		Team:  team,
		Tasks: []job.Task{task},
	}
	if err := single.Validate(); err != nil {
		server.writeAnswer(writer, http.StatusBadRequest, job.Refusal(job.ReasonInvalid, err.Error()))
		return
	}
	ids, err := server.submissions.Issue(request.Context(), team, 1)
	if err != nil || len(ids) == 0 {
		server.writeAnswer(writer, http.StatusServiceUnavailable, job.Refusal(job.ReasonStopping, "the VM is stopping"))
		return
	}
	server.replyWriter(writer, ids[0])(server.submissions.Request(request.Context(), ids[0], single))
}

// errorResponse is the status and the answer for a request that is not run.
type errorResponse struct {
	status int
	answer job.Answer
}

// decodeID decodes the submission ID in the path of a request and checks that it
// was issued to the caller's team.
func (server *Server) decodeID(request *http.Request) (submission.ID, *errorResponse) {
	id, err := server.keyring().Decode(pat.Param(request, "id"))
	if errors.Is(err, submission.ErrForged) {
		return id, &errorResponse{
			status: http.StatusForbidden,
			answer: job.Refusal(job.ReasonForged, "the submission ID was not issued here"),
		}
	}
	if err != nil {
		return id, &errorResponse{
			status: http.StatusBadRequest,
			answer: job.Refusal(job.ReasonInvalid, "the submission ID is malformed"),
		}
	}
	if id.Team != request.Header.Get(HeaderTeam) {
		return id, &errorResponse{
			status: http.StatusForbidden,
			answer: job.Failure(job.StartedUnknown, job.ReasonWrongTeam, "the submission ID belongs to another team"),
		}
	}
	return id, nil
}

// Digest returns the value of HeaderDigest for body.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}

// replyWriter returns a function that writes a reply about id as the response. An
// error means that the VM stopped before the job ended.
func (server *Server) replyWriter(writer http.ResponseWriter, id submission.ID) func(control.Reply, error) {
	return func(reply control.Reply, err error) {
		encodedID := server.keyring().Encode(id)
		if err != nil {
			failure := job.Failure(job.StartedUnknown, job.ReasonStopping, "the VM stopped before the job ended")
			failure.SubmissionID = encodedID
			server.writeAnswer(writer, http.StatusServiceUnavailable, failure)
			return
		}
		if reply.Running || reply.Unspent {
			writeJSON(writer, http.StatusAccepted, State{
				SubmissionID: encodedID,
				Running:      reply.Running,
			})
			return
		}
		if len(reply.FreshIDs) > 0 {
			writer.Header().Set(HeaderIDs, strings.Join(server.encodeIDs(reply.FreshIDs), ","))
		}
		reply.Answer.SubmissionID = encodedID
		server.writeAnswer(writer, statusOf(&reply.Answer), reply.Answer)
	}
}

// State is the response to GET /v1/jobs/{submission-id} if no job under the ID
// has ended. Running is false if the ID is unspent, that is if no job has been
// submitted under it.
type State struct {
	SubmissionID string `json:"submission-id"`
	Running      bool   `json:"running"`
}

// statusOf returns the HTTP status of the response that carries answer.
func statusOf(answer *job.Answer) int {
	if answer.Outcome == job.Complete {
		return http.StatusOK
	}
	switch answer.Reason {
	case job.ReasonOverload, job.ReasonQuota:
		return http.StatusTooManyRequests
	case job.ReasonInvalid, job.ReasonUnknownKind, job.ReasonNotIdempotent:
		return http.StatusBadRequest
	case job.ReasonImpossible:
		return http.StatusUnprocessableEntity
	case job.ReasonExpired, job.ReasonAnswerEvicted:
		return http.StatusGone
	case job.ReasonDeadline:
		return http.StatusGatewayTimeout
	case job.ReasonNotReady, job.ReasonStopping, job.ReasonNotDelivered, job.ReasonKeyUnbound, job.ReasonPaused,
		job.ReasonEvacuated:
		return http.StatusServiceUnavailable
	case job.ReasonForged, job.ReasonWrongTeam:
		return http.StatusForbidden
	case job.ReasonCancelled:
		return http.StatusConflict
	case job.ReasonTaskFailed, job.ReasonUpstreamLost, job.ReasonOwnerGone, job.ReasonDeliveryLost,
		job.ReasonRetriesUsedUp, job.ReasonAnswerTooLarge:
		return http.StatusBadGateway
	}
	return http.StatusBadGateway
}

// writeAnswer writes a response with answer as its body. Retry-After is rounded
// up to whole seconds.
func (server *Server) writeAnswer(writer http.ResponseWriter, status int, answer job.Answer) {
	if answer.RetryAfterMs > 0 {
		const msPerSecond = 1000
		seconds := (answer.RetryAfterMs + msPerSecond - 1) / msPerSecond
		writer.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	writeJSON(writer, status, answer)
}

// writeJSON writes a response with body in JSON and its digest in HeaderDigest.
func writeJSON[Body any](writer http.ResponseWriter, status int, body Body) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(writer, "encoding failed", http.StatusInternalServerError)
		return
	}
	header := writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(data)))
	header.Set(HeaderDigest, Digest(data))
	writer.WriteHeader(status)
	_, _ = writer.Write(data)
}

func (server *Server) encodeIDs(ids []submission.ID) []string {
	keyring := server.keyring()
	texts := make([]string, 0, len(ids))
	for _, id := range ids {
		texts = append(texts, keyring.Encode(id))
	}
	return texts
}
