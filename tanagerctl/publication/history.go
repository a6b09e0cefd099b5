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

// maxReadRecords is the largest number of records in one read.
const maxReadRecords = 64

// Log is what the package needs of the platform.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (platform.ReadResponse, error)
}

// Entry is one record of the plan stream and what it did.
type Entry struct {
	Offset     int64         `json:"offset"`
	AtMs       int64         `json:"at-ms"`
	RecordType string        `json:"record"`
	Outcome    RecordOutcome `json:"verdict"`
	PublishID  string        `json:"publish-id,omitempty"`
	Author     string        `json:"author,omitempty"`
	Base       int64         `json:"base,omitempty"`
	Digest     plan.Digest   `json:"digest"`
	// Detail is why a record is invalid, or the version that a conflict met.
	Detail string `json:"detail,omitempty"`
}

// RecordOutcome is a verdict in words.
type RecordOutcome string

// The verdicts in words.
const (
	Adopted  RecordOutcome = "adopted"
	Conflict RecordOutcome = "conflict"
	Invalid  RecordOutcome = "invalid"
	Snapshot RecordOutcome = "snapshot"
	// Repeated is a second append of the current publication.
	Repeated RecordOutcome = "repeated"
	// Unevaluated is a publication that follows a gap in the records.
	Unevaluated RecordOutcome = "unjudged"
)

// History is the plan stream as far as it was read.
type History struct {
	log      Log
	stream   string
	follower *plan.Follower
	entries  map[int64]*Entry
	// keptVersion is the version whose plan is kept in found. Keeping the plans of
	// all versions would take megabytes for each.
	keptVersion int64
	keptPlan    *plan.Plan
}

// NewHistory returns a History that has read nothing.
func NewHistory(log Log, stream string) *History {
	return &History{
		log:      log,
		stream:   stream,
		follower: plan.New(),
		entries:  make(map[int64]*Entry),
	}
}

// KeepPlan makes the History keep the plan of a version that it will read.
func (history *History) KeepPlan(version int64) {
	history.keptVersion = version
}

// KeptPlan returns the plan of the version named to Keep, or nil.
func (history *History) KeptPlan() *plan.Plan {
	return history.keptPlan
}

func (history *History) keepIfRequested(adopted plan.Adopted) {
	if adopted.Version == history.keptVersion {
		history.keptPlan = adopted.Plan
	}
}

// ReadToEnd reads the records that the log has now. Errors are those of the
// platform's client.
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

// recordOutcome keeps the verdict on a record. A record that was read again after a
// snapshot closed a gap gets its later verdict.
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

// addSnapshotVersion adds the version that a snapshot brought, which the log no
// longer has or which can't be judged.
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

// The kinds of records.
const (
	recordPublication = "publication"
	recordSnapshot    = "snapshot"
	recordRecovery    = "recovery"
	recordUnknown     = "unknown"
)

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

// Current returns the current version. synced is false where records are
// missing, so that a later version may exist.
func (history *History) Current() (version int64, digest plan.Digest, content *plan.Plan, synced bool) {
	version, digest, content = history.follower.Current()
	return version, digest, content, history.follower.Synced()
}

// Diff returns the current version, what sheet would change in its plan, and
// the rules that would be kept until a row of the sheet holds.
func (history *History) Diff(sheet *plan.Plan) (version int64, change plan.Change, kept []plan.Rule) {
	version, _, content, _ := history.Current()
	target, kept := plan.CarryOver(content, sheet, time.Now())
	withGuards := *target
	withGuards.Guards = content.Guards
	return version, plan.Diff(content, &withGuards), kept
}

// Entries returns all records in the order of their offsets.
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
