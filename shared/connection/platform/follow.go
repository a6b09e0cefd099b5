package platform

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

const (
	// DefaultWait is the wait of one long poll. With ReadGrace and the shorter
	// polls after a failure, two lost polls in a row leave the 3 s target
	// intact, at one poll a second.
	DefaultWait = time.Second
	// DefaultBackoff is the mean pause after the first failure.
	DefaultBackoff = 50 * time.Millisecond
	// DefaultMaxBackoff bounds the pause, so that a plan published right
	// after an outage is read well within 3 s.
	DefaultMaxBackoff = time.Second
	// DefaultBatch is the largest number of records in one read.
	DefaultBatch = 64
	// maxReadGrace bounds the grace given to a platform that answers slowly.
	maxReadGrace = 8 * time.Second
)

// FollowConfig bounds a follow loop. The zero value means the defaults.
type FollowConfig struct {
	Wait       time.Duration
	Backoff    time.Duration
	MaxBackoff time.Duration
	Batch      int
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

// ReadResult is what one read of a stream brought.
type ReadResult interface{ logEvent() }

// The log events.
type (
	// RecordsRead carries the answer to a read; the records may be empty.
	RecordsRead struct {
		From     int64
		Response ReadResponse
	}
	// RecordsTrimmed says that the offset asked for is no longer retained.
	RecordsTrimmed struct {
		FirstOffset int64
		NextOffset  int64
	}
	// ReadFailed says that a read failed; the loop goes on.
	ReadFailed struct {
		Err error
	}
)

func (RecordsRead) logEvent()    {}
func (RecordsTrimmed) logEvent() {}
func (ReadFailed) logEvent()     {}

// Deliver hands an event to the owner of the reader's state and returns the
// offset to read next. An error ends the loop.
type Deliver func(ctx context.Context, event ReadResult) (next int64, err error)

// FollowRecords reads a stream from next until ctx ends or deliver fails, and
// returns that error. Failed reads are repeated after an exponential pause
// with full jitter; the offset comes from deliver each time, so that a reader
// can go back to the offset of a snapshot.
func (client *Client) FollowRecords(ctx context.Context, stream string, config FollowConfig, next int64, deliver Deliver) error {
	pacer := newPacer(config)
	for {
		poll := pacer.poll()
		event := client.readEvent(ctx, stream, pacer.config.Batch, next, poll)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		following, err := deliver(ctx, event)
		if err != nil {
			return err
		}
		next = following
		err = pacer.after(ctx, poll, outcomeOf(event, next))
		if err != nil {
			return err
		}
	}
}

func (client *Client) readEvent(ctx context.Context, stream string, batch int, next int64, poll poll) ReadResult {
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

func outcomeOf(event ReadResult, next int64) outcome {
	switch event := event.(type) {
	case RecordsRead:
		if len(event.Response.Records) == 0 {
			return outcomeEmpty
		}
		return outcomeNews
	case RecordsTrimmed:
		if next >= event.FirstOffset {
			return outcomeNews
		}
	}
	return outcomeFailed
}

// FollowVms reads the VM list until ctx ends or deliver fails, and returns
// that error. deliver gets each list with a new version and a nil error, or
// the error of a failed read.
func (client *Client) FollowVms(ctx context.Context, config FollowConfig, deliver func(ctx context.Context, list VmsResponse, failure error) error) error {
	pacer := newPacer(config)
	known := int64(-1)
	for {
		poll := pacer.poll()
		list, failure := client.vms(ctx, known, poll)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		outcome := outcomeNews
		switch {
		case failure != nil:
			outcome = outcomeFailed
		case list.Version == known:
			outcome = outcomeEmpty
		}
		if outcome != outcomeEmpty {
			err := deliver(ctx, list, failure)
			if err != nil {
				return err
			}
		}
		if failure == nil {
			known = list.Version
		}
		err := pacer.after(ctx, poll, outcome)
		if err != nil {
			return err
		}
	}
}

// outcome is what a poll brought.
type outcome uint8

const (
	outcomeNews outcome = iota
	outcomeEmpty
	outcomeFailed
)

// poll bounds one long poll: it is held for up to wait and given up after
// wait plus grace.
type poll struct {
	wait  time.Duration
	grace time.Duration
	began time.Time
}

// pacer spaces the polls of a follow loop.
type pacer struct {
	config   FollowConfig
	failures int
	// unheld counts the polls in a row that the platform answered at once and
	// with nothing.
	unheld int
	grace  time.Duration
}

func newPacer(config FollowConfig) *pacer {
	return &pacer{
		config: config.withDefaults(),
		grace:  ReadGrace,
	}
}

// poll bounds the next poll. After a failure the platform is asked not to hold
// the request, so that a connection that went silent is told from a poll that
// found nothing.
func (pacer *pacer) poll() poll {
	next := poll{
		wait:  pacer.config.Wait,
		grace: pacer.grace,
		began: time.Now(),
	}
	if pacer.failures > 0 {
		next.wait = 0
	}
	return next
}

// after pauses as the outcome of a poll demands. The grace doubles with each
// failure, so that a platform that answers slowly is still read, and shrinks
// by half with each success.
func (pacer *pacer) after(ctx context.Context, done poll, outcome outcome) error {
	if outcome == outcomeFailed {
		pacer.failures++
		pacer.grace = min(2*pacer.grace, maxReadGrace)
		return pause(ctx, pacer.delay(pacer.failures))
	}
	pacer.failures = 0
	pacer.grace = max(pacer.grace/2, ReadGrace)
	if outcome == outcomeNews || time.Since(done.began) >= done.wait/2 {
		pacer.unheld = 0
		return nil
	}
	pacer.unheld++
	return pause(ctx, pacer.delay(pacer.unheld))
}

// delay is a random part of a bound that doubles with the count.
func (pacer *pacer) delay(count int) time.Duration {
	const maxShift = 20
	bound := min(pacer.config.Backoff<<min(count, maxShift), pacer.config.MaxBackoff)
	return time.Duration(pacer.config.Random() * float64(bound))
}

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
