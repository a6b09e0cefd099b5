package platform

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

const (
	// DefaultWait is the wait of one long poll. With ReadGrace it keeps two
	// lost polls in a row within the 3 s target, at one poll a second.
	DefaultWait = time.Second
	// DefaultBackoff is the mean pause after the first failure.
	DefaultBackoff = 50 * time.Millisecond
	// DefaultMaxBackoff bounds the pause, so that a plan published right
	// after an outage is read well within 3 s.
	DefaultMaxBackoff = time.Second
	// DefaultBatch is the largest number of records in one read.
	DefaultBatch = 64
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

// LogEvent is what one read of a stream brought.
type LogEvent interface{ logEvent() }

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
	// LogUnreachable says that a read failed; the loop goes on.
	LogUnreachable struct {
		Err error
	}
)

func (RecordsRead) logEvent()    {}
func (RecordsTrimmed) logEvent() {}
func (LogUnreachable) logEvent() {}

// Deliver hands an event to the owner of the reader's state and returns the
// offset to read next. An error ends the loop.
type Deliver func(ctx context.Context, event LogEvent) (next int64, err error)

// FollowRecords reads a stream from next until ctx ends or deliver fails, and
// returns that error. Failed reads are repeated after an exponential pause
// with full jitter; the offset comes from deliver each time, so that a reader
// can go back to the offset of a snapshot.
func (client *Client) FollowRecords(ctx context.Context, stream string, config FollowConfig, next int64, deliver Deliver) error {
	config = config.withDefaults()
	failures := 0
	for {
		began := time.Now()
		event := client.readEvent(ctx, stream, config, next)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		following, err := deliver(ctx, event)
		if err != nil {
			return err
		}
		next = following
		if progress(event, next, time.Since(began) >= config.Wait/2) {
			failures = 0
			continue
		}
		failures++
		err = pause(ctx, config.delay(failures))
		if err != nil {
			return err
		}
	}
}

// progress says whether the loop may read again at once. A platform that
// answers long polls at once and with nothing must not be polled in a tight
// loop.
func progress(event LogEvent, next int64, waited bool) bool {
	switch event := event.(type) {
	case RecordsRead:
		return waited || len(event.Response.Records) > 0
	case RecordsTrimmed:
		return next >= event.FirstOffset
	default:
		return false
	}
}

func (client *Client) readEvent(ctx context.Context, stream string, config FollowConfig, next int64) LogEvent {
	response, err := client.Read(ctx, stream, next, config.Batch, config.Wait)
	var trimmed *TrimmedError
	switch {
	case errors.As(err, &trimmed):
		return RecordsTrimmed{
			FirstOffset: trimmed.FirstOffset,
			NextOffset:  trimmed.NextOffset,
		}
	case err != nil:
		return LogUnreachable{
			Err: err,
		}
	default:
		return RecordsRead{
			From:     next,
			Response: response,
		}
	}
}

// FollowVms reads the VM list until ctx ends or deliver fails, and returns
// that error. deliver gets each list with a new version and a nil error, or
// the error of a failed read.
func (client *Client) FollowVms(ctx context.Context, config FollowConfig, deliver func(ctx context.Context, list VmsResponse, failure error) error) error {
	config = config.withDefaults()
	failures := 0
	known := int64(-1)
	for {
		began := time.Now()
		list, failure := client.Vms(ctx, known, config.Wait)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		unchanged := failure == nil && list.Version == known
		if !unchanged {
			err := deliver(ctx, list, failure)
			if err != nil {
				return err
			}
		}
		if failure == nil {
			known = list.Version
		}
		waited := time.Since(began) >= config.Wait/2
		if failure == nil && (waited || !unchanged) {
			failures = 0
			continue
		}
		failures++
		err := pause(ctx, config.delay(failures))
		if err != nil {
			return err
		}
	}
}

// delay is the pause after a number of failures in a row: a random part of a
// bound that doubles with each failure.
func (config FollowConfig) delay(failures int) time.Duration {
	bound := config.MaxBackoff
	shift := min(failures, 30)
	if doubled := config.Backoff << shift; doubled > 0 && doubled < bound {
		bound = doubled
	}
	return time.Duration(config.Random() * float64(bound))
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
