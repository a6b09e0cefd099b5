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
	// idBlock is the number of IDs fetched when a stock is empty.
	idBlock = 64
	// maxStock bounds the IDs kept for one team, since each answer may carry
	// more fresh IDs than it spent.
	maxStock = 1024
	// maxAnswerBytes bounds an answer of 580 tasks with some KB each.
	maxAnswerBytes = 16 << 20
)

var (
	// errNeverSent: no byte of the request was handed to a connection.
	errNeverSent = eris.New("request was never sent")
	// errLost: the request may have reached the VM.
	errLost = eris.New("connection was lost")
	// errNoIDs: the VM issued no ID.
	errNoIDs = eris.New("no submission IDs")
)

// stock holds unspent IDs of one entry VM by team.
type stock struct {
	mutex sync.Mutex
	ids   map[string][]string
}

func newStock() *stock {
	return &stock{
		ids: map[string][]string{},
	}
}

func (stock *stock) take(team string) (string, bool) {
	stock.mutex.Lock()
	defer stock.mutex.Unlock()
	ids := stock.ids[team]
	if len(ids) == 0 {
		return "", false
	}
	id := ids[len(ids)-1]
	stock.ids[team] = ids[:len(ids)-1]
	return id, true
}

func (stock *stock) put(team string, ids []string) {
	stock.mutex.Lock()
	defer stock.mutex.Unlock()
	room := max(0, maxStock-len(stock.ids[team]))
	stock.ids[team] = append(stock.ids[team], ids[:min(room, len(ids))]...)
}

func (stock *stock) clear(team string) {
	stock.mutex.Lock()
	defer stock.mutex.Unlock()
	delete(stock.ids, team)
}

// takeID returns an unspent ID of an entry VM; requested tells whether that
// took a request.
func (caller *Caller) takeID(ctx context.Context, entry int, team string) (id string, requested bool, err error) {
	if id, ok := caller.stocks[entry].take(team); ok {
		return id, false, nil
	}
	ids, err := caller.fetchIDs(ctx, entry, team)
	if err != nil {
		return "", true, err
	}
	caller.stocks[entry].put(team, ids[1:])
	return ids[0], true, nil
}

type issuedIDs struct {
	SubmissionIDs []string `json:"submission-ids"`
}

func (caller *Caller) fetchIDs(ctx context.Context, entry int, team string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	address := fmt.Sprintf("http://%s/v1/submission-ids?count=%d", caller.config.Entries[entry], idBlock)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, nil)
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

// put sends a job once. The error wraps errNeverSent or errLost.
func (caller *Caller) put(ctx context.Context, target int, id, team string, body []byte, retry bool) (job.Answer, error) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	address := "http://" + caller.config.Entries[target] + "/v1/jobs/" + url.PathEscape(id)
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, address, bytes.NewReader(body))
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
		if !sent.Load() {
			// The VM may be gone, and the IDs it issued with it.
			caller.stocks[target].clear(team)
			return job.Answer{}, eris.Wrap(errNeverSent, err.Error())
		}
		return job.Answer{}, eris.Wrap(errLost, err.Error())
	}
	defer response.Body.Close()
	answer, err := readAnswer(response)
	if err != nil {
		return job.Answer{}, eris.Wrap(errLost, err.Error())
	}
	if fresh := response.Header.Get(headerIDs); fresh != "" {
		caller.stocks[target].put(team, strings.Split(fresh, ","))
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
