package caller

import (
	"context"
	"encoding/json"
	"math"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"tanagerfall/shared/request/job"
	"tanagerfall/tanagerload/experiment"
	"tanagerfall/tanagerload/workload"
)

const (
	dialTimeout    = time.Second
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = time.Second
	// maxFreshIDs bounds the fresh IDs that a job uses after answers with the
	// reason not-delivered.
	maxFreshIDs = 3
)

// ErrNoAnswer is wrapped by Reply.Err if no answer came before the deadline
// plus Callers.AnswerSlackMs.
var ErrNoAnswer = eris.New("no answer")

// Config configures a Caller.
type Config struct {
	// Entries holds the addresses at which the entry VMs serve callers.
	Entries []string
	// EntrySizes holds the declared sizes of the entry VMs, in proportion to
	// which jobs are distributed. A size that is 0 or missing counts as 1.
	EntrySizes []float64
	Callers    experiment.Callers
	// ResubmitAfter is the time after which a job marked for resubmission is
	// submitted a second time.
	ResubmitAfter time.Duration
	// Transport replaces the HTTP transport in tests; nil means HTTP over TCP.
	Transport http.RoundTripper
}

// Caller submits jobs to entry VMs. It is safe for concurrent use.
type Caller struct {
	config     Config
	httpClient *http.Client
	// idPools holds the unused submission IDs of each entry VM.
	idPools []*idPool
}

// Reply is the outcome of submitting one job.
type Reply struct {
	// Answer is valid if Err is nil.
	Answer job.Answer
	// Err wraps ErrNoAnswer, or says that the job could not be encoded.
	Err error
	// EndedAt is when the first submission was answered or abandoned. Submit may
	// return later because of the resubmission.
	EndedAt time.Time
	// ResubmitAnswer is the answer to the resubmission; nil if the job was not
	// resubmitted or got no second answer.
	ResubmitAnswer *job.Answer
	// Submissions is the number of intended submissions: 1, or 2 with a
	// resubmission.
	Submissions int
	// Requests counts the requests sent for the job, including retries and
	// requests for submission IDs.
	Requests int
}

// New returns a Caller. It opens no connection yet.
func New(config Config) *Caller {
	caller := &Caller{
		config: config,
	}
	transport := config.Transport
	if transport == nil {
		dialer := &net.Dialer{
			Timeout: dialTimeout,
		}
		transport = &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: config.Callers.IdleConnections,
			DisableCompression:  true,
		}
	}
	caller.httpClient = &http.Client{
		Transport: transport,
	}
	for range config.Entries {
		caller.idPools = append(caller.idPools, newIDPool())
	}
	return caller
}

// Close closes all idle connections.
func (caller *Caller) Close() {
	caller.httpClient.CloseIdleConnections()
}

// Prefetch fetches a block of submission IDs for each team from each entry VM
// that answers, so that the first jobs do not wait for them.
func (caller *Caller) Prefetch(ctx context.Context, teams []experiment.Share) {
	for entry := range caller.config.Entries {
		for _, team := range teams {
			ids, err := caller.fetchIDs(ctx, entry, team.Name)
			if err == nil {
				caller.idPools[entry].add(team.Name, ids)
			}
		}
	}
}

// Submit submits the job of an arrival, with retries, and returns when it and
// its resubmission, if any, are answered or abandoned. Jobs are abandoned after
// their deadline plus Callers.AnswerSlackMs, or when ctx ends.
func (caller *Caller) Submit(ctx context.Context, arrival *workload.Arrival) Reply {
	body, err := json.Marshal(arrival.Job)
	if err != nil {
		return Reply{
			EndedAt: time.Now(),
			Err:     eris.Wrap(err, "encode job"),
		}
	}
	timeout := time.Duration(arrival.Job.DeadlineMs+caller.config.Callers.AnswerSlackMs) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	delivery := &delivery{
		caller:       caller,
		team:         arrival.Team,
		body:         body,
		issuer:       caller.EntryOf(arrival),
		targetRandom: arrival.EntryRandom >> 32,
	}
	reply := Reply{
		Submissions: 1,
	}
	resubmitAnswer := make(chan *job.Answer, 1)
	if arrival.Resubmit {
		reply.Submissions = 2
		delivery.firstID = make(chan string, 1)
		go func() { resubmitAnswer <- delivery.resubmit(ctx) }()
	}
	reply.Answer, reply.Err = delivery.run(ctx)
	reply.EndedAt = time.Now()
	if arrival.Resubmit {
		reply.ResubmitAnswer = <-resubmitAnswer
	}
	reply.Requests = int(delivery.requests.Load())
	return reply
}

// EntryOf returns the index of the entry VM that is first asked for the job's
// submission ID.
func (caller *Caller) EntryOf(arrival *workload.Arrival) int {
	return caller.chooseEntry(arrival.EntryRandom & math.MaxUint32)
}

// chooseEntry returns the index of an entry VM, chosen with a probability
// proportional to its size, for a random number below 1<<32.
func (caller *Caller) chooseEntry(random uint64) int {
	total := 0.0
	for i := range caller.config.Entries {
		total += caller.entrySize(i)
	}
	remaining := float64(random) / (1 << 32) * total
	for i := range caller.config.Entries {
		remaining -= caller.entrySize(i)
		if remaining < 0 {
			return i
		}
	}
	return len(caller.config.Entries) - 1
}

// entrySize returns the size of an entry VM, 1 if it has none.
func (caller *Caller) entrySize(entry int) float64 {
	if entry >= len(caller.config.EntrySizes) || caller.config.EntrySizes[entry] <= 0 {
		return 1
	}
	return caller.config.EntrySizes[entry]
}

// sleep waits for duration, or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
