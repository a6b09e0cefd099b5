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

// The headers of the callers' interface.
const (
	// HeaderTeam names the caller's team.
	HeaderTeam = "Tanager-Team"
	// HeaderIDs carries fresh submission IDs, separated by commas.
	HeaderIDs = "Tanager-Submission-Ids"
	// HeaderRetry is "true" on every attempt but the first to deliver a
	// submission.
	HeaderRetry = "Tanager-Retry"
	// HeaderDigest carries the SHA-256 digest of a body, as in RFC 9530.
	HeaderDigest = "Repr-Digest"
)

// Submissions is what the server needs: a route.Router.
type Submissions interface {
	Issue(ctx context.Context, team string, count int) ([]submission.ID, error)
	Submit(ctx context.Context, id submission.ID, body route.Body, hops int) (control.Reply, error)
	Request(ctx context.Context, id submission.ID, single job.Job) (control.Reply, error)
	Look(ctx context.Context, id submission.ID, hops int) (control.Reply, error)
	Cancel(ctx context.Context, id submission.ID, hops int) (control.Reply, error)
}

// Server is the callers' HTTP interface.
type Server struct {
	submissions Submissions
	keys        Keys
	keyring     func() *submission.Keyring
	memory      *memory
}

// New returns a Server. keyring returns the keyring in force.
func New(submissions Submissions, keys Keys, keyring func() *submission.Keyring) *Server {
	return &Server{
		submissions: submissions,
		keys:        keys,
		keyring:     keyring,
		memory:      newMemory(BodyMemoryBytes),
	}
}

// Handler returns the routes.
func (server *Server) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Post("/v1/submission-ids"), server.issue)
	mux.HandleFunc(pat.Post("/v1/jobs"), server.keyed)
	mux.HandleFunc(pat.Put("/v1/jobs/:id"), server.submit)
	mux.HandleFunc(pat.Get("/v1/jobs/:id"), server.onID(server.submissions.Look))
	mux.HandleFunc(pat.Delete("/v1/jobs/:id"), server.onID(server.submissions.Cancel))
	mux.HandleFunc(pat.Post("/v1/requests/:kind"), server.request)
	return mux
}

// IssuedIDs is the answer to POST /v1/submission-ids.
type IssuedIDs struct {
	SubmissionIDs []string `json:"submission-ids"`
}

func (server *Server) issue(writer http.ResponseWriter, request *http.Request) {
	team := request.Header.Get(HeaderTeam)
	if team == "" {
		server.answer(writer, http.StatusBadRequest, job.Refusal(job.ReasonInvalid, "header "+HeaderTeam+" is missing"))
		return
	}
	count, err := strconv.Atoi(request.URL.Query().Get("count"))
	if err != nil || count < 1 || count > submission.MaxBlock {
		server.answer(writer, http.StatusBadRequest,
			job.Refusal(job.ReasonInvalid, fmt.Sprintf("count must be from 1 to %d", submission.MaxBlock)))
		return
	}
	ids, err := server.submissions.Issue(request.Context(), team, count)
	if err != nil || len(ids) == 0 {
		server.answer(writer, http.StatusServiceUnavailable, job.Refusal(job.ReasonStopping, "the VM is stopping"))
		return
	}
	respond(writer, http.StatusOK, IssuedIDs{
		SubmissionIDs: server.encode(ids),
	})
}

func (server *Server) submit(writer http.ResponseWriter, request *http.Request) {
	id, problem := server.identify(request)
	if problem != nil {
		server.answer(writer, problem.status, problem.answer)
		return
	}
	data, release, err := server.memory.read(request)
	defer release()
	if err != nil {
		failed := unread(err)
		server.answer(writer, failed.status, failed.answer)
		return
	}
	body := parseBody(data, request.Header.Get(HeaderDigest), id.Team)
	body.Retry = request.Header.Get(HeaderRetry) == "true"
	server.reply(writer, id)(server.submissions.Submit(request.Context(), id, body, 0))
}

// onID handles a request without a body about one submission ID.
func (server *Server) onID(act func(context.Context, submission.ID, int) (control.Reply, error)) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		id, problem := server.identify(request)
		if problem != nil {
			server.answer(writer, problem.status, problem.answer)
			return
		}
		server.reply(writer, id)(act(request.Context(), id, 0))
	}
}

// request runs a single task under an ID that this VM issues for it.
func (server *Server) request(writer http.ResponseWriter, request *http.Request) {
	team := request.Header.Get(HeaderTeam)
	if team == "" {
		server.answer(writer, http.StatusBadRequest, job.Refusal(job.ReasonInvalid, "header "+HeaderTeam+" is missing"))
		return
	}
	body, release, err := server.memory.read(request)
	defer release()
	if err != nil {
		failed := unread(err)
		server.answer(writer, failed.status, failed.answer)
		return
	}
	var task job.Task
	if err := json.Unmarshal(body, &task); err != nil {
		server.answer(writer, http.StatusBadRequest, job.Refusal(job.ReasonInvalid, "body is not a task: "+err.Error()))
		return
	}
	single := job.Job{
		Kind:  pat.Param(request, "kind"),
		Team:  team,
		Tasks: []job.Task{task},
	}
	if err := single.Validate(); err != nil {
		server.answer(writer, http.StatusBadRequest, job.Refusal(job.ReasonInvalid, err.Error()))
		return
	}
	ids, err := server.submissions.Issue(request.Context(), team, 1)
	if err != nil || len(ids) == 0 {
		server.answer(writer, http.StatusServiceUnavailable, job.Refusal(job.ReasonStopping, "the VM is stopping"))
		return
	}
	server.reply(writer, ids[0])(server.submissions.Request(request.Context(), ids[0], single))
}

type problem struct {
	status int
	answer job.Answer
}

// identify decodes the submission ID of a request and checks that it was
// issued to the caller's team.
func (server *Server) identify(request *http.Request) (submission.ID, *problem) {
	id, err := server.keyring().Decode(pat.Param(request, "id"))
	if errors.Is(err, submission.ErrForged) {
		return id, &problem{
			status: http.StatusForbidden,
			answer: job.Refusal(job.ReasonForged, "the submission ID was not issued here"),
		}
	}
	if err != nil {
		return id, &problem{
			status: http.StatusBadRequest,
			answer: job.Refusal(job.ReasonInvalid, "the submission ID is malformed"),
		}
	}
	if id.Team != request.Header.Get(HeaderTeam) {
		return id, &problem{
			status: http.StatusForbidden,
			answer: job.Failure(job.StartedUnknown, job.ReasonWrongTeam, "the submission ID belongs to another team"),
		}
	}
	return id, nil
}

// Digest returns the value of HeaderDigest for a body.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}

func (server *Server) reply(writer http.ResponseWriter, id submission.ID) func(control.Reply, error) {
	return func(reply control.Reply, err error) {
		text := server.keyring().Encode(id)
		if err != nil {
			failure := job.Failure(job.StartedUnknown, job.ReasonStopping, "the VM stopped before the job ended")
			failure.SubmissionID = text
			server.answer(writer, http.StatusServiceUnavailable, failure)
			return
		}
		if reply.Running || reply.Unspent {
			respond(writer, http.StatusAccepted, State{
				SubmissionID: text,
				Running:      reply.Running,
			})
			return
		}
		if len(reply.Fresh) > 0 {
			writer.Header().Set(HeaderIDs, strings.Join(server.encode(reply.Fresh), ","))
		}
		reply.Answer.SubmissionID = text
		server.answer(writer, statusOf(&reply.Answer), reply.Answer)
	}
}

// State is the answer to GET /v1/jobs/{submission-id} for a job that has not
// ended. Running is false where the ID is unspent.
type State struct {
	SubmissionID string `json:"submission-id"`
	Running      bool   `json:"running"`
}

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
	case job.ReasonNotReady, job.ReasonStopping, job.ReasonNotDelivered, job.ReasonKeyUnbound, job.ReasonPaused:
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

func (server *Server) answer(writer http.ResponseWriter, status int, answer job.Answer) {
	if answer.RetryAfterMs > 0 {
		const msPerSecond = 1000
		seconds := (answer.RetryAfterMs + msPerSecond - 1) / msPerSecond
		writer.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	respond(writer, status, answer)
}

func respond[Body any](writer http.ResponseWriter, status int, body Body) {
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

func (server *Server) encode(ids []submission.ID) []string {
	keyring := server.keyring()
	texts := make([]string, 0, len(ids))
	for _, id := range ids {
		texts = append(texts, keyring.Encode(id))
	}
	return texts
}
