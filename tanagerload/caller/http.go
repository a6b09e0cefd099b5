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

// The headers of the callers' interface.
const (
	headerTeam   = "Tanager-Team"
	headerIDs    = "Tanager-Submission-Ids"
	headerRetry  = "Tanager-Retry"
	headerDigest = "Repr-Digest"
)

const (
	// idBlockSize is the number of IDs fetched when a stock is empty.
	idBlockSize = 64
	// maxPooledIDs bounds the IDs kept for one team, since each answer may carry
	// more fresh IDs than it spent.
	maxPooledIDs = 1024
	// maxAnswerBytes bounds an answer of 580 tasks with some KB each.
	maxAnswerBytes = 16 << 20
)

var (
	// errNeverSent: no byte of the request was handed to a connection.
	errNeverSent = eris.New("request was never sent")
	// errLost: the request may have reached the VM.
	errDeliveryUnknown = eris.New("connection was lost")
	// errNoIDs: the VM issued no ID.
	errNoIDs = eris.New("no submission IDs")
)

// idPool holds unspent IDs of one entry VM by team.
type idPool struct {
	mutex sync.Mutex
	ids   map[string][]string
}

func newIDPool() *idPool {
	return &idPool{
		ids: map[string][]string{},
	}
}

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

func (idPool *idPool) add(team string, ids []string) {
	idPool.mutex.Lock()
	defer idPool.mutex.Unlock()
	capacity := max(0, maxPooledIDs-len(idPool.ids[team]))
	idPool.ids[team] = append(idPool.ids[team], ids[:min(capacity, len(ids))]...)
}

func (idPool *idPool) clear(team string) {
	idPool.mutex.Lock()
	defer idPool.mutex.Unlock()
	delete(idPool.ids, team)
}

// takeID returns an unspent ID of an entry VM; requested tells whether that
// took a request.
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

type issuedIDs struct {
	SubmissionIDs []string `json:"submission-ids"`
}

func (caller *Caller) fetchIDs(ctx context.Context, entry int, team string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	endpoint := fmt.Sprintf("http://%s/v1/submission-ids?count=%d", caller.config.Entries[entry], idBlockSize)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, endpoint, nil)
	if err != nil {
		return nil, eris.Wrap(errNoIDs, err.Error())
	}
	request.Header.Set(headerTeam, team)
	response, err := caller.http.Do(request)
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

// putJob sends a job once. The error wraps errNeverSent or errLost.
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
	response, err := caller.http.Do(request)
	if err != nil {
		if !connected.Load() {
			// The VM may be gone, and the IDs it issued with it.
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

// readAnswer reads a whole answer and checks its digest.
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

func digestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}
