package binding

import (
	"time"

	"tanagerfall/shared/connection/platform"
	"tanagerfall/shared/request/submission"
)

const (
	// MaxFutureSkew is how far a key's time may be ahead of the clock.
	MaxFutureSkew = time.Minute
	// DefaultMaxBindings bounds the bindings held; see "Idempotency keys" in
	// docs/MEASUREMENTS.md for the memory they take.
	DefaultMaxBindings = 400_000
	// DefaultTimeout is how long a proposal waits for the log. It leaves the
	// caller's API time to answer within 2 s.
	DefaultTimeout = 1500 * time.Millisecond
	// maxPending bounds the proposals that wait.
	maxPending = 20_000
	// safeDivisor and aheadDivisor divide the log's retention. A valid entry
	// is appended at most retention/4 before its key's time, and a key is
	// taken until retention/2 after that time. So its first entry is still
	// retained then, with a quarter of the retention to spare for differences
	// between clocks.
	safeDivisor  = 2
	aheadDivisor = 4
)

// Config describes a Binder.
type Config struct {
	// Keyring returns the keyring in force.
	Keyring func() *submission.Keyring
	// MaxBindings and Timeout take their defaults if they are 0.
	MaxBindings int
	Timeout     time.Duration
}

// Resolution is what is known of a key.
type Resolution interface{ verdict() }

// The verdicts.
type (
	// Bound carries the ID that the key stands for.
	Bound struct{ ID submission.ID }
	// Unknown means that no binding of the key has been read: propose one.
	Unknown struct{}
	// Unbound means that the key can't be bound here and now.
	Unbound struct{ Cause Cause }
)

func (Bound) verdict()   {}
func (Unknown) verdict() {}
func (Unbound) verdict() {}

// Cause is why a key is unbound.
type Cause string

// The causes.
const (
	CauseKeyTooOld      Cause = "the key is older than the log's safe retention"
	CauseKeyInFuture    Cause = "the key's time is ahead of the clock"
	CauseLogUnavailable Cause = "the log can't be reached"
	CauseRejected       Cause = "the log did not accept the binding"
	CauseTooManyPending Cause = "too many keys wait for the log"
)

// ProposalResult is the verdict on a proposal: Bound or Unbound.
type ProposalResult struct {
	// Ticket is the number that Propose returned.
	Ticket     uint64
	Resolution Resolution
}

// Step is what the owner of a Binder must do next.
type Step interface{ step() }

// The steps.
type (
	// Idle means that the stream is not in use yet.
	Idle struct{}
	// Append asks for one append; its result goes to Appended or
	// AppendFailed.
	Append struct{ Data []byte }
	// Read asks for one read of the records from From on; its result goes to
	// RecordsRead, Trimmed or ReadFailed. A read with Hold can be given up for
	// a new proposal.
	Read struct {
		From          int64
		Wait          time.Duration
		Interruptible bool
	}
)

func (Idle) step()   {}
func (Append) step() {}
func (Read) step()   {}

const (
	// followWait is the long poll while no proposal waits.
	followWait = time.Second
	// appendedWait is the long poll for a record whose append was confirmed;
	// it keeps a log whose readers lag from being asked without a pause.
	appendedWait = 100 * time.Millisecond
)

// Binder is the state machine of one VM. It is not safe for concurrent use.
// Appends and reads are made one at a time, in the order of Next.
type Binder struct {
	config  Config
	cache   cache
	used    bool
	started bool
	// next is the offset to read next, tail the end of the stream at the last
	// read.
	next int64
	tail int64
	// readBack is set until a read that began after an append of unknown
	// effect has reached the end of the stream.
	readBack  bool
	retention time.Duration
	pending   map[Key]*proposal
	queue     []Key
	flight    []Key
	// flightOffset is the offset of the record in flight once it is known.
	flightOffset int64
	ticket       uint64
	answers      []ProposalResult
}

// proposal is a key that waits, with every ticket that asked for it.
type proposal struct {
	id      string
	waiters []waiter
}

type waiter struct {
	ticket   uint64
	deadline time.Time
}

// New returns a Binder that has read nothing.
func New(config Config) *Binder {
	if config.MaxBindings <= 0 {
		config.MaxBindings = DefaultMaxBindings
	}
	if config.Timeout <= 0 {
		config.Timeout = DefaultTimeout
	}
	return &Binder{
		config:  config,
		cache:   newCache(),
		pending: make(map[Key]*proposal),
	}
}

// Lookup returns what is known of a key without the log.
func (binder *Binder) Lookup(now time.Time, key Key) Resolution {
	binder.used = true
	binder.age(now)
	if binder.old(key) {
		return Unbound{
			Cause: CauseKeyTooOld,
		}
	}
	if id, bound := binder.cache.get(key); bound {
		return Bound{
			ID: id,
		}
	}
	if binder.retention > 0 && binder.ahead(now, key) {
		return Unbound{
			Cause: CauseKeyInFuture,
		}
	}
	return Unknown{}
}

// Propose asks to bind key to id, an ID issued to the key's team, and returns
// the ticket of the answer. The answer may carry another ID.
func (binder *Binder) Propose(now time.Time, key Key, id submission.ID) uint64 {
	binder.ticket++
	ticket := binder.ticket
	verdict := binder.Lookup(now, key)
	waiting := binder.pending[key]
	if _, unread := verdict.(Unknown); unread && waiting == nil && len(binder.pending) >= maxPending {
		verdict = Unbound{
			Cause: CauseTooManyPending,
		}
	}
	if _, unread := verdict.(Unknown); !unread {
		binder.answers = append(binder.answers, ProposalResult{
			Ticket:     ticket,
			Resolution: verdict,
		})
		return ticket
	}
	if waiting == nil {
		waiting = &proposal{
			id: binder.config.Keyring().Encode(id),
		}
		binder.pending[key] = waiting
		binder.queue = append(binder.queue, key)
	}
	waiting.waiters = append(waiting.waiters, waiter{
		ticket:   ticket,
		deadline: now.Add(binder.config.Timeout),
	})
	return ticket
}

// TakeResults returns the answers since the last call.
func (binder *Binder) TakeResults() []ProposalResult {
	answers := binder.answers
	binder.answers = nil
	return answers
}

// PendingKeys returns the number of keys that wait.
func (binder *Binder) PendingKeys() int { return len(binder.pending) }

// Bindings returns the number of bindings held.
func (binder *Binder) Bindings() int { return len(binder.cache.bound) }

// Next returns the next step. Its result must be reported before Next is
// called again.
func (binder *Binder) Next(now time.Time) Step {
	if !binder.used {
		return Idle{}
	}
	binder.age(now)
	if !binder.started || binder.readBack || binder.next < binder.tail {
		return Read{
			From: binder.next,
		}
	}
	if binder.flight != nil {
		return Read{
			From: binder.next,
			Wait: appendedWait,
		}
	}
	if entries := binder.batch(now); len(entries) > 0 {
		return Append{
			Data: Encode(entries),
		}
	}
	return Read{
		From:          binder.next,
		Wait:          followWait,
		Interruptible: true,
	}
}

// batch moves keys from the queue into the flight.
func (binder *Binder) batch(now time.Time) []Entry {
	var entries []Entry
	for len(binder.queue) > 0 && len(entries) < MaxBatch {
		key := binder.queue[0]
		binder.queue = binder.queue[1:]
		waiting := binder.pending[key]
		if waiting == nil {
			continue
		}
		if binder.ahead(now, key) {
			binder.settle(key, Unbound{Cause: CauseKeyInFuture})
			continue
		}
		binder.flight = append(binder.flight, key)
		entries = append(entries, Entry{
			UUID:         key.UUID,
			Team:         key.Team,
			SubmissionID: waiting.id,
		})
	}
	if len(binder.queue) == 0 {
		binder.queue = nil
	}
	return entries
}

// Appended reports the offset of the record in flight. Its entries count only
// when every record up to it has been read, because one below it may have
// bound the same key.
func (binder *Binder) Appended(offset int64) {
	binder.flightOffset = offset
	binder.land()
}

// AppendFailed reports an append without an offset. Where it may have had an
// effect the stream is read back before the keys are proposed again.
func (binder *Binder) AppendFailed(unknown bool) {
	binder.readBack = unknown
	if !unknown {
		binder.requeue()
	}
}

// AppendRefused reports an append that the log will never accept.
func (binder *Binder) AppendRefused() {
	for _, key := range binder.flight {
		binder.settle(key, Unbound{Cause: CauseRejected})
	}
	binder.flight = nil
}

// RecordsRead reports the answer to a read that began at from.
func (binder *Binder) RecordsRead(now time.Time, from int64, response platform.ReadResponse) {
	binder.retention = time.Duration(response.RetentionMs) * time.Millisecond
	if response.FirstOffset > binder.next {
		binder.Trimmed(now, response.FirstOffset)
	}
	binder.started = true
	binder.age(now)
	for i := range response.Records {
		binder.read(now, &response.Records[i])
	}
	binder.next = max(binder.next, from)
	binder.tail = response.NextOffset
	binder.land()
	if binder.readBack && binder.next >= binder.tail {
		binder.readBack = false
		binder.requeue()
	}
}

// Trimmed reports that the retained records begin at first. A reader that was
// further back missed bindings: it takes no key that may be among them.
func (binder *Binder) Trimmed(now time.Time, first int64) {
	if binder.started {
		binder.raise(now.Add(MaxFutureSkew).Unix() + 1)
	}
	binder.next = max(binder.next, first)
}

// Expire answers the proposals that waited too long.
func (binder *Binder) Expire(now time.Time) {
	binder.age(now)
	for key, waiting := range binder.pending {
		kept := waiting.waiters[:0]
		for _, waiter := range waiting.waiters {
			if now.Before(waiter.deadline) {
				kept = append(kept, waiter)
				continue
			}
			binder.answers = append(binder.answers, ProposalResult{
				Ticket:     waiter.ticket,
				Resolution: Unbound{Cause: CauseLogUnavailable},
			})
		}
		waiting.waiters = kept
		if len(kept) == 0 {
			delete(binder.pending, key)
		}
	}
}

func (binder *Binder) read(now time.Time, record *platform.Record) {
	if record.Offset < binder.next {
		return
	}
	if record.Offset > binder.next {
		binder.Trimmed(now, record.Offset)
	}
	binder.next = record.Offset + 1
	// The log's clock also moves the floor, for a VM whose clock is slow.
	binder.age(time.UnixMilli(record.AtMs))
	entries, err := Decode(record.Data)
	if err != nil {
		return
	}
	for i := range entries {
		binder.take(record.AtMs, &entries[i])
	}
}

// take keeps a valid entry. All VMs judge an entry alike: by the keyring and
// by the log's clock.
func (binder *Binder) take(atMs int64, entry *Entry) {
	key := Key{
		Team: entry.Team,
		UUID: entry.UUID,
	}
	made := entry.UUID.milliseconds()
	if made < atMs-binder.safe().Milliseconds() || made > atMs+binder.maxAhead().Milliseconds() || binder.old(key) {
		return
	}
	id, err := binder.config.Keyring().Decode(entry.SubmissionID)
	if err != nil || id.Team != entry.Team {
		return
	}
	binder.cache.add(key, id)
	for len(binder.cache.bound) > binder.config.MaxBindings {
		binder.raise(binder.cache.oldest() + 1)
	}
	if first, bound := binder.cache.get(key); bound {
		binder.settle(key, Bound{ID: first})
	}
}

// land ends the flight once its record has been read. A key that is still
// unbound then was in an entry that is not valid.
func (binder *Binder) land() {
	if binder.flightOffset == 0 || binder.next <= binder.flightOffset {
		return
	}
	for _, key := range binder.flight {
		binder.settle(key, Unbound{Cause: CauseRejected})
	}
	binder.flight = nil
	binder.flightOffset = 0
}

// requeue proposes the keys of the flight that are still unbound again.
func (binder *Binder) requeue() {
	flight := binder.flight
	binder.flight = nil
	for _, key := range flight {
		if binder.pending[key] != nil {
			binder.queue = append(binder.queue, key)
		}
	}
}

func (binder *Binder) settle(key Key, verdict Resolution) {
	waiting := binder.pending[key]
	if waiting == nil {
		return
	}
	delete(binder.pending, key)
	for _, waiter := range waiting.waiters {
		binder.answers = append(binder.answers, ProposalResult{
			Ticket:     waiter.ticket,
			Resolution: verdict,
		})
	}
}

func (binder *Binder) safe() time.Duration { return binder.retention / safeDivisor }

func (binder *Binder) maxAhead() time.Duration {
	return min(MaxFutureSkew, binder.retention/aheadDivisor)
}

func (binder *Binder) ahead(now time.Time, key Key) bool {
	return key.UUID.milliseconds() > now.Add(binder.maxAhead()).UnixMilli()
}

func (binder *Binder) old(key Key) bool {
	return key.UUID.milliseconds() < binder.cache.floor*millisecondsPerSecond
}

// age moves the floor to the oldest time that is safe now. The floor never
// goes back, so a key that was forgotten is never bound again.
func (binder *Binder) age(now time.Time) {
	if binder.started {
		binder.raise(now.Add(-binder.safe()).Unix() + 1)
	}
}

func (binder *Binder) raise(floor int64) {
	if floor <= binder.cache.floor {
		return
	}
	binder.cache.raise(floor)
	for key := range binder.pending {
		if binder.old(key) {
			binder.settle(key, Unbound{Cause: CauseKeyTooOld})
		}
	}
}
