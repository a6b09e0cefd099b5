package binding

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"tanagerfall/shared/request/submission"
)

const (
	// RecordFormat is the format version of records. All readers must accept the
	// same records, so a new version may be written only when no reader of the
	// old version is left.
	RecordFormat = 1
	// MaxBatch is the maximum number of entries of a record. A record of the
	// longest entries then stays below the limit of the log, 1 MiB.
	MaxBatch   = 1000
	recordName = "tanagerfall-key-bindings"
)

// ErrMalformedRecord reports data that does not have the form, name and format
// version of a record, or that has an entry with an invalid field.
var ErrMalformedRecord = eris.New("malformed record of key bindings")

// Entry is a proposal to bind an idempotency key, given by UUID and team, to a
// submission ID. Entries are encoded as CBOR arrays.
type Entry struct {
	_    struct{} `cbor:",toarray"`
	UUID UUID
	Team string
	// SubmissionID is the text form of the ID.
	SubmissionID string
}

// record is the content of one record of the stream, encoded as a CBOR array.
type record struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Format  int
	Entries []Entry
}

var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: MaxBatch,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic("binding: decoder options: " + err.Error())
	}
	return mode
}

// Encode returns the CBOR form of a record with the given entries, of which there
// must be at most MaxBatch.
func Encode(entries []Entry) []byte {
	data, err := cbor.Marshal(record{
		Name:    recordName,
		Format:  RecordFormat,
		Entries: entries,
	})
	if err != nil {
		panic("binding: encoding a record: " + err.Error())
	}
	return data
}

// Decode returns the entries of a record. The error wraps ErrMalformedRecord.
// Decode does not verify the MACs of the submission IDs.
func Decode(data []byte) ([]Entry, error) {
	var decoded record
	if err := decoder.Unmarshal(data, &decoded); err != nil {
		return nil, eris.Wrap(ErrMalformedRecord, err.Error())
	}
	if decoded.Name != recordName || decoded.Format != RecordFormat {
		return nil, eris.Wrapf(ErrMalformedRecord, "record has name %q and format %d", decoded.Name, decoded.Format)
	}
	for i := range decoded.Entries {
		entry := &decoded.Entries[i]
		if !entry.UUID.valid() || entry.Team == "" || len(entry.Team) > MaxTeamBytes ||
			len(entry.SubmissionID) > submission.MaxTextBytes {
			return nil, eris.Wrapf(ErrMalformedRecord, "entry %d has an invalid UUID, team or submission ID", i)
		}
	}
	return decoded.Entries, nil
}
