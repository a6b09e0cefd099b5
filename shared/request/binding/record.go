package binding

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"tanagerfall/shared/request/submission"
)

const (
	// RecordFormat is the version of the format of records. All readers must
	// judge a record alike, so a new version may be written only when no
	// reader of the old one is left.
	RecordFormat = 1
	// MaxBatch bounds the entries of a record, so that a record of the longest
	// entries stays below the 1 MiB that the log takes.
	MaxBatch   = 1000
	recordName = "tanagerfall-key-bindings"
)

// ErrMalformedRecord is wrapped by the errors of Decode.
var ErrMalformedRecord = eris.New("malformed record of key bindings")

// Entry proposes that a key stands for a submission ID.
type Entry struct {
	_    struct{} `cbor:",toarray"`
	UUID UUID
	Team string
	// SubmissionID is the text form.
	SubmissionID string
}

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

// Encode returns the record of at most MaxBatch entries.
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

// Decode returns the entries of a record. The error wraps ErrRecord. The
// submission IDs are not verified.
func Decode(data []byte) ([]Entry, error) {
	var decoded record
	if err := decoder.Unmarshal(data, &decoded); err != nil {
		return nil, eris.Wrap(ErrMalformedRecord, err.Error())
	}
	if decoded.Name != recordName || decoded.Format != RecordFormat {
		return nil, eris.Wrapf(ErrMalformedRecord, "%q of format %d", decoded.Name, decoded.Format)
	}
	for i := range decoded.Entries {
		entry := &decoded.Entries[i]
		if !entry.UUID.valid() || entry.Team == "" || len(entry.Team) > MaxTeamBytes ||
			len(entry.SubmissionID) > submission.MaxTextBytes {
			return nil, eris.Wrapf(ErrMalformedRecord, "entry %d", i)
		}
	}
	return decoded.Entries, nil
}
