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

// RecordFormat is the version of the format of records. Every reader must
// judge every record alike, so that records with a new version may be written
// only when no reader of the old one is left.
const RecordFormat = 1

const (
	recordName = "tanagerfall-plan-record"
	// MaxRecordBytes bounds an encoded record, as the log does.
	MaxRecordBytes = 1 << 20
	// maxBodyBytes bounds a decompressed body, against records that
	// decompress to many times their size.
	maxBodyBytes = 64 << 20
	// MaxAuthorBytes bounds the name of the operator.
	MaxAuthorBytes = 128
)

// ErrMalformedRecord is wrapped by the errors of Decode.
var ErrMalformedRecord = eris.New("malformed plan record")

// Record is the content of one record of the plan stream.
type Record interface{ record() }

// The records.
type (
	// Publication proposes a plan, as the change from the plan of version
	// Base. It wins if Base is the current version when a reader comes to it,
	// and if the changed plan is valid and has the digest named.
	Publication struct {
		// PublishID names the attempt; a repeated append has the same.
		PublishID string `cbor:"1,keyasint"`
		Base      int64  `cbor:"2,keyasint"`
		Author    string `cbor:"3,keyasint,omitempty"`
		Change    Change `cbor:"4,keyasint"`
		Digest    Digest `cbor:"5,keyasint"`
	}
	// Snapshot repeats the plan that is current after all records below
	// ReadUpTo.
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
	// Recovery sets the plan whatever the current version is. It is for the
	// loss of every VM's plan together with the records that led to it, when
	// no base is left to publish on.
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

// envelope is the outer form of a record. Body is the deflated CBOR of
// exactly one of the other fields of body.
type envelope struct {
	Name   string `cbor:"1,keyasint"`
	Format int    `cbor:"2,keyasint"`
	Body   []byte `cbor:"3,keyasint"`
}

type body struct {
	Publication *Publication `cbor:"1,keyasint,omitempty"`
	Snapshot    *Snapshot    `cbor:"2,keyasint,omitempty"`
	Recovery    *Recovery    `cbor:"3,keyasint,omitempty"`
}

var encodeMode = func() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.NilContainers = cbor.NilContainerAsEmpty
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

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

// Encode returns the bytes of a record. The error wraps ErrRecord where the
// record is too large.
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
		return nil, eris.Wrapf(ErrMalformedRecord, "encode: %v", err)
	}
	if len(plain) > maxBodyBytes {
		return nil, eris.Wrapf(ErrMalformedRecord, "the body has %d bytes, allowed are %d", len(plain), maxBodyBytes)
	}
	deflated, err := deflate(plain)
	if err != nil {
		return nil, eris.Wrapf(ErrMalformedRecord, "compress: %v", err)
	}
	data, err := encodeMode.Marshal(envelope{
		Name:   recordName,
		Format: RecordFormat,
		Body:   deflated,
	})
	if err != nil {
		return nil, eris.Wrapf(ErrMalformedRecord, "encode: %v", err)
	}
	if len(data) > MaxRecordBytes {
		return nil, eris.Wrapf(ErrMalformedRecord, "%d bytes, allowed are %d", len(data), MaxRecordBytes)
	}
	return data, nil
}

// Decode parses and checks a record. Every plan in it is valid and has the
// digest named. The error wraps ErrRecord or ErrInvalid.
func Decode(data []byte) (Record, error) {
	if len(data) > MaxRecordBytes {
		return nil, eris.Wrapf(ErrMalformedRecord, "%d bytes, allowed are %d", len(data), MaxRecordBytes)
	}
	var outer envelope
	err := decodeMode.Unmarshal(data, &outer)
	if err != nil {
		return nil, eris.Wrapf(ErrMalformedRecord, "envelope: %v", err)
	}
	if outer.Name != recordName || outer.Format != RecordFormat {
		return nil, eris.Wrapf(ErrMalformedRecord, "%.40q format %d, expected %q format %d",
			outer.Name, outer.Format, recordName, RecordFormat)
	}
	plain, err := inflate(outer.Body)
	if err != nil {
		return nil, err
	}
	var content body
	err = decodeMode.Unmarshal(plain, &content)
	if err != nil {
		return nil, eris.Wrapf(ErrMalformedRecord, "body: %v", err)
	}
	return content.validated()
}

// validated returns the one record of a body.
func (content *body) validated() (Record, error) {
	switch {
	case content.Publication != nil && content.Snapshot == nil && content.Recovery == nil:
		return content.Publication, content.Publication.validate()
	case content.Snapshot != nil && content.Publication == nil && content.Recovery == nil:
		return content.Snapshot, content.Snapshot.validate()
	case content.Recovery != nil && content.Publication == nil && content.Snapshot == nil:
		return content.Recovery, content.Recovery.validate()
	default:
		return nil, eris.Wrap(ErrMalformedRecord, "the body is not one record")
	}
}

func (publication *Publication) validate() error {
	if publication.Base < 0 {
		return eris.Wrapf(ErrMalformedRecord, "base %d", publication.Base)
	}
	return validateIdentity(publication.PublishID, publication.Author)
}

func (snapshot *Snapshot) validate() error {
	if snapshot.Version < 1 || snapshot.ReadUpTo <= snapshot.Version {
		return eris.Wrapf(ErrMalformedRecord, "snapshot of version %d, read up to %d", snapshot.Version, snapshot.ReadUpTo)
	}
	err := validateIdentity(snapshot.PublishID, snapshot.Author)
	if err != nil {
		return err
	}
	if len(snapshot.Writer) > MaxAuthorBytes {
		return eris.Wrap(ErrMalformedRecord, "the writer's address is too long")
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

// ValidPublishID says whether text can be a publish ID: 8 to 64 letters,
// digits, ".", "_" or "-".
func ValidPublishID(text string) bool {
	return publishIDPattern.MatchString(text)
}

func validateIdentity(publishID, author string) error {
	if !ValidPublishID(publishID) {
		return eris.Wrapf(ErrMalformedRecord, "publish ID %.80q", publishID)
	}
	if len(author) > MaxAuthorBytes {
		return eris.Wrap(ErrMalformedRecord, "the author's name is too long")
	}
	return nil
}

func validatePlan(plan *Plan, digest Digest) error {
	if plan == nil {
		return eris.Wrap(ErrMalformedRecord, "no plan")
	}
	err := Validate(plan)
	if err != nil {
		return err
	}
	if actual := DigestOf(plan); actual != digest {
		return eris.Wrapf(ErrMalformedRecord, "the plan's digest is %s, the record names %s", actual, digest)
	}
	return nil
}

// deflatePool keeps compressors, which take several hundred KB each.
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
		return nil, eris.Wrapf(ErrMalformedRecord, "decompress: %v", err)
	}
	if len(plain) > maxBodyBytes {
		return nil, eris.Wrapf(ErrMalformedRecord, "the body is larger than %d bytes", maxBodyBytes)
	}
	return plain, nil
}
