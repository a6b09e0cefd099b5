package submission

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

const (
	macBytes = 16
	// MaxTextBytes is the maximum length of the text form of an ID.
	MaxTextBytes = 512
)

// Errors that Keyring.Decode wraps.
var (
	// ErrMalformed means that the text is too long, not canonical base64url or not
	// the encoding of an ID.
	ErrMalformed = eris.New("malformed submission ID")
	// ErrForged means that no key of the keyring verifies the ID.
	ErrForged = eris.New("submission ID has a wrong MAC")
)

// Key identifies a submission: the incarnation that issued the ID and its
// counter there.
type Key struct {
	Incarnation uint64 `cbor:"1,keyasint" json:"incarnation"`
	Counter     uint64 `cbor:"2,keyasint" json:"counter"`
}

// String returns the key in the form used in task IDs.
func (key Key) String() string {
	return fmt.Sprintf("%016x-%d", key.Incarnation, key.Counter)
}

// ID is a submission ID: the key of the submission together with where, for
// whom and until when it was issued. Keyring converts it to signed text.
type ID struct {
	Key Key
	// Domain is the failure domain of the issuing VM.
	Domain string
	// Address is the peer address (IP:port) of the issuing VM.
	Address string
	// Team is the team that the ID was issued to.
	Team string
	// Expiry is the time from which the ID cannot be spent, in whole seconds.
	Expiry time.Time
}

// idBody is the signed part of the text form, encoded as a CBOR array. Expiry
// is in Unix seconds.
type idBody struct {
	_           struct{} `cbor:",toarray"`
	KeyID       uint8
	Incarnation uint64
	Counter     uint64
	Domain      string
	Address     string
	Team        string
	Expiry      int64
}

// MacKey is a secret for the MACs of IDs. All entry VMs of a deployment share
// it. ID selects the key when an ID is verified.
type MacKey struct {
	ID     uint8
	Secret []byte
}

// Keyring signs with its first key and verifies with all of them, so that a
// replaced key stays valid until the IDs signed with it have expired.
type Keyring struct {
	keys []MacKey
}

// NewKeyring returns a keyring that signs with the first of keys. It panics if
// keys is empty.
func NewKeyring(keys ...MacKey) *Keyring {
	if len(keys) == 0 {
		panic("submission: keyring without a key")
	}
	return &Keyring{keys: keys}
}

// Encode returns the signed text form of id: base64url of the CBOR body and
// its MAC.
func (keyring *Keyring) Encode(id ID) string {
	body := idBody{
		KeyID:       keyring.keys[0].ID,
		Incarnation: id.Key.Incarnation,
		Counter:     id.Key.Counter,
		Domain:      id.Domain,
		Address:     id.Address,
		Team:        id.Team,
		Expiry:      id.Expiry.Unix(),
	}
	data, err := cbor.Marshal(body)
	if err != nil {
		panic("submission: encoding an ID: " + err.Error())
	}
	mac := sign(keyring.keys[0].Secret, data)
	return base64.RawURLEncoding.EncodeToString(append(data, mac...))
}

// Decode parses and verifies the text form of an ID. The error wraps
// ErrMalformed or ErrForged.
func (keyring *Keyring) Decode(text string) (ID, error) {
	if len(text) > MaxTextBytes {
		return ID{}, eris.Wrapf(ErrMalformed, "text has %d bytes, at most %d are allowed", len(text), MaxTextBytes)
	}
	data, err := base64.RawURLEncoding.DecodeString(text)
	// The decoder skips line breaks and ignores unused trailing bits, so the
	// text is compared with its canonical form.
	if err != nil || len(data) <= macBytes || base64.RawURLEncoding.EncodeToString(data) != text {
		return ID{}, eris.Wrap(ErrMalformed, "text is not canonical base64url or is too short")
	}
	data, mac := data[:len(data)-macBytes], data[len(data)-macBytes:]
	var body idBody
	if err := cbor.Unmarshal(data, &body); err != nil {
		return ID{}, eris.Wrap(ErrMalformed, "body cannot be decoded")
	}
	if !keyring.verify(body.KeyID, data, mac) {
		return ID{}, eris.Wrapf(ErrForged, "no match with key %d of the keyring", body.KeyID)
	}
	return ID{
		Key: Key{
			Incarnation: body.Incarnation,
			Counter:     body.Counter,
		},
		Domain:  body.Domain,
		Address: body.Address,
		Team:    body.Team,
		Expiry:  time.Unix(body.Expiry, 0),
	}, nil
}

func (keyring *Keyring) verify(keyID uint8, data, mac []byte) bool {
	for _, key := range keyring.keys {
		if key.ID == keyID && subtle.ConstantTimeCompare(sign(key.Secret, data), mac) == 1 {
			return true
		}
	}
	return false
}

func sign(secret, data []byte) []byte {
	hash := hmac.New(sha256.New, secret)
	hash.Write(data)
	return hash.Sum(nil)[:macBytes]
}
