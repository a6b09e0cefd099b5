package binding

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"tanagerfall/shared/connection/platform"
	"tanagerfall/shared/request/binding"
	"tanagerfall/shared/request/submission"
)

const (
	// expireEvery is how often waiting proposals are checked for their
	// timeout.
	expireEvery = 50 * time.Millisecond
	// pauseFirst and pauseMost bound the pause after a failed call. The most
	// is far below the timeout of a proposal, so that one made near the end
	// of an outage still succeeds.
	pauseFirst = 10 * time.Millisecond
	pauseMost  = 200 * time.Millisecond
	// callTimeout bounds one call of the log, so that a proposal outlives one
	// call on a connection that went silent.
	callTimeout = 700 * time.Millisecond
	// readBatch is the largest number of records in one read.
	readBatch = 100
)

// ErrStopped means that the service has stopped.
var ErrStopped = eris.New("key binding has stopped")

// Log is what the service needs: a platform.Client.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (platform.ReadResponse, error)
}

// Service answers which ID a key stands for. Its methods are safe for
// concurrent use while Run runs.
type Service struct {
	log     Log
	stream  string
	binder  *binding.Binder
	now     func() time.Time
	lookups chan lookup
	results chan result
	stopped chan struct{}
	waiting map[uint64]chan<- binding.Resolution
	// calling is set while a call of the log is under way; cancel ends a held
	// read and is nil during other calls.
	calling bool
	cancel  context.CancelFunc
	// pausedUntil is when the next call may be made after a failure.
	pausedUntil time.Time
	failures    int
}

// lookup asks for the verdict on a key. With an ID it is a proposal.
type lookup struct {
	key   binding.Key
	id    *submission.ID
	reply chan<- binding.Resolution
}

// result is what a call of the log brought.
type result interface{ result() }

type (
	appended struct {
		offset int64
		err    error
	}
	recordsRead struct {
		from     int64
		response platform.ReadResponse
		// abandoned is set where a held read was given up for a proposal.
		abandoned bool
		err       error
	}
)

func (appended) result()    {}
func (recordsRead) result() {}

// New returns a Service that keeps bindings on a stream of the log.
func New(log Log, stream string, binder *binding.Binder, now func() time.Time) *Service {
	return &Service{
		log:     log,
		stream:  stream,
		binder:  binder,
		now:     now,
		lookups: make(chan lookup),
		results: make(chan result, 1),
		stopped: make(chan struct{}),
		waiting: make(map[uint64]chan<- binding.Resolution),
	}
}

// Look returns what is known of a key without the log. The error is
// ErrStopped or the context's.
func (service *Service) Look(ctx context.Context, key binding.Key) (binding.Resolution, error) {
	return service.ask(ctx, key, nil)
}

// Bind binds key to id unless it is bound already, and returns
// binding.Bound with the ID that the key stands for, or binding.Unbound. The
// error is ErrStopped or the context's.
func (service *Service) Bind(ctx context.Context, key binding.Key, id submission.ID) (binding.Resolution, error) {
	return service.ask(ctx, key, &id)
}

func (service *Service) ask(ctx context.Context, key binding.Key, id *submission.ID) (binding.Resolution, error) {
	reply := make(chan binding.Resolution, 1)
	asked := lookup{
		key:   key,
		id:    id,
		reply: reply,
	}
	select {
	case service.lookups <- asked:
	case <-service.stopped:
		return nil, ErrStopped
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case verdict := <-reply:
		return verdict, nil
	case <-service.stopped:
		return nil, ErrStopped
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Run serves until ctx ends.
func (service *Service) Run(ctx context.Context) error {
	defer close(service.stopped)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ticker := time.NewTicker(expireEvery)
	defer ticker.Stop()
	resume := time.NewTimer(0)
	defer resume.Stop()
	for {
		service.step(ctx, resume)
		select {
		case <-ctx.Done():
			service.drainCall()
			return nil
		case asked := <-service.lookups:
			service.take(asked)
		case result := <-service.results:
			service.report(result)
		case <-ticker.C:
			service.binder.Expire(service.now())
		case <-resume.C:
		}
		service.reply()
	}
}

// drainCall waits for the call under way, whose context has ended.
func (service *Service) drainCall() {
	if service.calling {
		<-service.results
	}
}

func (service *Service) take(asked lookup) {
	now := service.now()
	if asked.id == nil {
		asked.reply <- service.binder.Lookup(now, asked.key)
		return
	}
	ticket := service.binder.Propose(now, asked.key, *asked.id)
	service.waiting[ticket] = asked.reply
	if service.cancel != nil && service.binder.PendingKeys() > 0 {
		service.cancel()
	}
}

func (service *Service) reply() {
	for _, answer := range service.binder.TakeResults() {
		service.waiting[answer.Ticket] <- answer.Resolution
		delete(service.waiting, answer.Ticket)
	}
}

// step begins the next call of the log, if none is under way and no pause is.
func (service *Service) step(ctx context.Context, resume *time.Timer) {
	if service.calling {
		return
	}
	now := service.now()
	if pause := service.pausedUntil.Sub(now); pause > 0 {
		resume.Reset(pause)
		return
	}
	switch step := service.binder.Next(now).(type) {
	case binding.Append:
		service.calling = true
		go service.append(ctx, step.Data)
	case binding.Read:
		service.calling = true
		ctx, cancel := context.WithCancel(ctx)
		if step.Interruptible {
			service.cancel = cancel
		}
		go func() {
			defer cancel()
			service.read(ctx, step)
		}()
	case binding.Idle:
	}
}

func (service *Service) append(ctx context.Context, data []byte) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	offset, err := service.log.Append(ctx, service.stream, data)
	service.results <- appended{
		offset: offset,
		err:    err,
	}
}

func (service *Service) read(ctx context.Context, step binding.Read) {
	bounded, cancel := context.WithTimeout(ctx, step.Wait+callTimeout)
	defer cancel()
	response, err := service.log.Read(bounded, service.stream, step.From, readBatch, step.Wait)
	service.results <- recordsRead{
		from:      step.From,
		response:  response,
		abandoned: ctx.Err() != nil,
		err:       err,
	}
}

func (service *Service) report(result result) {
	service.calling = false
	service.cancel = nil
	switch result := result.(type) {
	case appended:
		service.reportAppend(result)
	case recordsRead:
		service.reportRead(result)
	}
}

func (service *Service) reportAppend(result appended) {
	switch {
	case result.err == nil:
		service.binder.Appended(result.offset)
		service.succeed()
	case errors.Is(result.err, platform.ErrRefused):
		service.binder.AppendRefused()
		service.fail()
	default:
		service.binder.AppendFailed(!errors.Is(result.err, platform.ErrUnavailable))
		service.fail()
	}
}

func (service *Service) reportRead(result recordsRead) {
	var trimmed *platform.TrimmedError
	switch {
	case result.err == nil:
		service.binder.RecordsRead(service.now(), result.from, result.response)
		service.succeed()
	case errors.As(result.err, &trimmed) && trimmed.FirstOffset > result.from:
		service.binder.Trimmed(service.now(), trimmed.FirstOffset)
		service.succeed()
	case result.abandoned:
	default:
		service.fail()
	}
}

func (service *Service) succeed() {
	service.failures = 0
	service.pausedUntil = time.Time{}
}

// fail pauses for a time that doubles with each failure in a row.
func (service *Service) fail() {
	const mostDoublings = 5
	pause := min(pauseFirst<<min(service.failures, mostDoublings), pauseMost)
	service.failures++
	service.pausedUntil = service.now().Add(pause)
}
