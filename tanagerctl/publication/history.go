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

// readBatch is the largest number of records in one read.
const readBatch = 64

// Log is what the package needs of the platform.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (platform.ReadResponse, error)
}

// Entry is one record of the plan stream and what it did.
type Entry struct {
	Offset    int64       `json:"offset"`
	AtMs      int64       `json:"at-ms"`
	Record    string      `json:"record"`
	Verdict   VerdictName `json:"verdict"`
	PublishID string      `json:"publish-id,omitempty"`
	Author    string      `json:"author,omitempty"`
	Base      int64       `json:"base,omitempty"`
	Digest    plan.Digest `json:"digest"`
	// Detail is why a record is invalid, or the version that a conflict met.
	Detail string `json:"detail,omitempty"`
}

// VerdictName is a verdict in words.
type VerdictName string

// The verdicts in words.
const (
	Adopted  VerdictName = "adopted"
	Conflict VerdictName = "conflict"
	Invalid  VerdictName = "invalid"
	Snapshot VerdictName = "snapshot"
	// Repeated is a second append of the current publication.
	Repeated VerdictName = "repeated"
	// Unjudged is a publication that follows a gap in the records.
	Unjudged VerdictName = "unjudged"
)

// History is the plan stream as far as it was read.
type History struct {
	log      Log
	stream   string
	follower *plan.Follower
	entries  map[int64]*Entry
	// wanted is the version whose plan is kept in found. Keeping the plans of
	// all versions would take megabytes for each.
	wanted int64
	found  *plan.Plan
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

// Keep makes the History keep the plan of a version that it will read.
func (history *History) Keep(version int64) {
	history.wanted = version
}

// Plan returns the plan of the version named to Keep, or nil.
func (history *History) Plan() *plan.Plan {
	return history.found
}

func (history *History) keep(adopted plan.Adopted) {
	if adopted.Version == history.wanted {
		history.found = adopted.Plan
	}
}

// ReadToEnd reads the records that the log has now. Errors are those of the
// platform's client.
func (history *History) ReadToEnd(ctx context.Context) error {
	for {
		response, err := history.log.Read(ctx, history.stream, history.follower.Next(), readBatch, 0)
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
		history.apply(response)
		if history.follower.Next() >= response.NextOffset {
			return nil
		}
		if len(response.Records) == 0 {
			return eris.Wrapf(platform.ErrUnavailable, "the log returned no records from %d, its end is %d",
				history.follower.Next(), response.NextOffset)
		}
	}
}

func (history *History) apply(response platform.ReadResponse) {
	verdicts := history.follower.ApplyRead(time.Now(), response)
	for i, record := range response.Records {
		history.note(record, verdicts[i])
	}
}

// note keeps the verdict on a record. A record that was read again after a
// snapshot closed a gap gets its later verdict.
func (history *History) note(record platform.Record, verdict plan.Outcome) {
	entry := describe(record)
	switch verdict := verdict.(type) {
	case plan.Adopted:
		entry.Verdict = Adopted
		history.keep(verdict)
		if verdict.Source == plan.FromSnapshot {
			entry.Verdict = Snapshot
			history.noteEarlier(verdict)
		}
	case plan.Conflict:
		entry.Verdict = Conflict
		entry.Detail = fmt.Sprintf("version %d of %s was current", verdict.Current, orUnknown(verdict.CurrentAuthor))
	case plan.Invalid:
		entry.Verdict = Invalid
		entry.Detail = verdict.Err.Error()
	case plan.SnapshotRead:
		entry.Verdict = Snapshot
	case plan.Ignored:
		noted := history.entries[record.Offset]
		if verdict.Reason == plan.ReasonGap || (noted != nil && noted.Verdict != Unjudged) {
			return
		}
		entry.Verdict = Repeated
		if verdict.Reason == plan.ReasonUnsynced {
			entry.Verdict = Unjudged
		}
	}
	history.entries[record.Offset] = &entry
}

// noteEarlier adds the version that a snapshot brought, which the log no
// longer has or which can't be judged.
func (history *History) noteEarlier(adopted plan.Adopted) {
	earlier, known := history.entries[adopted.Version]
	if !known {
		earlier = &Entry{
			Offset: adopted.Version,
			Record: recordPublication,
		}
		history.entries[adopted.Version] = earlier
	}
	earlier.Verdict = Adopted
	earlier.PublishID = adopted.PublishID
	earlier.Author = adopted.Author
	earlier.Digest = adopted.Digest
}

// The kinds of records.
const (
	recordPublication = "publication"
	recordSnapshot    = "snapshot"
	recordRecovery    = "recovery"
	recordUnknown     = "unknown"
)

func describe(record platform.Record) Entry {
	entry := Entry{
		Offset: record.Offset,
		AtMs:   record.AtMs,
		Record: recordUnknown,
	}
	decoded, err := plan.Decode(record.Data)
	if err != nil {
		return entry
	}
	switch decoded := decoded.(type) {
	case *plan.Publication:
		entry.Record = recordPublication
		entry.PublishID = decoded.PublishID
		entry.Author = decoded.Author
		entry.Base = decoded.Base
		entry.Digest = decoded.Digest
	case *plan.Snapshot:
		entry.Record = recordSnapshot
		entry.PublishID = decoded.PublishID
		entry.Author = decoded.Author
		entry.Digest = decoded.Digest
	case *plan.Recovery:
		entry.Record = recordRecovery
		entry.PublishID = decoded.PublishID
		entry.Author = decoded.Author
		entry.Digest = decoded.Digest
	}
	return entry
}

func orUnknown(author string) string {
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
	copied := *target
	copied.Guards = content.Guards
	return version, plan.Diff(content, &copied), kept
}

// Entries returns all records in the order of their offsets.
func (history *History) Entries() []Entry {
	entries := make([]Entry, 0, len(history.entries))
	for _, entry := range history.entries {
		entries = append(entries, *entry)
	}
	slices.SortFunc(entries, func(one, other Entry) int {
		return cmp.Compare(one.Offset, other.Offset)
	})
	return entries
}
