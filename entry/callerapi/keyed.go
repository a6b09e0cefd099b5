package callerapi

import (
	"context"
	"net/http"

	"tanagerfall/shared/request/binding"
	"tanagerfall/shared/request/job"
	"tanagerfall/shared/request/submission"
)

// HeaderKey carries a UUIDv7 chosen by the caller.
const HeaderKey = "Idempotency-Key"

const (
	adviseIDs = "; to retry safely use submission IDs (POST /v1/submission-ids)"
	// unknownStop is not a refusal: another VM may have run the job under the
	// same key.
	unknownStop = "the VM is stopping; send the key to another VM"
)

// Keys is what the server needs for Idempotency-Keys: a binding.Service.
type Keys interface {
	Look(ctx context.Context, key binding.Key) (binding.Resolution, error)
	Bind(ctx context.Context, key binding.Key, id submission.ID) (binding.Resolution, error)
}

// keyed runs the job in the body under the submission ID that its key is
// bound to. Only a request that names no key at all is refused here: a job
// under a key may have run elsewhere.
func (server *Server) keyed(writer http.ResponseWriter, request *http.Request) {
	key, err := binding.ParseKey(request.Header.Get(HeaderTeam), request.Header.Get(HeaderKey))
	if err != nil {
		server.answer(writer, http.StatusBadRequest, job.Refusal(job.ReasonInvalid,
			HeaderTeam+" and a UUIDv7 as "+HeaderKey+" are needed: "+err.Error()))
		return
	}
	data, release, err := server.memory.read(request)
	defer release()
	if err != nil {
		failed := unread(err)
		server.answer(writer, failed.status, failed.answer)
		return
	}
	id, failure := server.resolve(request.Context(), key)
	if failure != nil {
		server.answer(writer, statusOf(failure), *failure)
		return
	}
	body := parseBody(data, request.Header.Get(HeaderDigest), key.Team)
	// The key may have come to another VM before, so no attempt is known to be
	// the first.
	body.Retry = true
	server.reply(writer, id)(server.submissions.Submit(request.Context(), id, body, 0))
}

// resolve returns the ID that a key stands for, or why there is none.
func (server *Server) resolve(ctx context.Context, key binding.Key) (submission.ID, *job.Answer) {
	verdict, err := server.keys.Look(ctx, key)
	if _, unread := verdict.(binding.Unknown); unread && err == nil {
		var ids []submission.ID
		ids, err = server.submissions.Issue(ctx, key.Team, 1)
		if err != nil || len(ids) == 0 {
			return submission.ID{}, failed(job.ReasonStopping, unknownStop)
		}
		verdict, err = server.keys.Bind(ctx, key, ids[0])
	}
	if err != nil {
		return submission.ID{}, failed(job.ReasonStopping, unknownStop)
	}
	switch verdict := verdict.(type) {
	case binding.Bound:
		return verdict.ID, nil
	case binding.Unbound:
		return submission.ID{}, failed(job.ReasonKeyUnbound, string(verdict.Cause)+adviseIDs)
	}
	return submission.ID{}, failed(job.ReasonKeyUnbound, string(binding.CauseLogUnavailable)+adviseIDs)
}

func failed(reason job.Reason, detail string) *job.Answer {
	failure := job.Failure(job.StartedUnknown, reason, detail)
	return &failure
}
