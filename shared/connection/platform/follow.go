package platform

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

const (
	// DefaultWait is the wait of one long poll, which makes one poll a second.
	// With ReadGrace and the immediate polls after a failure, the 3 s target is
	// met even if two polls in a row are lost.
	DefaultWait = time.Second
	// DefaultBackoff is the mean backoff after the first failure.
	DefaultBackoff = 50 * time.Millisecond
	// DefaultMaxBackoff bounds the backoff, so that a plan that is published
	// right after an outage is read well within 3 s.
	DefaultMaxBackoff = time.Second
	// DefaultBatch is the maximum number of records in one read.
	DefaultBatch = 64
	// maxReadGrace bounds the grace for a platform that answers slowly.
	maxReadGrace = 8 * time.Second
)

// FollowConfig holds the timing of a follow loop. Zero values mean the defaults.
type FollowConfig struct {
	// Wait is how long the platform may hold a long poll.
	Wait time.Duration
	// Backoff is the mean backoff after the first failure.
	Backoff time.Duration
	// MaxBackoff bounds the backoff.
	MaxBackoff time.Duration
	// Batch is the maximum number of records in one read.
	Batch int
	// Random returns values in [0, 1) for the jitter.
	Random func() float64
}

func (config FollowConfig) withDefaults() FollowConfig {
	if config.Wait <= 0 {
		config.Wait = DefaultWait
	}
	if config.Backoff <= 0 {
		config.Backoff = DefaultBackoff
	}
	if config.MaxBackoff <= 0 {
		config.MaxBackoff = DefaultMaxBackoff
	}
	if config.Batch <= 0 {
		config.Batch = DefaultBatch
	}
	if config.Random == nil {
		config.Random = rand.Float64
	}
	return config
}

// ReadResult is the result of one read of a stream.
type ReadResult interface{ readResult() }

// The results of a read.
type (
	// RecordsRead carries the response to a read from the offset From. It may
	// have no records.
	RecordsRead struct {
		From     int64
		Response ReadResponse
	}
	// RecordsTrimmed means that the requested record is no longer retained. The
	// retained records are those from FirstOffset up to but excluding
	// NextOffset.
	RecordsTrimmed struct {
		FirstOffset int64
		NextOffset  int64
	}
	// ReadFailed means that a read failed. The loop retries it.
	ReadFailed struct {
		Err error
	}
)

func (RecordsRead) readResult()    {}
func (RecordsTrimmed) readResult() {}
func (ReadFailed) readResult()     {}

// Deliver passes a result to the owner of the reader's state and returns the
// offset to read next. An error ends the loop.
type Deliver func(ctx context.Context, result ReadResult) (next int64, err error)

// FollowRecords reads a stream from next until ctx ends or deliver fails, and
// returns that error. Failed reads are retried with exponential backoff and full
// jitter. deliver chooses the next offset after every read, so that a reader can
// go back to the offset of a snapshot.
func (client *Client) FollowRecords(ctx context.Context, stream string, config FollowConfig, next int64, deliver Deliver) error {
	pacer := newPacer(config)
	for {
		poll := pacer.nextPoll()
		result := client.readOnce(ctx, stream, pacer.config.Batch, next, poll)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		nextOffset, err := deliver(ctx, result)
		if err != nil {
			return err
		}
		next = nextOffset
		err = pacer.pauseAfter(ctx, poll, outcomeOf(result, next))
		if err != nil {
			return err
		}
	}
}

func (client *Client) readOnce(ctx context.Context, stream string, batch int, next int64, poll poll) ReadResult {
	response, err := client.read(ctx, stream, next, batch, poll)
	var trimmed *TrimmedError
	switch {
	case errors.As(err, &trimmed):
		return RecordsTrimmed{
			FirstOffset: trimmed.FirstOffset,
			NextOffset:  trimmed.NextOffset,
		}
	case err != nil:
		return ReadFailed{
			Err: err,
		}
	default:
		return RecordsRead{
			From:     next,
			Response: response,
		}
	}
}

// outcomeOf returns the outcome of a read after which the offset next is read. A
// trimmed offset counts as a failure if the reader does not skip the gap.
func outcomeOf(result ReadResult, next int64) outcome {
	switch result := result.(type) {
	case RecordsRead:
		if len(result.Response.Records) == 0 {
			return outcomeEmpty
		}
		return outcomeNew
	case RecordsTrimmed:
		if next >= result.FirstOffset {
			return outcomeNew
		}
	}
	return outcomeFailed
}

// FollowVMs polls the VM list until ctx ends or deliver fails, and returns that
// error. deliver is called with each list of a new version, or with the error of
// a failed read.
func (client *Client) FollowVMs(ctx context.Context, config FollowConfig, deliver func(ctx context.Context, list VMsResponse, readErr error) error) error {
	pacer := newPacer(config)
	knownVersion := int64(-1)
	for {
		poll := pacer.nextPoll()
		list, readErr := client.vms(ctx, knownVersion, poll)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		outcome := outcomeNew
		switch {
		case readErr != nil:
			outcome = outcomeFailed
		case list.Version == knownVersion:
			outcome = outcomeEmpty
		}
		if outcome != outcomeEmpty {
			err := deliver(ctx, list, readErr)
			if err != nil {
				return err
			}
		}
		if readErr == nil {
			knownVersion = list.Version
		}
		err := pacer.pauseAfter(ctx, poll, outcome)
		if err != nil {
			return err
		}
	}
}

// outcome classifies the result of a poll.
type outcome uint8

const (
	// outcomeNew means that there were new records or a new list.
	outcomeNew outcome = iota
	// outcomeEmpty means that there was nothing new.
	outcomeEmpty
	// outcomeFailed means that the poll failed.
	outcomeFailed
)

// poll is the timing of one long poll. The platform holds it for up to wait. The
// client abandons it after wait plus grace.
type poll struct {
	wait      time.Duration
	grace     time.Duration
	startedAt time.Time
}

// pacer determines the timing of the polls of a follow loop.
type pacer struct {
	config FollowConfig
	// failures counts the polls in a row that failed.
	failures int
	// immediateEmptyReplies counts the polls in a row that the platform answered
	// with nothing new and without holding them.
	immediateEmptyReplies int
	// grace is the grace of the next poll.
	grace time.Duration
}

func newPacer(config FollowConfig) *pacer {
	return &pacer{
		config: config.withDefaults(),
		grace:  ReadGrace,
	}
}

// nextPoll returns the timing of the next poll. After a failure it is an
// immediate poll, so that a connection that went silent can be distinguished from
// a poll without news.
func (pacer *pacer) nextPoll() poll {
	next := poll{
		wait:      pacer.config.Wait,
		grace:     pacer.grace,
		startedAt: time.Now(),
	}
	if pacer.failures > 0 {
		next.wait = 0
	}
	return next
}

// pauseAfter waits for the backoff after a failed poll, or after an empty one that
// the platform did not hold. The grace doubles with each failure, so that a
// platform that answers slowly is still read, and is halved with each success.
func (pacer *pacer) pauseAfter(ctx context.Context, previous poll, outcome outcome) error {
	if outcome == outcomeFailed {
		pacer.failures++
		pacer.grace = min(2*pacer.grace, maxReadGrace)
		return pause(ctx, pacer.backoff(pacer.failures))
	}
	pacer.failures = 0
	pacer.grace = max(pacer.grace/2, ReadGrace)
	if outcome == outcomeNew || time.Since(previous.startedAt) >= previous.wait/2 {
		pacer.immediateEmptyReplies = 0
		return nil
	}
	pacer.immediateEmptyReplies++
	return pause(ctx, pacer.backoff(pacer.immediateEmptyReplies))
}

// backoff returns a random part of a bound that doubles with count.
func (pacer *pacer) backoff(count int) time.Duration {
	const maxShift = 20
	bound := min(pacer.config.Backoff<<min(count, maxShift), pacer.config.MaxBackoff)
	return time.Duration(pacer.config.Random() * float64(bound))
}

// pause waits for delay or until ctx ends.
func pause(ctx context.Context, delay time.Duration) error {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
