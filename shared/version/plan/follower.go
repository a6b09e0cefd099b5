package plan

import (
	"time"

	"tanagerfall/shared/connection/platform"
)

// FirstOffset is the lowest offset that can be a version. Version 0 means
// that there is no plan, so a record at offset 0 is passed over by every
// reader.
const FirstOffset = 1

// maxHistoryVersions bounds the winners that a Follower remembers.
const maxHistoryVersions = 32

// Outcome says what a record did.
type Outcome interface{ outcome() }

// The verdicts.
type (
	// Adopted means that the plan changed: by a winning publication, or by a
	// snapshot or recovery of a higher version.
	Adopted struct {
		Version   int64
		Digest    Digest
		PublishID string
		Author    string
		Plan      *Plan
		// Source says which kind of record or message brought the plan.
		Source Source
	}
	// Conflict means that a publication's base is not the current version.
	Conflict struct {
		Offset    int64
		PublishID string
		Author    string
		Base      int64
		// Current is the version that the publication met, with the publish
		// ID and the author of its winner.
		Current       int64
		CurrentPublishID     string
		CurrentAuthor string
	}
	// Invalid means that the record can't be a plan for any reader.
	Invalid struct {
		Offset int64
		Err    error
	}
	// SnapshotRead means that a snapshot left the version as it was.
	SnapshotRead struct {
		Offset  int64
		Version int64
		// Synced tells that the reader knows the log again up to ReadUpTo.
		Synced   bool
		ReadUpTo int64
	}
	// Ignored means that the record says nothing new.
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

// Source is where an adopted plan came from.
type Source string

// The sources.
const (
	FromPublication Source = "publication"
	FromSnapshot    Source = "snapshot"
	FromRecovery    Source = "recovery"
	FromPeer        Source = "peer"
)

// Reason is why a record was ignored.
type Reason string

// The reasons.
const (
	// Seen: the record was read before, or it is a repeated append of the
	// publication that is current.
	ReasonSeen Reason = "seen"
	// Gap: the offset is above the next one to be read.
	ReasonGap Reason = "gap"
	// Unsynced: records before this publication are missing, so that nobody
	// here can tell whether its base is current.
	ReasonUnsynced Reason = "unsynced"
	// Stale: a peer's or the log's snapshot says no more than is known.
	ReasonStale Reason = "stale"
)

// AdoptedVersion is a version that a Follower saw.
type AdoptedVersion struct {
	Version   int64  `json:"version"`
	PublishID string `json:"publish-id"`
	Author    string `json:"author,omitempty"`
	Digest    Digest `json:"digest"`
	// AtMs is the time of the append by the log's clock, 0 where it is not
	// known.
	AtMs   int64  `json:"at-ms,omitempty"`
	Source Source `json:"source"`
}

// Follower applies the records of the plan stream, in the order of their
// offsets. It holds the highest version seen and never goes below it. It is
// not safe for concurrent use: the control goroutine owns it.
//
// The version after all records below an offset is the same for every reader.
// known is the offset up to which the Follower knows that version, and next is
// the offset to be read. They differ while records in between are missing
// because the log trimmed them; then a publication can't be judged, and a
// snapshot of a later offset, a peer's plan or a recovery has to close the gap.
type Follower struct {
	current AdoptedVersion
	plan    *Plan
	knownUpTo   int64
	nextOffset    int64
	// firstOffset is the lowest offset that may still be retained.
	firstOffset int64
	// checkpointMs is the time of the last record from which a new reader can
	// start: the last snapshot or recovery, or the first winner.
	checkpointMs int64
	// retention and logNext are what the log said last.
	retention time.Duration
	logNextOffset   int64
	history   []AdoptedVersion
	counters  Counters
}

// Counters counts the verdicts.
type Counters struct {
	Adopted   int64 `json:"adopted"`
	Conflicts int64 `json:"conflicts"`
	Invalid   int64 `json:"invalid"`
	Snapshots int64 `json:"snapshots"`
	Ignored   int64 `json:"ignored"`
}

// New returns a Follower without a plan that reads from the first record.
func New() *Follower {
	return &Follower{
		plan:  Empty(),
		knownUpTo: FirstOffset,
		nextOffset:  FirstOffset,
		firstOffset: FirstOffset,
		current: AdoptedVersion{
			Digest: DigestOf(Empty()),
		},
	}
}

// Next returns the offset to be read next. It can go back to the offset up to
// which the writer of a snapshot had read.
func (follower *Follower) Next() int64 {
	return follower.nextOffset
}

// Synced says whether the Follower knows every record before Next, in effect.
func (follower *Follower) Synced() bool {
	return follower.knownUpTo == follower.nextOffset
}

// Current returns the version, its digest and its plan. Version 0 comes with
// an empty plan. The plan must not be changed.
func (follower *Follower) Current() (version int64, digest Digest, plan *Plan) {
	return follower.current.Version, follower.current.Digest, follower.plan
}

// Trimmed tells that the records below first are gone.
func (follower *Follower) Trimmed(first int64) {
	follower.firstOffset = max(follower.firstOffset, first)
	follower.nextOffset = max(follower.nextOffset, follower.firstOffset)
}

// DecodedRead is what a read of the stream brought. Decoding a large snapshot
// takes tens of milliseconds, which belong on another goroutine than the one
// that owns the Follower.
type DecodedRead struct {
	response platform.ReadResponse
	records  []decodedRecord
}

type decodedRecord struct {
	record Record
	err    error
}

// DecodeRead decodes the records of a read.
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

// ApplyRead applies what a read of the stream brought: one verdict
// for each record. The reader goes on at Next.
func (follower *Follower) ApplyRead(now time.Time, response platform.ReadResponse) []Outcome {
	return follower.ApplyDecoded(now, DecodeRead(response))
}

// ApplyDecoded is Read for records that were decoded before.
func (follower *Follower) ApplyDecoded(_ time.Time, read DecodedRead) []Outcome {
	verdicts := make([]Outcome, 0, len(read.records))
	for i, decoded := range read.records {
		verdicts = append(verdicts, follower.apply(read.response.Records[i], decoded))
	}
	follower.retention = time.Duration(read.response.RetentionMs) * time.Millisecond
	follower.logNextOffset = read.response.NextOffset
	follower.Trimmed(read.response.FirstOffset)
	return verdicts
}

// Apply applies one record. The record's offset must be Next;
// it is ignored otherwise.
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
	for _, winner := range follower.history {
		if winner.PublishID == publication.PublishID {
			return follower.countIgnored(record.Offset, ReasonSeen)
		}
	}
	follower.counters.Conflicts++
	return Conflict{
		Offset:        record.Offset,
		PublishID:     publication.PublishID,
		Author:        publication.Author,
		Base:          publication.Base,
		Current:       follower.current.Version,
		CurrentPublishID:     follower.current.PublishID,
		CurrentAuthor: follower.current.Author,
	}
}

// applySnapshot takes a snapshot from the log. Its writer cannot have read beyond
// the snapshot itself.
func (follower *Follower) applySnapshot(record platform.Record, snapshot *Snapshot) Outcome {
	if snapshot.ReadUpTo > record.Offset {
		return follower.countInvalid(record.Offset, readAheadError(snapshot.ReadUpTo, record.Offset))
	}
	if snapshot.ReadUpTo >= follower.firstOffset {
		follower.checkpointMs = max(follower.checkpointMs, record.AtMs)
	}
	verdict := follower.mergeSnapshot(snapshot, FromSnapshot)
	_, stale := verdict.(Ignored)
	if !stale {
		return verdict
	}
	follower.counters.Snapshots++
	return SnapshotRead{
		Offset:   record.Offset,
		Version:  snapshot.Version,
		ReadUpTo: snapshot.ReadUpTo,
		Synced:   follower.Synced(),
	}
}

// AdoptPeerSnapshot takes the snapshot of a peer. It is Ignored where it says no more
// than is known. Decode has checked the snapshot.
func (follower *Follower) AdoptPeerSnapshot(now time.Time, snapshot *Snapshot) Outcome {
	if follower.checkpointMs == 0 {
		follower.checkpointMs = now.UnixMilli()
	}
	verdict := follower.mergeSnapshot(snapshot, FromPeer)
	if ignored, stale := verdict.(Ignored); stale {
		return follower.countIgnored(ignored.Offset, ReasonStale)
	}
	return verdict
}

// mergeSnapshot takes what a snapshot knows beyond the Follower: a higher version,
// or the same version at a later offset. Reading goes on from the snapshot's
// offset where that is still retained. All readers take a higher version, even
// those that have read every record, so that they agree also after a snapshot
// that contradicts the log.
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

func (follower *Follower) adopt(plan *Plan, winner AdoptedVersion) Outcome {
	follower.plan = plan
	follower.current = winner
	follower.counters.Adopted++
	if len(follower.history) == maxHistoryVersions {
		follower.history = follower.history[1:]
	}
	follower.history = append(follower.history, winner)
	return Adopted{
		Version:   winner.Version,
		Digest:    winner.Digest,
		PublishID: winner.PublishID,
		Author:    winner.Author,
		Plan:      plan,
		Source:    winner.Source,
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

// Snapshot returns what the Follower knows, for a peer or for the log. The
// second result is false while there is no plan.
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

// PullAboveVersion returns the version above which a peer's snapshot is of use. A
// Follower that lacks records can use the same version from a peer that has
// read further.
func (follower *Follower) PullAboveVersion() int64 {
	if follower.Synced() {
		return follower.current.Version
	}
	return follower.current.Version - 1
}

// History returns the versions seen, oldest first, at most 32.
func (follower *Follower) History() []AdoptedVersion {
	return append([]AdoptedVersion(nil), follower.history...)
}

// Dump is the state of a Follower for the operators.
type Dump struct {
	Version   int64  `json:"version"`
	Digest    Digest `json:"digest"`
	PublishID string `json:"publish-id,omitempty"`
	Author    string `json:"author,omitempty"`
	Source    Source `json:"source,omitempty"`
	Rules     int    `json:"rules"`
	Guards    Guards `json:"guards"`
	NextOffset      int64  `json:"next-offset"`
	KnownUpToOffset     int64  `json:"known-up-to-offset"`
	FirstOffset     int64  `json:"first-offset"`
	Synced    bool   `json:"synced"`
	// LogNextOffset is the end of the log at the last read. A value below Next means
	// that the log lost records that were read; the plan stays in force.
	LogNextOffset  int64    `json:"log-next-offset"`
	CheckpointMs int64    `json:"last-snapshot-at-ms"`
	Counters Counters `json:"records"`
	History  []AdoptedVersion `json:"history"`
}

// DumpState returns the state dump.
func (follower *Follower) DumpState() Dump {
	return Dump{
		Version:   follower.current.Version,
		Digest:    follower.current.Digest,
		PublishID: follower.current.PublishID,
		Author:    follower.current.Author,
		Source:    follower.current.Source,
		Rules:     len(follower.plan.Rules),
		Guards:    follower.plan.Guards,
		NextOffset:      follower.nextOffset,
		KnownUpToOffset:     follower.knownUpTo,
		FirstOffset:     follower.firstOffset,
		Synced:    follower.Synced(),
		LogNextOffset:   follower.logNextOffset,
		CheckpointMs:  follower.checkpointMs,
		Counters:  follower.counters,
		History:   follower.History(),
	}
}
