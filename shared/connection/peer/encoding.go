package peer

import (
	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
)

const (
	// MaxMessageBytes is the maximum size of one encoded message. The largest
	// job has 580 tasks with payloads of 16 KiB.
	MaxMessageBytes = 16 << 20
	maxElements     = 1 << 20
	maxNesting      = 16
)

var (
	encodeMode = newEncodeMode()
	decodeMode = newDecodeMode()
)

func newEncodeMode() cbor.EncMode {
	options := cbor.EncOptions{
		Time: cbor.TimeUnixMicro,
	}
	mode, err := options.EncMode()
	if err != nil {
		panic("peer: CBOR encoder options: " + err.Error())
	}
	return mode
}

func newDecodeMode() cbor.DecMode {
	options := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNesting,
	}
	mode, err := options.DecMode()
	if err != nil {
		panic("peer: CBOR decoder options: " + err.Error())
	}
	return mode
}

// Encoding is the drpc.Encoding of all messages between entry VMs. Decoding
// ignores unknown fields, so that a newer version may add some.
type Encoding struct{}

var _ drpc.Encoding = Encoding{}

// Marshal returns the CBOR encoding of message.
func (Encoding) Marshal(message drpc.Message) ([]byte, error) {
	return encodeMode.Marshal(message)
}

// Unmarshal decodes CBOR data into message, a pointer to a struct.
func (Encoding) Unmarshal(data []byte, message drpc.Message) error {
	return decodeMode.Unmarshal(data, message)
}
