package publication

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"tanagerfall/shared/connection/platform"
	"tanagerfall/shared/version/plan"
)

// maxReadRecords is the maximum number of records that one read returns.
const maxReadRecords = 64

// Log appends to and reads the log of the platform. The client of package
// platform implements it and documents the errors.
type Log interface {
	// Append returns the offset of the new record.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns up to limit records from the offset from on. It waits up to
	// wait for the first one.
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (platform.ReadResponse, error)
}

// Entry describes one record of the plan stream and its effect on the plan.
type Entry struct {
	// Offset is the offset of the record, which is also the version that a
	// publication or recovery sets.
	Offset int64 `json:"offset"`
	// AtMs is the Unix time in ms of the append by the log's clock, 0 if the
	// record was not read.
	AtMs int64 `json:"at-ms"`
	// RecordType is publication, snapshot, recovery or unknown.
	RecordType string        `json:"record"`
	Outcome    RecordOutcome `json:"verdict"`
	PublishID  string        `json:"publish-id,omitempty"`
	Author     string        `json:"author,omitempty"`
	// Base is the version that a publication changes.
	Base int64 `json:"base,omitempty"`
	// Digest is that of the plan which the record sets or holds.
	Digest plan.Digest `json:"digest"`
	// Detail says why a record is invalid, or which version was current at a
	// conflict.
	Detail string `json:"detail,omitempty"`
}

// RecordOutcome is the effect of a record on the plan.
type RecordOutcome string

// The outcomes of records.
const (
	// Adopted means that the record set a new version.
	Adopted RecordOutcome = "adopted"
	// Conflict means that the base of the publication was not current.
	Conflict RecordOutcome = "conflict"
	// Invalid means that the record is malformed or gives an invalid plan.
	Invalid RecordOutcome = "invalid"
	// Snapshot means that the record holds the plan of an earlier version.
	Snapshot RecordOutcome = "snapshot"
	// Repeated means that the record repeats the append of a version that was
	// adopted before.
	Repeated RecordOutcome = "repeated"
	// Unevaluated means that records before this publication are missing, so
	// that it is unknown whether its base was current.
	Unevaluated RecordOutcome = "unjudged"
)

// History reads the plan stream and keeps an Entry for each record that it has
// read. It is not safe for concurrent use.
type History struct {
	log      Log
	stream   string
	follower *plan.Follower
	entries  map[int64]*Entry
	// keptVersion is the version whose plan is stored in keptPlan. Each plan
	// takes megabytes, so the plans of the other versions are not kept.
	keptVersion int64
	keptPlan    *plan.Plan
}

// NewHistory returns a History of a stream of log that has read no records.
func NewHistory(log Log, stream string) *History {
	return &History{
		log:      log,
		stream:   stream,
		follower: plan.New(),
		entries:  make(map[int64]*Entry),
	}
}

// KeepPlan selects the version whose plan KeptPlan returns. It must be called
// before the record of that version is read.
func (history *History) KeepPlan(version int64) {
	history.keptVersion = version
}

// KeptPlan returns the plan of the version selected by KeepPlan, or nil if that
// version was not read.
func (history *History) KeptPlan() *plan.Plan {
	return history.keptPlan
}

func (history *History) keepIfRequested(adopted plan.Adopted) {
	if adopted.Version == history.keptVersion {
		history.keptPlan = adopted.Plan
	}
}

// ReadToEnd reads all records up to the current end of the log, without waiting
// for new ones. The errors are those of Log, and ErrUnavailable of package
// platform if the replies of the log contradict each other.
func (history *History) ReadToEnd(ctx context.Context) error {
	for {
		response, err := history.log.Read(ctx, history.stream, history.follower.Next(), maxReadRecords, 0)
		var trimmed *platform.TrimmedError
		if errors.As(err, &trimmed) {
			if trimmed.FirstOffset <= history.follower.Next() {
				return eris.Wrapf(platform.ErrUnavailable, "the log calls offset %d trimmed and %d its first",
					history.follower.Next(), trimmed.FirstOffset)
			}
			history.follower.Trimmed(trimmed.FirstOffset)
			continue
		}
		if err != nil {
			return err
		}
		history.applyRead(response)
		if history.follower.Next() >= response.NextOffset {
			return nil
		}
		if len(response.Records) == 0 {
			return eris.Wrapf(platform.ErrUnavailable, "the log returned no records from %d, its end is %d",
				history.follower.Next(), response.NextOffset)
		}
	}
}

func (history *History) applyRead(response platform.ReadResponse) {
	outcomes := history.follower.ApplyRead(time.Now(), response)
	for i, record := range response.Records {
		history.recordOutcome(record, outcomes[i])
	}
}

// recordOutcome stores the entry of a record. After a snapshot has closed a gap,
// records are read again, and the new outcome replaces Unevaluated.
func (history *History) recordOutcome(record platform.Record, outcome plan.Outcome) {
	entry := newEntry(record)
	switch outcome := outcome.(type) {
	case plan.Adopted:
		entry.Outcome = Adopted
		history.keepIfRequested(outcome)
		if outcome.Source == plan.FromSnapshot {
			entry.Outcome = Snapshot
			history.addSnapshotVersion(outcome)
		}
	case plan.Conflict:
		entry.Outcome = Conflict
		entry.Detail = fmt.Sprintf("version %d of %s was current", outcome.Current, authorOrUnknown(outcome.CurrentAuthor))
	case plan.Invalid:
		entry.Outcome = Invalid
		entry.Detail = outcome.Err.Error()
	case plan.SnapshotRead:
		entry.Outcome = Snapshot
	case plan.Ignored:
		previous := history.entries[record.Offset]
		if outcome.Reason == plan.ReasonGap || (previous != nil && previous.Outcome != Unevaluated) {
			return
		}
		entry.Outcome = Repeated
		if outcome.Reason == plan.ReasonUnsynced {
			entry.Outcome = Unevaluated
		}
	}
	history.entries[record.Offset] = &entry
}

// addSnapshotVersion adds the version that was adopted from a snapshot. Its own
// record was trimmed, or could not be evaluated because of missing records.
func (history *History) addSnapshotVersion(adopted plan.Adopted) {
	entry, exists := history.entries[adopted.Version]
	if !exists {
		entry = &Entry{
			Offset:     adopted.Version,
			RecordType: recordPublication,
		}
		history.entries[adopted.Version] = entry
	}
	entry.Outcome = Adopted
	entry.PublishID = adopted.PublishID
	entry.Author = adopted.Author
	entry.Digest = adopted.Digest
}

// The values of Entry.RecordType.
const (
	recordPublication = "publication"
	recordSnapshot    = "snapshot"
	recordRecovery    = "recovery"
	recordUnknown     = "unknown"
)

// newEntry returns the entry of a record without its outcome.
func newEntry(record platform.Record) Entry {
	entry := Entry{
		Offset:     record.Offset,
		AtMs:       record.AtMs,
		RecordType: recordUnknown,
	}
	decoded, err := plan.Decode(record.Data)
	if err != nil {
		return entry
	}
	switch decoded := decoded.(type) {
	case *plan.Publication:
		entry.RecordType = recordPublication
		entry.PublishID = decoded.PublishID
		entry.Author = decoded.Author
		entry.Base = decoded.Base
		entry.Digest = decoded.Digest
	case *plan.Snapshot:
		entry.RecordType = recordSnapshot
		entry.PublishID = decoded.PublishID
		entry.Author = decoded.Author
		entry.Digest = decoded.Digest
	case *plan.Recovery:
		entry.RecordType = recordRecovery
		entry.PublishID = decoded.PublishID
		entry.Author = decoded.Author
		entry.Digest = decoded.Digest
	}
	return entry
}

func authorOrUnknown(author string) string {
	if author == "" {
		return "unknown author"
	}
	return author
}

// Current returns the current version, its digest and its plan, as of the last
// ReadToEnd. If synced is false, records are missing and a later version may
// exist.
func (history *History) Current() (version int64, digest plan.Digest, currentPlan *plan.Plan, synced bool) {
	version, digest, currentPlan = history.follower.Current()
	return version, digest, currentPlan, history.follower.Synced()
}

// Diff returns the current version, the change that publishing sheet would make
// to its plan, and the current rules that would be kept until a row of the sheet
// comes into force. Guards and evacuations are left as they are.
func (history *History) Diff(sheet *plan.Plan) (version int64, change plan.Change, kept []plan.Rule) {
	version, _, currentPlan, _ := history.Current()
	target, kept := plan.CarryOver(currentPlan, sheet, time.Now())
	withGuards := *target
	withGuards.Guards = currentPlan.Guards
	withGuards.Evacuated = keptEvacuations(currentPlan, target)
	return version, plan.Diff(currentPlan, &withGuards), kept
}

// Entries returns the entries in the order of their offsets.
func (history *History) Entries() []Entry {
	entries := make([]Entry, 0, len(history.entries))
	for _, entry := range history.entries {
		entries = append(entries, *entry)
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Compare(a.Offset, b.Offset)
	})
	return entries
}
