package plan

import (
	"time"

	"github.com/rotisserie/eris"

	"tanagerfall/shared/connection/platform"
)

// FirstOffset is the lowest offset that can be a version. Version 0 means that
// there is no plan, so every reader skips a record at offset 0.
const FirstOffset = 1

// maxHistoryVersions is the number of adopted versions that a Follower keeps.
const maxHistoryVersions = 32

// Outcome is the effect of a record, or of a peer's snapshot, on a Follower.
type Outcome interface{ outcome() }

// The types of outcomes.
type (
	// Adopted means that the Follower has a new plan: from a publication on the
	// current version, a snapshot of a higher version, or a recovery.
	Adopted struct {
		Version   int64
		Digest    Digest
		PublishID string
		Author    string
		Plan      *Plan
		// Source is the kind of record or message that held the plan.
		Source Source
	}
	// Conflict means that a publication's base is not the current version.
	Conflict struct {
		Offset    int64
		PublishID string
		Author    string
		Base      int64
		// Current is the version that was current at the offset, with the
		// publish ID and the author of the publication that set it.
		Current          int64
		CurrentPublishID string
		CurrentAuthor    string
	}
	// Invalid means that the record is malformed or gives an invalid plan, for
	// every reader alike. Err wraps ErrMalformedRecord or ErrInvalidPlan.
	Invalid struct {
		Offset int64
		Err    error
	}
	// SnapshotRead means that a snapshot was read that doesn't change the
	// version. Offset is that of its record, or 0 if the Follower learned from
	// the snapshot the version at a later offset, ReadUpTo.
	SnapshotRead struct {
		Offset  int64
		Version int64
		// Synced is the Follower's state after the snapshot.
		Synced   bool
		ReadUpTo int64
	}
	// Ignored means that a record was not applied, for the given reason. Offset
	// is that of the record, or the ReadUpTo of a peer's snapshot.
	Ignored struct {
		Offset int64
		Reason Reason
	}
)

func (Adopted) outcome()      {}
func (Conflict) outcome()     {}
func (Invalid) outcome()      {}
func (SnapshotRead) outcome() {}
func (Ignored) outcome()      {}

// Source is the kind of record or message that held an adopted plan.
type Source string

// The sources. FromSnapshot is a snapshot in the log, FromPeer one that another
// entry VM has sent.
const (
	FromPublication Source = "publication"
	FromSnapshot    Source = "snapshot"
	FromRecovery    Source = "recovery"
	FromPeer        Source = "peer"
)

// Reason is the cause for which a record was ignored.
type Reason string

// The reasons.
const (
	// ReasonSeen means that the record was read before, or repeats the append of
	// a version in the history.
	ReasonSeen Reason = "seen"
	// ReasonGap means that the offset is above the next one to read.
	ReasonGap Reason = "gap"
	// ReasonUnsynced means that records before this publication are missing, so
	// that the Follower can't determine whether its base is current.
	ReasonUnsynced Reason = "unsynced"
	// ReasonStale means that a snapshot holds neither a higher version nor a
	// later offset than the Follower.
	ReasonStale Reason = "stale"
)

// AdoptedVersion describes a version that a Follower adopted.
type AdoptedVersion struct {
	Version   int64  `json:"version"`
	PublishID string `json:"publish-id"`
	Author    string `json:"author,omitempty"`
	Digest    Digest `json:"digest"`
	// AtMs is the Unix time in ms of the append by the log's clock, 0 if
	// unknown.
	AtMs   int64  `json:"at-ms,omitempty"`
	Source Source `json:"source"`
}

// Follower is a replica of the plan. It applies the records of the plan stream
// in the order of their offsets, and never goes back to a lower version. It is
// not safe for concurrent use: the control goroutine owns it.
//
// The version after all records below an offset is the same for every reader.
// The Follower isn't synced while it doesn't know this version for the next
// offset to read, because the log has trimmed records before it was able to read
// them. Publications can't be evaluated then, until a snapshot of a later offset,
// a peer's snapshot or a recovery closes the gap.
type Follower struct {
	current AdoptedVersion
	plan    *Plan
	// knownUpTo is the offset up to which the Follower knows the version after all
	// records. It differs from nextOffset while records in between are missing.
	knownUpTo  int64
	nextOffset int64
	// firstOffset is the lowest offset that the log may still hold.
	firstOffset int64
	// checkpointMs is the Unix time in ms of the last record from which a new
	// reader can start: the last snapshot or recovery, or before these the first
	// publication that was adopted. If a peer's snapshot was applied before any of
	// them, it is the time of that, until such a record is read.
	checkpointMs int64
	// retention and logNextOffset come from the last read.
	retention     time.Duration
	logNextOffset int64
	history       []AdoptedVersion
	counters      Counters
}

// Counters counts the outcomes of a Follower by type. Snapshots counts those of
// the type SnapshotRead.
type Counters struct {
	Adopted   int64 `json:"adopted"`
	Conflicts int64 `json:"conflicts"`
	Invalid   int64 `json:"invalid"`
	Snapshots int64 `json:"snapshots"`
	Ignored   int64 `json:"ignored"`
}

// New returns a Follower that has no plan and starts at the first record.
func New() *Follower {
	return &Follower{
		plan:        Empty(),
		knownUpTo:   FirstOffset,
		nextOffset:  FirstOffset,
		firstOffset: FirstOffset,
		current: AdoptedVersion{
			Digest: DigestOf(Empty()),
		},
	}
}

// Next returns the offset to read next. It can go back, to the offset up to which
// the writer of a snapshot had read.
func (follower *Follower) Next() int64 {
	return follower.nextOffset
}

// Synced reports whether the Follower knows the result of all records below
// Next.
func (follower *Follower) Synced() bool {
	return follower.knownUpTo == follower.nextOffset
}

// Current returns the current version, its digest and its plan. Version 0 has an
// empty plan. The caller must not modify the plan.
func (follower *Follower) Current() (version int64, digest Digest, plan *Plan) {
	return follower.current.Version, follower.current.Digest, follower.plan
}

// Trimmed reports to the Follower that the log no longer holds the records below
// the offset first.
func (follower *Follower) Trimmed(first int64) {
	follower.firstOffset = max(follower.firstOffset, first)
	follower.nextOffset = max(follower.nextOffset, follower.firstOffset)
}

// DecodedRead is the response to a read of the stream with its records decoded.
// Decoding a large snapshot takes tens of milliseconds, so it is done on another
// goroutine than the one that owns the Follower.
type DecodedRead struct {
	response platform.ReadResponse
	records  []decodedRecord
}

type decodedRecord struct {
	record Record
	err    error
}

// DecodeRead decodes the records of a response. The error of a malformed record
// becomes its outcome, Invalid.
func DecodeRead(response platform.ReadResponse) DecodedRead {
	read := DecodedRead{
		response: response,
		records:  make([]decodedRecord, 0, len(response.Records)),
	}
	for _, record := range response.Records {
		var decoded decodedRecord
		decoded.record, decoded.err = Decode(record.Data)
		read.records = append(read.records, decoded)
	}
	return read
}

// ApplyRead applies the response to a read of the stream and returns one outcome
// for each record. The next read starts at Next.
func (follower *Follower) ApplyRead(now time.Time, response platform.ReadResponse) []Outcome {
	return follower.ApplyDecoded(now, DecodeRead(response))
}

// ApplyDecoded is like ApplyRead for records that are already decoded.
func (follower *Follower) ApplyDecoded(_ time.Time, read DecodedRead) []Outcome {
	outcomes := make([]Outcome, 0, len(read.records))
	for i, decoded := range read.records {
		outcomes = append(outcomes, follower.apply(read.response.Records[i], decoded))
	}
	follower.retention = time.Duration(read.response.RetentionMs) * time.Millisecond
	follower.logNextOffset = read.response.NextOffset
	follower.Trimmed(read.response.FirstOffset)
	return outcomes
}

// Apply applies one record and returns the outcome. The record is ignored unless
// its offset is Next.
func (follower *Follower) Apply(_ time.Time, record platform.Record) Outcome {
	var decoded decodedRecord
	decoded.record, decoded.err = Decode(record.Data)
	return follower.apply(record, decoded)
}

func (follower *Follower) apply(record platform.Record, decoded decodedRecord) Outcome {
	if record.Offset < follower.nextOffset {
		return follower.countIgnored(record.Offset, ReasonSeen)
	}
	if record.Offset > follower.nextOffset {
		return follower.countIgnored(record.Offset, ReasonGap)
	}
	synced := follower.Synced()
	follower.nextOffset++
	if synced {
		follower.knownUpTo = follower.nextOffset
	}
	if decoded.err != nil {
		return follower.countInvalid(record.Offset, decoded.err)
	}
	switch decoded := decoded.record.(type) {
	case *Publication:
		if !synced {
			return follower.countIgnored(record.Offset, ReasonUnsynced)
		}
		return follower.applyPublication(record, decoded)
	case *Snapshot:
		return follower.applySnapshot(record, decoded)
	case *Recovery:
		return follower.applyRecovery(record, decoded)
	}
	return follower.countIgnored(record.Offset, ReasonSeen)
}

func (follower *Follower) applyPublication(record platform.Record, publication *Publication) Outcome {
	if publication.Base != follower.current.Version {
		return follower.rejectPublication(record, publication)
	}
	plan, digest, err := publication.Change.Apply(follower.plan, follower.current.Digest)
	if err != nil {
		return follower.countInvalid(record.Offset, err)
	}
	if digest != publication.Digest {
		return follower.countInvalid(record.Offset, digestMismatchError(digest, publication.Digest))
	}
	if follower.checkpointMs == 0 {
		follower.checkpointMs = record.AtMs
	}
	return follower.adopt(plan, AdoptedVersion{
		Version:   record.Offset,
		PublishID: publication.PublishID,
		Author:    publication.Author,
		Digest:    digest,
		AtMs:      record.AtMs,
		Source:    FromPublication,
	})
}

func (follower *Follower) rejectPublication(record platform.Record, publication *Publication) Outcome {
	for _, adopted := range follower.history {
		if adopted.PublishID == publication.PublishID {
			return follower.countIgnored(record.Offset, ReasonSeen)
		}
	}
	follower.counters.Conflicts++
	return Conflict{
		Offset:           record.Offset,
		PublishID:        publication.PublishID,
		Author:           publication.Author,
		Base:             publication.Base,
		Current:          follower.current.Version,
		CurrentPublishID: follower.current.PublishID,
		CurrentAuthor:    follower.current.Author,
	}
}

// applySnapshot applies a snapshot from the log. It is invalid if its writer
// says that it had read beyond the snapshot itself.
func (follower *Follower) applySnapshot(record platform.Record, snapshot *Snapshot) Outcome {
	if snapshot.ReadUpTo > record.Offset {
		return follower.countInvalid(record.Offset, readAheadError(snapshot.ReadUpTo, record.Offset))
	}
	if snapshot.ReadUpTo >= follower.firstOffset {
		follower.checkpointMs = max(follower.checkpointMs, record.AtMs)
	}
	outcome := follower.mergeSnapshot(snapshot, FromSnapshot)
	_, stale := outcome.(Ignored)
	if !stale {
		return outcome
	}
	follower.counters.Snapshots++
	return SnapshotRead{
		Offset:   record.Offset,
		Version:  snapshot.Version,
		ReadUpTo: snapshot.ReadUpTo,
		Synced:   follower.Synced(),
	}
}

// AdoptPeerSnapshot applies the snapshot of a peer, which Decode must have
// validated. The outcome is Ignored unless the snapshot has a higher version than
// the Follower, or the same version at a later offset.
func (follower *Follower) AdoptPeerSnapshot(now time.Time, snapshot *Snapshot) Outcome {
	if follower.checkpointMs == 0 {
		follower.checkpointMs = now.UnixMilli()
	}
	outcome := follower.mergeSnapshot(snapshot, FromPeer)
	if ignored, stale := outcome.(Ignored); stale {
		return follower.countIgnored(ignored.Offset, ReasonStale)
	}
	return outcome
}

// mergeSnapshot applies a snapshot that has a higher version, or the same
// version at a later offset. Reading continues at the snapshot's offset if the
// log still holds it. All readers adopt a higher version, even those that have
// read every record, so that they also agree after a snapshot that contradicts
// the log.
func (follower *Follower) mergeSnapshot(snapshot *Snapshot, source Source) Outcome {
	higher := snapshot.Version > follower.current.Version
	later := snapshot.Version == follower.current.Version && snapshot.ReadUpTo > follower.knownUpTo
	if !higher && !later {
		return Ignored{
			Offset: snapshot.ReadUpTo,
			Reason: ReasonStale,
		}
	}
	follower.knownUpTo = snapshot.ReadUpTo
	if follower.knownUpTo >= follower.firstOffset {
		follower.nextOffset = follower.knownUpTo
	}
	if !higher {
		follower.counters.Snapshots++
		return SnapshotRead{
			Version:  snapshot.Version,
			ReadUpTo: snapshot.ReadUpTo,
			Synced:   follower.Synced(),
		}
	}
	return follower.adopt(snapshot.Plan, AdoptedVersion{
		Version:   snapshot.Version,
		PublishID: snapshot.PublishID,
		Author:    snapshot.Author,
		Digest:    snapshot.Digest,
		Source:    source,
	})
}

func (follower *Follower) applyRecovery(record platform.Record, recovery *Recovery) Outcome {
	if recovery.PublishID == follower.current.PublishID {
		return follower.countIgnored(record.Offset, ReasonSeen)
	}
	follower.knownUpTo = follower.nextOffset
	follower.checkpointMs = max(follower.checkpointMs, record.AtMs)
	return follower.adopt(recovery.Plan, AdoptedVersion{
		Version:   record.Offset,
		PublishID: recovery.PublishID,
		Author:    recovery.Author,
		Digest:    recovery.Digest,
		AtMs:      record.AtMs,
		Source:    FromRecovery,
	})
}

func (follower *Follower) adopt(plan *Plan, adopted AdoptedVersion) Outcome {
	follower.plan = plan
	follower.current = adopted
	follower.counters.Adopted++
	if len(follower.history) == maxHistoryVersions {
		follower.history = follower.history[1:]
	}
	follower.history = append(follower.history, adopted)
	return Adopted{
		Version:   adopted.Version,
		Digest:    adopted.Digest,
		PublishID: adopted.PublishID,
		Author:    adopted.Author,
		Plan:      plan,
		Source:    adopted.Source,
	}
}

func (follower *Follower) countIgnored(offset int64, reason Reason) Outcome {
	follower.counters.Ignored++
	return Ignored{
		Offset: offset,
		Reason: reason,
	}
}

func (follower *Follower) countInvalid(offset int64, err error) Outcome {
	follower.counters.Invalid++
	return Invalid{
		Offset: offset,
		Err:    err,
	}
}

// Snapshot returns a snapshot of the current plan, for a peer or for the log.
// writer is the peer address of this VM. The second result is false while there
// is no plan.
func (follower *Follower) Snapshot(writer string) (*Snapshot, bool) {
	if follower.current.Version == 0 {
		return nil, false
	}
	return &Snapshot{
		Version:   follower.current.Version,
		ReadUpTo:  follower.knownUpTo,
		PublishID: follower.current.PublishID,
		Author:    follower.current.Author,
		Writer:    writer,
		Digest:    follower.current.Digest,
		Plan:      follower.plan,
	}, true
}

// PullAboveVersion returns the version above which a peer's snapshot is useful.
// While the Follower isn't synced, this includes its own version, from a peer
// that has read further.
func (follower *Follower) PullAboveVersion() int64 {
	if follower.Synced() {
		return follower.current.Version
	}
	return follower.current.Version - 1
}

// History returns the last 32 versions that were adopted, oldest first.
func (follower *Follower) History() []AdoptedVersion {
	return append([]AdoptedVersion(nil), follower.history...)
}

// Dump is the state of a Follower, for operators.
type Dump struct {
	Version    int64   `json:"version"`
	Digest     Digest  `json:"digest"`
	PublishID  string  `json:"publish-id,omitempty"`
	Author     string  `json:"author,omitempty"`
	Source     Source  `json:"source,omitempty"`
	Rules      int     `json:"rules"`
	Guards     Guards  `json:"guards"`
	Evacuated  Domains `json:"evacuated,omitempty"`
	NextOffset int64   `json:"next-offset"`
	// KnownUpToOffset is the offset up to which the results of all records are
	// known. It equals NextOffset while the Follower is synced.
	KnownUpToOffset int64 `json:"known-up-to-offset"`
	// FirstOffset is the lowest offset that the log may still hold.
	FirstOffset int64 `json:"first-offset"`
	Synced      bool  `json:"synced"`
	// LogNextOffset is the end of the log at the last read. A value below
	// NextOffset means that the log has lost records that were read; the plan
	// stays in force.
	LogNextOffset int64 `json:"log-next-offset"`
	// CheckpointMs is the Unix time in ms of the last record from which a new
	// reader can start.
	CheckpointMs int64            `json:"last-snapshot-at-ms"`
	Counters     Counters         `json:"records"`
	History      []AdoptedVersion `json:"history"`
}

// DumpState returns the state of the Follower.
func (follower *Follower) DumpState() Dump {
	return Dump{
		Version:         follower.current.Version,
		Digest:          follower.current.Digest,
		PublishID:       follower.current.PublishID,
		Author:          follower.current.Author,
		Source:          follower.current.Source,
		Rules:           len(follower.plan.Rules),
		Guards:          follower.plan.Guards,
		Evacuated:       follower.plan.Evacuated,
		NextOffset:      follower.nextOffset,
		KnownUpToOffset: follower.knownUpTo,
		FirstOffset:     follower.firstOffset,
		Synced:          follower.Synced(),
		LogNextOffset:   follower.logNextOffset,
		CheckpointMs:    follower.checkpointMs,
		Counters:        follower.counters,
		History:         follower.History(),
	}
}

func digestMismatchError(actual, expected Digest) error {
	return eris.Wrapf(ErrInvalidPlan, "digest of the changed plan is %s, the record has %s", actual, expected)
}

func readAheadError(readUpTo, offset int64) error {
	return eris.Wrapf(ErrMalformedRecord, "snapshot at offset %d says that its writer had read up to offset %d", offset, readUpTo)
}
