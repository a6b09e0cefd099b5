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
	// maxPendingKeys bounds the proposals that wait.
	maxPendingKeys = 20_000
	// safeRetentionDivisor and aheadDivisor divide the log's retention. A valid entry
	// is appended at most retention/4 before its key's time, and a key is
	// taken until retention/2 after that time. So its first entry is still
	// retained then, with a quarter of the retention to spare for differences
	// between clocks.
	safeRetentionDivisor = 2
	futureSkewDivisor    = 4
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
type Resolution interface{ resolution() }

// The verdicts.
type (
	// Bound carries the ID that the key stands for.
	Bound struct{ ID submission.ID }
	// Unknown means that no binding of the key has been read: propose one.
	Unknown struct{}
	// Unbound means that the key can't be bound here and now.
	Unbound struct{ Cause Cause }
)

func (Bound) resolution()   {}
func (Unknown) resolution() {}
func (Unbound) resolution() {}

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
	// idlePollWait is the long poll while no proposal waits.
	idlePollWait = time.Second
	// confirmPollWait is the long poll for a record whose append was confirmed;
	// it keeps a log whose readers lag from being asked without a pause.
	confirmPollWait = 100 * time.Millisecond
)

// Binder is the state machine of one VM. It is not safe for concurrent use.
// Appends and reads are made one at a time, in the order of Next.
type Binder struct {
	config  Config
	cache   cache
	inUse   bool
	hasRead bool
	// nextOffset is the offset to read next, tail the end of the stream at the last
	// read.
	nextOffset int64
	endOffset  int64
	// appendUnresolved is set until a read that began after an append of unknown
	// effect has reached the end of the stream.
	appendUnresolved bool
	retention        time.Duration
	pending          map[Key]*pendingProposal
	queued           []Key
	inFlight         []Key
	// inFlightOffset is the offset of the record in flight once it is known.
	inFlightOffset int64
	lastTicket     uint64
	results        []ProposalResult
}

// pendingProposal is a key that waits, with every ticket that asked for it.
type pendingProposal struct {
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
		pending: make(map[Key]*pendingProposal),
	}
}

// Lookup returns what is known of a key without the log.
func (binder *Binder) Lookup(now time.Time, key Key) Resolution {
	binder.inUse = true
	binder.advanceFloor(now)
	if binder.tooOld(key) {
		return Unbound{
			Cause: CauseKeyTooOld,
		}
	}
	if id, bound := binder.cache.get(key); bound {
		return Bound{
			ID: id,
		}
	}
	if binder.retention > 0 && binder.inFuture(now, key) {
		return Unbound{
			Cause: CauseKeyInFuture,
		}
	}
	return Unknown{}
}

// Propose asks to bind key to id, an ID issued to the key's team, and returns
// the ticket of the answer. The answer may carry another ID.
func (binder *Binder) Propose(now time.Time, key Key, id submission.ID) uint64 {
	binder.lastTicket++
	ticket := binder.lastTicket
	resolution := binder.Lookup(now, key)
	proposal := binder.pending[key]
	if _, unread := resolution.(Unknown); unread && proposal == nil && len(binder.pending) >= maxPendingKeys {
		resolution = Unbound{
			Cause: CauseTooManyPending,
		}
	}
	if _, unread := resolution.(Unknown); !unread {
		binder.results = append(binder.results, ProposalResult{
			Ticket:     ticket,
			Resolution: resolution,
		})
		return ticket
	}
	if proposal == nil {
		proposal = &pendingProposal{
			id: binder.config.Keyring().Encode(id),
		}
		binder.pending[key] = proposal
		binder.queued = append(binder.queued, key)
	}
	proposal.waiters = append(proposal.waiters, waiter{
		ticket:   ticket,
		deadline: now.Add(binder.config.Timeout),
	})
	return ticket
}

// TakeResults returns the answers since the last call.
func (binder *Binder) TakeResults() []ProposalResult {
	results := binder.results
	binder.results = nil
	return results
}

// PendingKeys returns the number of keys that wait.
func (binder *Binder) PendingKeys() int { return len(binder.pending) }

// Bindings returns the number of bindings held.
func (binder *Binder) Bindings() int { return len(binder.cache.bindings) }

// Next returns the next step. Its result must be reported before Next is
// called again.
func (binder *Binder) Next(now time.Time) Step {
	if !binder.inUse {
		return Idle{}
	}
	binder.advanceFloor(now)
	if !binder.hasRead || binder.appendUnresolved || binder.nextOffset < binder.endOffset {
		return Read{
			From: binder.nextOffset,
		}
	}
	if binder.inFlight != nil {
		return Read{
			From: binder.nextOffset,
			Wait: confirmPollWait,
		}
	}
	if entries := binder.nextBatch(now); len(entries) > 0 {
		return Append{
			Data: Encode(entries),
		}
	}
	return Read{
		From:          binder.nextOffset,
		Wait:          idlePollWait,
		Interruptible: true,
	}
}

// nextBatch moves keys from the queue into the flight.
func (binder *Binder) nextBatch(now time.Time) []Entry {
	var entries []Entry
	for len(binder.queued) > 0 && len(entries) < MaxBatch {
		key := binder.queued[0]
		binder.queued = binder.queued[1:]
		proposal := binder.pending[key]
		if proposal == nil {
			continue
		}
		if binder.inFuture(now, key) {
			binder.resolve(key, Unbound{Cause: CauseKeyInFuture})
			continue
		}
		binder.inFlight = append(binder.inFlight, key)
		entries = append(entries, Entry{
			UUID:         key.UUID,
			Team:         key.Team,
			SubmissionID: proposal.id,
		})
	}
	if len(binder.queued) == 0 {
		binder.queued = nil
	}
	return entries
}

// Appended reports the offset of the record in flight. Its entries count only
// when every record up to it has been read, because one below it may have
// bound the same key.
func (binder *Binder) Appended(offset int64) {
	binder.inFlightOffset = offset
	binder.completeInFlight()
}

// AppendFailed reports an append without an offset. Where it may have had an
// effect the stream is read back before the keys are proposed again.
func (binder *Binder) AppendFailed(mayHaveTakenEffect bool) {
	binder.appendUnresolved = mayHaveTakenEffect
	if !mayHaveTakenEffect {
		binder.requeueInFlight()
	}
}

// AppendRefused reports an append that the log will never accept.
func (binder *Binder) AppendRefused() {
	for _, key := range binder.inFlight {
		binder.resolve(key, Unbound{Cause: CauseRejected})
	}
	binder.inFlight = nil
}

// RecordsRead reports the answer to a read that began at from.
func (binder *Binder) RecordsRead(now time.Time, from int64, response platform.ReadResponse) {
	binder.retention = time.Duration(response.RetentionMs) * time.Millisecond
	if response.FirstOffset > binder.nextOffset {
		binder.Trimmed(now, response.FirstOffset)
	}
	binder.hasRead = true
	binder.advanceFloor(now)
	for i := range response.Records {
		binder.applyRecord(now, &response.Records[i])
	}
	binder.nextOffset = max(binder.nextOffset, from)
	binder.endOffset = response.NextOffset
	binder.completeInFlight()
	if binder.appendUnresolved && binder.nextOffset >= binder.endOffset {
		binder.appendUnresolved = false
		binder.requeueInFlight()
	}
}

// Trimmed reports that the retained records begin at first. A reader that was
// further back missed bindings: it takes no key that may be among them.
func (binder *Binder) Trimmed(now time.Time, firstOffset int64) {
	if binder.hasRead {
		binder.raiseFloor(now.Add(MaxFutureSkew).Unix() + 1)
	}
	binder.nextOffset = max(binder.nextOffset, firstOffset)
}

// Expire answers the proposals that waited too long.
func (binder *Binder) Expire(now time.Time) {
	binder.advanceFloor(now)
	for key, proposal := range binder.pending {
		remaining := proposal.waiters[:0]
		for _, waiter := range proposal.waiters {
			if now.Before(waiter.deadline) {
				remaining = append(remaining, waiter)
				continue
			}
			binder.results = append(binder.results, ProposalResult{
				Ticket:     waiter.ticket,
				Resolution: Unbound{Cause: CauseLogUnavailable},
			})
		}
		proposal.waiters = remaining
		if len(remaining) == 0 {
			delete(binder.pending, key)
		}
	}
}

func (binder *Binder) applyRecord(now time.Time, record *platform.Record) {
	if record.Offset < binder.nextOffset {
		return
	}
	if record.Offset > binder.nextOffset {
		binder.Trimmed(now, record.Offset)
	}
	binder.nextOffset = record.Offset + 1
	// The log's clock also moves the floor, for a VM whose clock is slow.
	binder.advanceFloor(time.UnixMilli(record.AtMs))
	entries, err := Decode(record.Data)
	if err != nil {
		return
	}
	for i := range entries {
		binder.applyEntry(record.AtMs, &entries[i])
	}
}

// applyEntry keeps a valid entry. All VMs judge an entry alike: by the keyring and
// by the log's clock.
func (binder *Binder) applyEntry(appendedMs int64, entry *Entry) {
	key := Key{
		Team: entry.Team,
		UUID: entry.UUID,
	}
	keyTimeMs := entry.UUID.unixMilli()
	if keyTimeMs < appendedMs-binder.safeRetention().Milliseconds() || keyTimeMs > appendedMs+binder.maxFutureSkew().Milliseconds() || binder.tooOld(key) {
		return
	}
	id, err := binder.config.Keyring().Decode(entry.SubmissionID)
	if err != nil || id.Team != entry.Team {
		return
	}
	binder.cache.add(key, id)
	for len(binder.cache.bindings) > binder.config.MaxBindings {
		binder.raiseFloor(binder.cache.oldestSecond() + 1)
	}
	if first, bound := binder.cache.get(key); bound {
		binder.resolve(key, Bound{ID: first})
	}
}

// completeInFlight ends the flight once its record has been read. A key that is still
// unbound then was in an entry that is not valid.
func (binder *Binder) completeInFlight() {
	if binder.inFlightOffset == 0 || binder.nextOffset <= binder.inFlightOffset {
		return
	}
	for _, key := range binder.inFlight {
		binder.resolve(key, Unbound{Cause: CauseRejected})
	}
	binder.inFlight = nil
	binder.inFlightOffset = 0
}

// requeueInFlight proposes the keys of the flight that are still unbound again.
func (binder *Binder) requeueInFlight() {
	inFlight := binder.inFlight
	binder.inFlight = nil
	for _, key := range inFlight {
		if binder.pending[key] != nil {
			binder.queued = append(binder.queued, key)
		}
	}
}

func (binder *Binder) resolve(key Key, resolution Resolution) {
	proposal := binder.pending[key]
	if proposal == nil {
		return
	}
	delete(binder.pending, key)
	for _, waiter := range proposal.waiters {
		binder.results = append(binder.results, ProposalResult{
			Ticket:     waiter.ticket,
			Resolution: resolution,
		})
	}
}

func (binder *Binder) safeRetention() time.Duration { return binder.retention / safeRetentionDivisor }

func (binder *Binder) maxFutureSkew() time.Duration {
	return min(MaxFutureSkew, binder.retention/futureSkewDivisor)
}

func (binder *Binder) inFuture(now time.Time, key Key) bool {
	return key.UUID.unixMilli() > now.Add(binder.maxFutureSkew()).UnixMilli()
}

func (binder *Binder) tooOld(key Key) bool {
	return key.UUID.unixMilli() < binder.cache.floor*millisecondsPerSecond
}

// advanceFloor moves the floor to the oldest time that is safe now. The floor never
// goes back, so a key that was forgotten is never bound again.
func (binder *Binder) advanceFloor(now time.Time) {
	if binder.hasRead {
		binder.raiseFloor(now.Add(-binder.safeRetention()).Unix() + 1)
	}
}

func (binder *Binder) raiseFloor(floor int64) {
	if floor <= binder.cache.floor {
		return
	}
	binder.cache.evictBelow(floor)
	for key := range binder.pending {
		if binder.tooOld(key) {
			binder.resolve(key, Unbound{Cause: CauseKeyTooOld})
		}
	}
}
