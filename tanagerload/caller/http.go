package caller

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"tanagerfall/shared/request/job"
)

// Headers of the callers' interface.
const (
	headerTeam   = "Tanager-Team"
	headerIDs    = "Tanager-Submission-Ids"
	headerRetry  = "Tanager-Retry"
	headerDigest = "Repr-Digest"
)

const (
	// idBlockSize is the number of IDs fetched when a pool has none for a team.
	idBlockSize = 64
	// maxPooledIDs bounds the pooled IDs of one team, since an answer may carry
	// more fresh IDs than the job used.
	maxPooledIDs = 1024
	// maxAnswerBytes bounds the body of an answer: 580 tasks with some KB each.
	maxAnswerBytes = 16 << 20
)

var (
	// errNeverSent is wrapped if no byte of a request was handed to a
	// connection, so that no VM can have received it.
	errNeverSent = eris.New("request was never sent")
	// errDeliveryUnknown is wrapped if a request may have reached the VM, but no
	// valid answer came back.
	errDeliveryUnknown = eris.New("request may have been delivered, but no valid answer was received")
	// errNoIDs is wrapped if the VM issued no ID.
	errNoIDs = eris.New("entry VM issued no submission IDs")
)

// idPool holds unused submission IDs of one entry VM, by team. It is safe for
// concurrent use.
type idPool struct {
	mutex sync.Mutex
	ids   map[string][]string
}

func newIDPool() *idPool {
	return &idPool{
		ids: map[string][]string{},
	}
}

// take removes and returns an ID of the team, if there is one.
func (idPool *idPool) take(team string) (string, bool) {
	idPool.mutex.Lock()
	defer idPool.mutex.Unlock()
	ids := idPool.ids[team]
	if len(ids) == 0 {
		return "", false
	}
	id := ids[len(ids)-1]
	idPool.ids[team] = ids[:len(ids)-1]
	return id, true
}

// add adds IDs of the team, up to maxPooledIDs.
func (idPool *idPool) add(team string, ids []string) {
	idPool.mutex.Lock()
	defer idPool.mutex.Unlock()
	capacity := max(0, maxPooledIDs-len(idPool.ids[team]))
	idPool.ids[team] = append(idPool.ids[team], ids[:min(capacity, len(ids))]...)
}

// clear removes all IDs of the team.
func (idPool *idPool) clear(team string) {
	idPool.mutex.Lock()
	defer idPool.mutex.Unlock()
	delete(idPool.ids, team)
}

// takeID returns an unused ID of an entry VM, from the pool or by a request.
// Requested reports whether it sent a request.
func (caller *Caller) takeID(ctx context.Context, entry int, team string) (id string, requested bool, err error) {
	if id, ok := caller.idPools[entry].take(team); ok {
		return id, false, nil
	}
	ids, err := caller.fetchIDs(ctx, entry, team)
	if err != nil {
		return "", true, err
	}
	caller.idPools[entry].add(team, ids[1:])
	return ids[0], true, nil
}

// issuedIDs is the body of the response to a request for submission IDs.
type issuedIDs struct {
	SubmissionIDs []string `json:"submission-ids"`
}

// fetchIDs requests a block of IDs from an entry VM. The error wraps errNoIDs.
func (caller *Caller) fetchIDs(ctx context.Context, entry int, team string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	endpoint := fmt.Sprintf("http://%s/v1/submission-ids?count=%d", caller.config.Entries[entry], idBlockSize)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, endpoint, nil)
	if err != nil {
		return nil, eris.Wrap(errNoIDs, err.Error())
	}
	request.Header.Set(headerTeam, team)
	response, err := caller.httpClient.Do(request)
	if err != nil {
		return nil, eris.Wrap(errNoIDs, err.Error())
	}
	defer response.Body.Close()
	var issued issuedIDs
	err = json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&issued)
	if err != nil || response.StatusCode != http.StatusOK || len(issued.SubmissionIDs) == 0 {
		return nil, eris.Wrapf(errNoIDs, "status %d", response.StatusCode)
	}
	return issued.SubmissionIDs, nil
}

// putJob sends a job to an entry VM once. Retry marks the request as a retry.
// The error wraps errNeverSent or errDeliveryUnknown.
func (caller *Caller) putJob(ctx context.Context, target int, id, team string, body []byte, retry bool) (job.Answer, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	endpoint := "http://" + caller.config.Entries[target] + "/v1/jobs/" + url.PathEscape(id)
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, endpoint, bytes.NewReader(body))
	if err != nil {
		return job.Answer{}, eris.Wrap(errNeverSent, err.Error())
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(headerTeam, team)
	if retry {
		request.Header.Set(headerRetry, "true")
	}
	response, err := caller.httpClient.Do(request)
	if err != nil {
		if !connected.Load() {
			// The VM may be down, which makes the IDs that it issued useless.
			caller.idPools[target].clear(team)
			return job.Answer{}, eris.Wrap(errNeverSent, err.Error())
		}
		return job.Answer{}, eris.Wrap(errDeliveryUnknown, err.Error())
	}
	defer response.Body.Close()
	answer, err := readAnswer(response)
	if err != nil {
		return job.Answer{}, eris.Wrap(errDeliveryUnknown, err.Error())
	}
	if freshIDs := response.Header.Get(headerIDs); freshIDs != "" {
		caller.idPools[target].add(team, strings.Split(freshIDs, ","))
	}
	return answer, nil
}

// readAnswer reads an answer and verifies its digest, if it has one.
func readAnswer(response *http.Response) (job.Answer, error) {
	var answer job.Answer
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return answer, err
	}
	if digest := response.Header.Get(headerDigest); digest != "" && digest != digestOf(data) {
		return answer, eris.New("answer does not match its digest")
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return answer, err
	}
	if answer.Outcome == "" {
		return answer, eris.Errorf("status %d without an outcome", response.StatusCode)
	}
	return answer, nil
}

// digestOf returns the value of a Repr-Digest header for body.
func digestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}
