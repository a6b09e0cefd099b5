package plan

import (
	"bytes"
	"compress/flate"
	"io"
	"regexp"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// RecordFormat is the version of the format of records. All readers must
// evaluate every record alike, so records in a new format may be written only
// when no reader of the old one is left.
const RecordFormat = 1

const (
	recordName = "tanagerfall-plan-record"
	// MaxRecordBytes is the largest size of an encoded record, the same as the
	// log's own limit.
	MaxRecordBytes = 1 << 20
	// maxBodyBytes is the largest size of a decompressed body. It protects
	// readers from small records that decompress to many times their size.
	maxBodyBytes = 64 << 20
	// MaxAuthorBytes is the largest length of the name of an operator or the
	// address of a writer.
	MaxAuthorBytes = 128
)

// ErrMalformedRecord is wrapped by the errors of Encode, and by those of Decode
// that don't wrap ErrInvalidPlan.
var ErrMalformedRecord = eris.New("malformed plan record")

// Record is the decoded content of one record of the plan stream: a
// Publication, Snapshot or Recovery.
type Record interface{ record() }

// The types of records.
type (
	// Publication proposes a plan as the change from the plan of version Base.
	// It is adopted if Base is the current version at its offset and the
	// changed plan is valid and has the given digest.
	Publication struct {
		// PublishID identifies the attempt to publish. Repeated appends carry the
		// same ID.
		PublishID string `cbor:"1,keyasint"`
		Base      int64  `cbor:"2,keyasint"`
		// Author is the name of the operator.
		Author string `cbor:"3,keyasint,omitempty"`
		Change Change `cbor:"4,keyasint"`
		// Digest is that of the changed plan.
		Digest Digest `cbor:"5,keyasint"`
	}
	// Snapshot holds the plan that is current after all records below the
	// offset ReadUpTo, with the publication that it came from.
	Snapshot struct {
		Version   int64  `cbor:"1,keyasint"`
		ReadUpTo  int64  `cbor:"2,keyasint"`
		PublishID string `cbor:"3,keyasint"`
		Author    string `cbor:"4,keyasint,omitempty"`
		// Writer is the peer address of the VM that wrote the snapshot.
		Writer string `cbor:"5,keyasint,omitempty"`
		Digest Digest `cbor:"6,keyasint"`
		Plan   *Plan  `cbor:"7,keyasint"`
	}
	// Recovery sets the plan, whatever the current version is. Operators use it
	// when every VM has lost its plan and the log no longer holds the records
	// that led to it, so that there is no base for a Publication.
	Recovery struct {
		PublishID string `cbor:"1,keyasint"`
		Author    string `cbor:"2,keyasint,omitempty"`
		Digest    Digest `cbor:"3,keyasint"`
		Plan      *Plan  `cbor:"4,keyasint"`
	}
)

func (*Publication) record() {}
func (*Snapshot) record()    {}
func (*Recovery) record()    {}

// envelope is the stored form of a record. Body is the compressed CBOR encoding
// of a body.
type envelope struct {
	Name   string `cbor:"1,keyasint"`
	Format int    `cbor:"2,keyasint"`
	Body   []byte `cbor:"3,keyasint"`
}

// body holds exactly one record.
type body struct {
	Publication *Publication `cbor:"1,keyasint,omitempty"`
	Snapshot    *Snapshot    `cbor:"2,keyasint,omitempty"`
	Recovery    *Recovery    `cbor:"3,keyasint,omitempty"`
}

// encodeMode is deterministic, since digests are computed from encoded values.
var encodeMode = func() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.NilContainers = cbor.NilContainerAsEmpty
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// decodeMode rejects unknown fields and bounds the size of what it decodes.
var decodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		MaxArrayElements:  MaxRules,
		MaxMapPairs:       32,
		MaxNestedLevels:   8,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Encode returns the stored form of a record. The error wraps
// ErrMalformedRecord, for example where the record exceeds MaxRecordBytes.
func Encode(record Record) ([]byte, error) {
	var content body
	switch record := record.(type) {
	case *Publication:
		content.Publication = record
	case *Snapshot:
		content.Snapshot = record
	case *Recovery:
		content.Recovery = record
	}
	plain, err := encodeMode.Marshal(content)
	if err != nil {
		return nil, eris.Wrapf(ErrMalformedRecord, "encode body: %v", err)
	}
	if len(plain) > maxBodyBytes {
		return nil, eris.Wrapf(ErrMalformedRecord, "record body has %d bytes, the limit is %d", len(plain), maxBodyBytes)
	}
	deflated, err := deflate(plain)
	if err != nil {
		return nil, eris.Wrapf(ErrMalformedRecord, "compress body: %v", err)
	}
	data, err := encodeMode.Marshal(envelope{
		Name:   recordName,
		Format: RecordFormat,
		Body:   deflated,
	})
	if err != nil {
		return nil, eris.Wrapf(ErrMalformedRecord, "encode envelope: %v", err)
	}
	if len(data) > MaxRecordBytes {
		return nil, eris.Wrapf(ErrMalformedRecord, "record has %d bytes, the limit is %d", len(data), MaxRecordBytes)
	}
	return data, nil
}

// Decode parses and validates a record. A plan in it is valid and has the given
// digest. The error wraps ErrMalformedRecord or ErrInvalidPlan.
func Decode(data []byte) (Record, error) {
	if len(data) > MaxRecordBytes {
		return nil, eris.Wrapf(ErrMalformedRecord, "record has %d bytes, the limit is %d", len(data), MaxRecordBytes)
	}
	var outer envelope
	err := decodeMode.Unmarshal(data, &outer)
	if err != nil {
		return nil, eris.Wrapf(ErrMalformedRecord, "decode envelope: %v", err)
	}
	if outer.Name != recordName || outer.Format != RecordFormat {
		return nil, eris.Wrapf(ErrMalformedRecord, "record is %.40q in format %d, must be %q in format %d",
			outer.Name, outer.Format, recordName, RecordFormat)
	}
	plain, err := inflate(outer.Body)
	if err != nil {
		return nil, err
	}
	var content body
	err = decodeMode.Unmarshal(plain, &content)
	if err != nil {
		return nil, eris.Wrapf(ErrMalformedRecord, "decode body: %v", err)
	}
	return content.validated()
}

// validated returns the record in the body, together with the error of its
// validation.
func (content *body) validated() (Record, error) {
	switch {
	case content.Publication != nil && content.Snapshot == nil && content.Recovery == nil:
		return content.Publication, content.Publication.validate()
	case content.Snapshot != nil && content.Publication == nil && content.Recovery == nil:
		return content.Snapshot, content.Snapshot.validate()
	case content.Recovery != nil && content.Publication == nil && content.Snapshot == nil:
		return content.Recovery, content.Recovery.validate()
	default:
		return nil, eris.Wrap(ErrMalformedRecord, "body must hold exactly one record")
	}
}

func (publication *Publication) validate() error {
	if publication.Base < 0 {
		return eris.Wrapf(ErrMalformedRecord, "base version %d is negative", publication.Base)
	}
	return validateIdentity(publication.PublishID, publication.Author)
}

func (snapshot *Snapshot) validate() error {
	if snapshot.Version < 1 || snapshot.ReadUpTo <= snapshot.Version {
		return eris.Wrapf(ErrMalformedRecord, "snapshot of version %d is read up to offset %d, which must be higher", snapshot.Version, snapshot.ReadUpTo)
	}
	err := validateIdentity(snapshot.PublishID, snapshot.Author)
	if err != nil {
		return err
	}
	if len(snapshot.Writer) > MaxAuthorBytes {
		return eris.Wrapf(ErrMalformedRecord, "writer address is longer than %d bytes", MaxAuthorBytes)
	}
	return validatePlan(snapshot.Plan, snapshot.Digest)
}

func (recovery *Recovery) validate() error {
	err := validateIdentity(recovery.PublishID, recovery.Author)
	if err != nil {
		return err
	}
	return validatePlan(recovery.Plan, recovery.Digest)
}

var publishIDPattern = regexp.MustCompile(`^[0-9A-Za-z._-]{8,64}$`)

// ValidPublishID reports whether text can be a publish ID: 8 to 64 ASCII
// letters, digits, ".", "_" or "-".
func ValidPublishID(text string) bool {
	return publishIDPattern.MatchString(text)
}

func validateIdentity(publishID, author string) error {
	if !ValidPublishID(publishID) {
		return eris.Wrapf(ErrMalformedRecord, "publish ID %.80q must match %s", publishID, publishIDPattern)
	}
	if len(author) > MaxAuthorBytes {
		return eris.Wrapf(ErrMalformedRecord, "author is longer than %d bytes", MaxAuthorBytes)
	}
	return nil
}

func validatePlan(plan *Plan, digest Digest) error {
	if plan == nil {
		return eris.Wrap(ErrMalformedRecord, "record has no plan")
	}
	err := Validate(plan)
	if err != nil {
		return err
	}
	if actual := DigestOf(plan); actual != digest {
		return eris.Wrapf(ErrMalformedRecord, "digest of the plan is %s, the record has %s", actual, digest)
	}
	return nil
}

// deflatePool reuses compressors, which take several hundred KB each.
var deflatePool = sync.Pool{
	New: func() any {
		writer, err := flate.NewWriter(nil, flate.DefaultCompression)
		if err != nil {
			panic(err)
		}
		return writer
	},
}

func deflate(plain []byte) ([]byte, error) {
	var buffer bytes.Buffer
	writer := deflatePool.Get().(*flate.Writer)
	defer deflatePool.Put(writer)
	writer.Reset(&buffer)
	_, err := writer.Write(plain)
	if err != nil {
		return nil, err
	}
	err = writer.Close()
	if err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

func inflate(deflated []byte) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(deflated))
	plain, err := io.ReadAll(io.LimitReader(reader, maxBodyBytes+1))
	if err != nil {
		return nil, eris.Wrapf(ErrMalformedRecord, "decompress body: %v", err)
	}
	if len(plain) > maxBodyBytes {
		return nil, eris.Wrapf(ErrMalformedRecord, "decompressed body is larger than %d bytes", maxBodyBytes)
	}
	return plain, nil
}
