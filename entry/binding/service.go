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
	// expireInterval is the time between two checks for proposals that have
	// timed out.
	expireInterval = 50 * time.Millisecond
	// minBackoff and maxBackoff bound the backoff after a failed call of the log.
	// maxBackoff is far below the timeout of a proposal, so that a proposal made
	// near the end of an outage still succeeds.
	minBackoff = 10 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
	// callTimeout bounds one call of the log, so that a proposal outlives one
	// call on a connection that has gone silent.
	callTimeout = 700 * time.Millisecond
	// maxReadRecords bounds the records in one read.
	maxReadRecords = 100
)

// ErrStopped is returned by the methods of a Service whose Run has returned.
var ErrStopped = eris.New("key binding service has stopped")

// Log holds the methods of platform.Client that a Service uses.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (platform.ReadResponse, error)
}

// Service resolves keys to submission IDs. Lookup and Bind are safe for
// concurrent use while Run runs.
type Service struct {
	log      Log
	stream   string
	binder   *binding.Binder
	now      func() time.Time
	requests chan resolveRequest
	results  chan result
	stopped  chan struct{}
	// replies holds the reply channels of the pending proposals, by ticket.
	replies map[uint64]chan<- binding.Resolution
	// callInProgress is set during a call of the log. cancelRead cancels a read
	// that waits for new records; it is nil during other calls.
	callInProgress bool
	cancelRead     context.CancelFunc
	// backoffEnd is the earliest time of the next call after a failed one.
	backoffEnd time.Time
	// failures counts the failed calls since the last successful one.
	failures int
}

// resolveRequest requests the resolution of a key. With an ID it proposes to
// bind the key to that ID; without, it only looks the key up.
type resolveRequest struct {
	key   binding.Key
	id    *submission.ID
	reply chan<- binding.Resolution
}

// result is the result of a call of the log: appended or recordsRead.
type result interface{ result() }

type (
	appended struct {
		offset int64
		err    error
	}
	recordsRead struct {
		from     int64
		response platform.ReadResponse
		// interrupted is set if the read was cancelled, for example to append
		// a proposal.
		interrupted bool
		err         error
	}
)

func (appended) result()    {}
func (recordsRead) result() {}

// New returns a Service that stores bindings in the named stream of log. Lookup
// and Bind wait until Run is called.
func New(log Log, stream string, binder *binding.Binder, now func() time.Time) *Service {
	return &Service{
		log:      log,
		stream:   stream,
		binder:   binder,
		now:      now,
		requests: make(chan resolveRequest),
		results:  make(chan result, 1),
		stopped:  make(chan struct{}),
		replies:  make(map[uint64]chan<- binding.Resolution),
	}
}

// Lookup resolves a key from the records read so far, without a call of the
// log. The error is ErrStopped or the context's.
func (service *Service) Lookup(ctx context.Context, key binding.Key) (binding.Resolution, error) {
	return service.resolve(ctx, key, nil)
}

// Bind binds key to id unless key is bound already. It returns binding.Bound
// with the ID that key is bound to, or binding.Unbound with the reason why key
// could not be bound. The error is ErrStopped or the context's.
func (service *Service) Bind(ctx context.Context, key binding.Key, id submission.ID) (binding.Resolution, error) {
	return service.resolve(ctx, key, &id)
}

func (service *Service) resolve(ctx context.Context, key binding.Key, id *submission.ID) (binding.Resolution, error) {
	reply := make(chan binding.Resolution, 1)
	request := resolveRequest{
		key:   key,
		id:    id,
		reply: reply,
	}
	select {
	case service.requests <- request:
	case <-service.stopped:
		return nil, ErrStopped
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case resolution := <-reply:
		return resolution, nil
	case <-service.stopped:
		return nil, ErrStopped
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Run handles lookups and proposals until ctx ends, and then returns nil.
func (service *Service) Run(ctx context.Context) error {
	defer close(service.stopped)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	resume := time.NewTimer(0)
	defer resume.Stop()
	for {
		service.startCall(ctx, resume)
		select {
		case <-ctx.Done():
			service.awaitCall()
			return nil
		case request := <-service.requests:
			service.handleRequest(request)
		case result := <-service.results:
			service.handleResult(result)
		case <-ticker.C:
			service.binder.Expire(service.now())
		case <-resume.C:
		}
		service.sendReplies()
	}
}

// awaitCall waits for the call in progress, if any. Its context has ended.
func (service *Service) awaitCall() {
	if service.callInProgress {
		<-service.results
	}
}

// handleRequest replies to a lookup, or proposes a binding and interrupts the
// read that would delay its append.
func (service *Service) handleRequest(request resolveRequest) {
	now := service.now()
	if request.id == nil {
		request.reply <- service.binder.Lookup(now, request.key)
		return
	}
	ticket := service.binder.Propose(now, request.key, *request.id)
	service.replies[ticket] = request.reply
	if service.cancelRead != nil && service.binder.PendingKeys() > 0 {
		service.cancelRead()
	}
}

// sendReplies sends the results of the proposals that have ended.
func (service *Service) sendReplies() {
	for _, proposal := range service.binder.TakeResults() {
		service.replies[proposal.Ticket] <- proposal.Resolution
		delete(service.replies, proposal.Ticket)
	}
}

// startCall starts the next call of the log unless one is in progress. During a
// backoff it only sets resume to the end of the backoff.
func (service *Service) startCall(ctx context.Context, resume *time.Timer) {
	if service.callInProgress {
		return
	}
	now := service.now()
	if backoff := service.backoffEnd.Sub(now); backoff > 0 {
		resume.Reset(backoff)
		return
	}
	switch step := service.binder.Next(now).(type) {
	case binding.Append:
		service.callInProgress = true
		go service.append(ctx, step.Data)
	case binding.Read:
		service.callInProgress = true
		ctx, cancel := context.WithCancel(ctx)
		if step.Interruptible {
			service.cancelRead = cancel
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
	timeoutCtx, cancel := context.WithTimeout(ctx, step.Wait+callTimeout)
	defer cancel()
	response, err := service.log.Read(timeoutCtx, service.stream, step.From, maxReadRecords, step.Wait)
	service.results <- recordsRead{
		from:        step.From,
		response:    response,
		interrupted: ctx.Err() != nil,
		err:         err,
	}
}

func (service *Service) handleResult(result result) {
	service.callInProgress = false
	service.cancelRead = nil
	switch result := result.(type) {
	case appended:
		service.handleAppended(result)
	case recordsRead:
		service.handleRecordsRead(result)
	}
}

func (service *Service) handleAppended(result appended) {
	switch {
	case result.err == nil:
		service.binder.Appended(result.offset)
		service.recordSuccess()
	case errors.Is(result.err, platform.ErrRefused):
		service.binder.AppendRefused()
		service.recordFailure()
	default:
		service.binder.AppendFailed(!errors.Is(result.err, platform.ErrUnavailable))
		service.recordFailure()
	}
}

func (service *Service) handleRecordsRead(result recordsRead) {
	var trimmed *platform.TrimmedError
	switch {
	case result.err == nil:
		service.binder.RecordsRead(service.now(), result.from, result.response)
		service.recordSuccess()
	case errors.As(result.err, &trimmed) && trimmed.FirstOffset > result.from:
		service.binder.Trimmed(service.now(), trimmed.FirstOffset)
		service.recordSuccess()
	case result.interrupted:
	default:
		service.recordFailure()
	}
}

func (service *Service) recordSuccess() {
	service.failures = 0
	service.backoffEnd = time.Time{}
}

// recordFailure starts a backoff that doubles with each failure in a row.
func (service *Service) recordFailure() {
	const maxDoublings = 5
	backoff := min(minBackoff<<min(service.failures, maxDoublings), maxBackoff)
	service.failures++
	service.backoffEnd = service.now().Add(backoff)
}
