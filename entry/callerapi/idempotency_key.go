package callerapi

import (
	"context"
	"net/http"

	"tanagerfall/shared/request/binding"
	"tanagerfall/shared/request/job"
	"tanagerfall/shared/request/submission"
)

// HeaderKey is the request header with the caller's idempotency key, a UUIDv7.
const HeaderKey = "Idempotency-Key"

const (
	// submissionIDsAdvice is appended to the reason why a key cannot be bound.
	submissionIDsAdvice = "; to retry safely use submission IDs (POST /v1/submission-ids)"
	// stoppingDetail is the detail of a failure and not of a refusal, because
	// another VM may have run the job under the same key.
	stoppingDetail = "the VM is stopping; send the key to another VM"
)

// Keys holds the methods of binding.Service that a Server uses.
type Keys interface {
	Lookup(ctx context.Context, key binding.Key) (binding.Resolution, error)
	Bind(ctx context.Context, key binding.Key, id submission.ID) (binding.Resolution, error)
}

// submitWithKey runs the job in the body under the submission ID that its
// idempotency key is bound to. Only a request without a valid key is refused.
// With a key, another VM may have run the job before, so every other error is a
// failure that leaves open whether the job started.
func (server *Server) submitWithKey(writer http.ResponseWriter, request *http.Request) {
	key, err := binding.ParseKey(request.Header.Get(HeaderTeam), request.Header.Get(HeaderKey))
	if err != nil {
		server.writeAnswer(writer, http.StatusBadRequest, job.Refusal(job.ReasonInvalid,
			HeaderTeam+" and a UUIDv7 as "+HeaderKey+" are needed: "+err.Error()))
		return
	}
	data, release, err := server.memory.read(request)
	defer release()
	if err != nil {
		response := unreadBodyResponse(err)
		server.writeAnswer(writer, response.status, response.answer)
		return
	}
	id, failure := server.resolveKey(request.Context(), key)
	if failure != nil {
		server.writeAnswer(writer, statusOf(failure), *failure)
		return
	}
	body := parseBody(data, request.Header.Get(HeaderDigest), key.Team)
	// Another VM may have received the key before, so this attempt cannot be
	// assumed to be the first.
	body.Retry = true
	server.replyWriter(writer, id)(server.submissions.Submit(request.Context(), id, body, 0))
}

// resolveKey returns the submission ID that key is bound to, and binds key to a
// new ID if it is unbound. If that fails, it returns the answer for the caller.
func (server *Server) resolveKey(ctx context.Context, key binding.Key) (submission.ID, *job.Answer) {
	resolution, err := server.keys.Lookup(ctx, key)
	if _, unknown := resolution.(binding.Unknown); unknown && err == nil {
		var ids []submission.ID
		ids, err = server.submissions.Issue(ctx, key.Team, 1)
		if err != nil || len(ids) == 0 {
			return submission.ID{}, unknownFailure(job.ReasonStopping, stoppingDetail)
		}
		resolution, err = server.keys.Bind(ctx, key, ids[0])
	}
	if err != nil {
		return submission.ID{}, unknownFailure(job.ReasonStopping, stoppingDetail)
	}
	switch resolution := resolution.(type) {
	case binding.Bound:
		return resolution.ID, nil
	case binding.Unbound:
		return submission.ID{}, unknownFailure(job.ReasonKeyUnbound, string(resolution.Cause)+submissionIDsAdvice)
	}
	return submission.ID{}, unknownFailure(job.ReasonKeyUnbound, string(binding.CauseLogUnavailable)+submissionIDsAdvice)
}

// unknownFailure returns the answer for a job that may or may not have started.
func unknownFailure(reason job.Reason, detail string) *job.Answer {
	failure := job.Failure(job.StartedUnknown, reason, detail)
	return &failure
}
