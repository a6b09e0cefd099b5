package binding

import (
	"time"

	"tanagerfall/shared/connection/platform"
	"tanagerfall/shared/request/submission"
)

const (
	// MaxFutureSkew is the maximum time by which the time of a key may be ahead
	// of the clock.
	MaxFutureSkew = time.Minute
	// DefaultMaxBindings limits the bindings in memory. The section "Idempotency
	// keys" in docs/MEASUREMENTS.md gives the memory that they take.
	DefaultMaxBindings = 400_000
	// DefaultTimeout is the time for which a proposal waits for the log. It
	// leaves the caller API time to answer within 2 s.
	DefaultTimeout = 1500 * time.Millisecond
	// maxPendingKeys limits the keys with a pending proposal.
	maxPendingKeys = 20_000
	// safeRetentionDivisor and futureSkewDivisor divide the retention of the
	// log. A valid entry is appended at most retention/4 before the time of its
	// key, and a key is accepted until retention/2 after that time. The first
	// entry of an accepted key is therefore still retained, with retention/4 to
	// spare for clock skew.
	safeRetentionDivisor = 2
	futureSkewDivisor    = 4
)

// Config holds the keyring, the memory limit and the timeout of a Binder.
type Config struct {
	// Keyring returns the current keyring, which signs and verifies submission
	// IDs.
	Keyring func() *submission.Keyring
	// MaxBindings limits the bindings in memory. 0 means DefaultMaxBindings.
	MaxBindings int
	// Timeout is the time for which a proposal waits for the log. 0 means
	// DefaultTimeout.
	Timeout time.Duration
}

// Resolution is the result of resolving a key to a submission ID: Bound,
// Unknown or Unbound.
type Resolution interface{ resolution() }

// Results of resolving a key.
type (
	// Bound carries the ID that the key is bound to.
	Bound struct{ ID submission.ID }
	// Unknown means that no binding of the key has been read from the log. The
	// caller should propose one.
	Unknown struct{}
	// Unbound means that the key cannot be bound on this VM now, for the given
	// cause.
	Unbound struct{ Cause Cause }
)

func (Bound) resolution()   {}
func (Unknown) resolution() {}
func (Unbound) resolution() {}

// Cause is the reason why a key cannot be bound, worded for the caller that sent the
// key.
type Cause string

// Causes of Unbound.
const (
	CauseKeyTooOld      Cause = "the key is older than the log's safe retention"
	CauseKeyInFuture    Cause = "the key's time is ahead of the clock"
	CauseLogUnavailable Cause = "the log can't be reached"
	CauseRejected       Cause = "the log did not accept the binding"
	CauseTooManyPending Cause = "too many keys wait for the log"
)

// ProposalResult is the result of a proposal.
type ProposalResult struct {
	// Ticket is the number that Propose returned.
	Ticket uint64
	// Resolution is Bound or Unbound.
	Resolution Resolution
}

// Step is the next operation that the owner of a Binder must carry out: Idle,
// Append or Read.
type Step interface{ step() }

// Steps that Next returns.
type (
	// Idle means that there is nothing to do until the first call of Lookup or
	// Propose.
	Idle struct{}
	// Append requests one append of Data, an encoded record, to the stream. Its
	// result must be reported with Appended, AppendFailed or AppendRefused.
	Append struct{ Data []byte }
	// Read requests one read of the records from offset From on, as a long poll
	// of at most Wait. A successful result must be reported with RecordsRead,
	// and offsets that are no longer retained with Trimmed. A failed read is not
	// reported; Next requests it again.
	Read struct {
		From int64
		Wait time.Duration
		// Interruptible means that the read may be cancelled for a new proposal.
		Interruptible bool
	}
)

func (Idle) step()   {}
func (Append) step() {}
func (Read) step()   {}

const (
	// idlePollWait is the duration of the long poll while no proposal is
	// pending.
	idlePollWait = time.Second
	// confirmPollWait is the duration of the long poll for a record whose append
	// is confirmed. Without it, a log whose reads lag behind its appends would
	// be polled without a pause.
	confirmPollWait = 100 * time.Millisecond
)

// Binder is the state machine of one VM that binds keys to submission IDs. It
// is not safe for concurrent use. Next requests one append or read at a time.
type Binder struct {
	config Config
	cache  cache
	// inUse is set by the first Lookup or Propose, hasRead by the first
	// successful read.
	inUse   bool
	hasRead bool
	// nextOffset is the offset of the next record to read, endOffset the end of
	// the stream at the last read.
	nextOffset int64
	endOffset  int64
	// appendUnresolved is set after an append of unknown outcome, until a read
	// that began after it has reached the end of the stream.
	appendUnresolved bool
	// retention is the retention of the log. It is 0 before the first read.
	retention time.Duration
	pending   map[Key]*pendingProposal
	// queued lists the pending keys to append next, inFlight those in the record
	// of the current append.
	queued   []Key
	inFlight []Key
	// inFlightOffset is the offset of the record in flight. It is 0 until the
	// append is confirmed.
	inFlightOffset int64
	lastTicket     uint64
	results        []ProposalResult
}

// pendingProposal is the proposed ID of a key, in text form, and the proposals
// that wait for the resolution of the key.
type pendingProposal struct {
	id      string
	waiters []waiter
}

// waiter is one proposal that waits for the resolution of a key.
type waiter struct {
	ticket   uint64
	deadline time.Time
}

// New returns a Binder that has read no record yet.
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

// Lookup returns what the records read so far say about a key. It does not call
// the log.
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

// Propose starts to bind key to id, an ID issued to the team of the key. It returns
// a ticket, a number that identifies the result in TakeResults. The result may be
// that the key is bound to another ID.
func (binder *Binder) Propose(now time.Time, key Key, id submission.ID) uint64 {
	binder.lastTicket++
	ticket := binder.lastTicket
	resolution := binder.Lookup(now, key)
	proposal := binder.pending[key]
	if _, unknown := resolution.(Unknown); unknown && proposal == nil && len(binder.pending) >= maxPendingKeys {
		resolution = Unbound{
			Cause: CauseTooManyPending,
		}
	}
	if _, unknown := resolution.(Unknown); !unknown {
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

// TakeResults returns the results of proposals since the last call.
func (binder *Binder) TakeResults() []ProposalResult {
	results := binder.results
	binder.results = nil
	return results
}

// PendingKeys returns the number of keys with a pending proposal.
func (binder *Binder) PendingKeys() int { return len(binder.pending) }

// Bindings returns the number of bindings in memory.
func (binder *Binder) Bindings() int { return len(binder.cache.bindings) }

// Next returns the next step. The result of a step must be reported before Next
// is called again.
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

// nextBatch moves keys from queued to inFlight and returns their entries.
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

// Appended reports the offset of the appended record. Its entries take effect
// only when every record up to it has been read, because an earlier one may
// have bound the same key.
func (binder *Binder) Appended(offset int64) {
	binder.inFlightOffset = offset
	binder.completeInFlight()
}

// AppendFailed reports an append that returned no offset. If it may have taken
// effect, the stream is read to its end before the keys are proposed again.
func (binder *Binder) AppendFailed(mayHaveTakenEffect bool) {
	binder.appendUnresolved = mayHaveTakenEffect
	if !mayHaveTakenEffect {
		binder.requeueInFlight()
	}
}

// AppendRefused reports an append that the log will never accept. The keys in
// it become Unbound.
func (binder *Binder) AppendRefused() {
	for _, key := range binder.inFlight {
		binder.resolve(key, Unbound{Cause: CauseRejected})
	}
	binder.inFlight = nil
}

// RecordsRead reports the response to a read that began at offset from.
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

// Trimmed reports that the retained records begin at firstOffset. If records
// were trimmed before they were read, bindings may have been missed. They can only
// concern keys whose time is at most now plus MaxFutureSkew, so these keys are
// rejected from then on.
func (binder *Binder) Trimmed(now time.Time, firstOffset int64) {
	if binder.hasRead {
		binder.raiseFloor(now.Add(MaxFutureSkew).Unix() + 1)
	}
	binder.nextOffset = max(binder.nextOffset, firstOffset)
}

// Expire ends the proposals that reached their timeout with
// CauseLogUnavailable.
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

// applyRecord applies the entries of a record in the order of the stream.
// Records that were read before and malformed ones are skipped.
func (binder *Binder) applyRecord(now time.Time, record *platform.Record) {
	if record.Offset < binder.nextOffset {
		return
	}
	if record.Offset > binder.nextOffset {
		binder.Trimmed(now, record.Offset)
	}
	binder.nextOffset = record.Offset + 1
	// The clock of the log advances the floor too, for a VM whose clock is slow.
	binder.advanceFloor(time.UnixMilli(record.AtMs))
	entries, err := Decode(record.Data)
	if err != nil {
		return
	}
	for i := range entries {
		binder.applyEntry(record.AtMs, &entries[i])
	}
}

// applyEntry stores the binding of a valid entry. The keyring and the clock of
// the log decide whether an entry is valid, so that all VMs agree.
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
	if boundID, bound := binder.cache.get(key); bound {
		binder.resolve(key, Bound{ID: boundID})
	}
}

// completeInFlight ends the append in flight once its record has been read. A
// key that is still unbound then had an invalid entry in the record.
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

// requeueInFlight queues the keys of the append in flight again unless they are
// resolved.
func (binder *Binder) requeueInFlight() {
	inFlight := binder.inFlight
	binder.inFlight = nil
	for _, key := range inFlight {
		if binder.pending[key] != nil {
			binder.queued = append(binder.queued, key)
		}
	}
}

// resolve ends all proposals for a key with the same resolution.
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

// safeRetention is the maximum age of a key that can be bound.
func (binder *Binder) safeRetention() time.Duration { return binder.retention / safeRetentionDivisor }

// maxFutureSkew is the lower of MaxFutureSkew and the skew that the retention
// of the log allows.
func (binder *Binder) maxFutureSkew() time.Duration {
	return min(MaxFutureSkew, binder.retention/futureSkewDivisor)
}

// inFuture reports whether the time of a key is further ahead of now than
// maxFutureSkew.
func (binder *Binder) inFuture(now time.Time, key Key) bool {
	return key.UUID.unixMilli() > now.Add(binder.maxFutureSkew()).UnixMilli()
}

// tooOld reports whether the time of a key is below the floor.
func (binder *Binder) tooOld(key Key) bool {
	return key.UUID.unixMilli() < binder.cache.floor*millisecondsPerSecond
}

// advanceFloor raises the floor to the lowest key time that is within the safe
// retention now. The floor never falls, so a key whose binding was evicted is
// never bound again.
func (binder *Binder) advanceFloor(now time.Time) {
	if binder.hasRead {
		binder.raiseFloor(now.Add(-binder.safeRetention()).Unix() + 1)
	}
}

// raiseFloor evicts the bindings of keys below floor and rejects pending keys
// below it.
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
