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
	// maxFreshIDs bounds the fresh IDs that a job takes after not-delivered.
	maxFreshIDs = 3
)

// ErrNoAnswer is wrapped if no answer came before the deadline and the slack.
var ErrNoAnswer = eris.New("no answer")

// Config is what a Caller needs.
type Config struct {
	// Entries holds the callers' addresses of the entry VMs.
	Entries []string
	// EntrySizes holds the declared sizes of the entry VMs, by which the balancer
	// divides the jobs; 0, or none at all, stands for 1.
	EntrySizes []float64
	Callers    experiment.Callers
	// ResubmitAfter is the time after which a job is sent a second time.
	ResubmitAfter time.Duration
	// Transport replaces the transport in tests; nil takes HTTP connections.
	Transport http.RoundTripper
}

// Caller submits jobs. It is safe for concurrent use.
type Caller struct {
	config  Config
	http    *http.Client
	idPools []*idPool
}

// Reply is what came of one job.
type Reply struct {
	// Answer is valid if Err is nil.
	Answer job.Answer
	Err    error
	// EndedAt is when the first submission was answered or given up; Submit
	// may return later because of the resubmission.
	EndedAt time.Time
	// ResubmitAnswer is the answer to the resubmission, if there was one.
	ResubmitAnswer *job.Answer
	// Submissions counts the submissions that were meant to be made: 1, or 2
	// with the resubmission. Requests counts the requests sent for them,
	// those for IDs included.
	Submissions int
	Requests    int
}

// New returns a Caller.
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
	caller.http = &http.Client{
		Transport: transport,
	}
	for range config.Entries {
		caller.idPools = append(caller.idPools, newIDPool())
	}
	return caller
}

// Close closes the idle connections.
func (caller *Caller) Close() {
	caller.http.CloseIdleConnections()
}

// Prefetch gets a block of IDs for each team from each entry VM that answers,
// so that the first jobs do not wait for them.
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

// Submit submits the job of an arrival and returns when it is answered or
// given up.
func (caller *Caller) Submit(ctx context.Context, arrival *workload.Arrival) Reply {
	body, err := json.Marshal(arrival.Job)
	if err != nil {
		return Reply{
			EndedAt: time.Now(),
			Err:     eris.Wrap(err, "encoding the job"),
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

// EntryOf returns the index of the entry VM that issues the job's ID.
func (caller *Caller) EntryOf(arrival *workload.Arrival) int {
	return caller.chooseEntry(arrival.EntryRandom & math.MaxUint32)
}

// chooseEntry returns the index of an entry VM by its size for a random number
// below 1<<32.
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

func (caller *Caller) entrySize(entry int) float64 {
	if entry >= len(caller.config.EntrySizes) || caller.config.EntrySizes[entry] <= 0 {
		return 1
	}
	return caller.config.EntrySizes[entry]
}

// sleep waits for duration or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
